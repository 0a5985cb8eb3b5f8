package httproute

import (
	"sync"
	"time"
)

// spillReadRate is the prompt tokens per second of a server in another region, as far
// as this instance has to guess it: that of the slower engines of the first deployments.
const spillReadRate = 40_000.0

// sentAway keeps what this instance sent to other regions since they last spoke. Their
// word is up to seconds old; without it all instances of a region whose peak begins send
// to the same far servers until the next word, and what finds them full has crossed for
// nothing.
type sentAway struct {
	mu   sync.Mutex
	sent map[string]*sentSince // by region and service
}

// sentSince is what went to one region.
type sentSince struct {
	heard    time.Time // the word that it was sent after
	tokens   float64
	requests int
}

func (s *sentAway) of(remote *Remote, service string) *sentSince {
	if s.sent == nil {
		s.sent = make(map[string]*sentSince)
	}
	key := remote.Region + "\x00" + service
	since := s.sent[key]
	if since == nil || since.heard.Before(remote.ReportedAt) {
		since = &sentSince{heard: remote.ReportedAt}
		s.sent[key] = since
	}
	return since
}

// correct brings the word of a region up to date with what was sent there since. The
// other instances of the own region are taken to have sent as much.
func (s *sentAway) correct(remote *Remote, service string, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.of(remote, service)
	seconds := since.tokens * float64(instances) / (float64(max(remote.Servers, 1)) * spillReadRate)
	remote.ExpectedFirstByte += time.Duration(seconds * float64(time.Second))
	taken := min(since.requests*instances, remote.FreeSlots)
	remote.Running += taken
	remote.FreeSlots -= taken
}

func (s *sentAway) add(remote *Remote, service string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.of(remote, service)
	since.tokens += float64(tokens)
	since.requests++
}

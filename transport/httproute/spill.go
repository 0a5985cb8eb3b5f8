package httproute

import (
	"sync"
	"time"
)

// spillReadRate is the prompt tokens per second of a server in another region, as far
// as this instance has to guess it: that of the slower engines of the first deployments.
const spillReadRate = 40_000.0

// spill keeps what this instance sent to other regions since they last spoke. Their word
// is up to seconds old; without it all instances of a region whose peak begins send to
// the same far servers until the next word, and what finds them full has crossed for
// nothing.
type spill struct {
	mu   sync.Mutex
	sent map[string]*spilled // by region and service
}

type spilled struct {
	heard  time.Time // the word that tokens were sent after
	tokens float64
}

func (s *spill) of(remote *Remote, service string) *spilled {
	if s.sent == nil {
		s.sent = make(map[string]*spilled)
	}
	key := remote.Region + "\x00" + service
	sp := s.sent[key]
	if sp == nil || sp.heard.Before(remote.Heard) {
		sp = &spilled{heard: remote.Heard}
		s.sent[key] = sp
	}
	return sp
}

// delay is the expected delay by what was sent since the region spoke. The other
// instances of the own region are taken to have sent as much.
func (s *spill) delay(remote *Remote, service string, instances int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds := s.of(remote, service).tokens * float64(instances) / (float64(max(remote.Servers, 1)) * spillReadRate)
	return time.Duration(seconds * float64(time.Second))
}

func (s *spill) add(remote *Remote, service string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(remote, service).tokens += float64(tokens)
}

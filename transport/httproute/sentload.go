package httproute

import (
	"sync"
	"time"
)

// spillPrefillRate is the assumed prefill rate of a server in another region, in prompt
// tokens per second: that of the slower engines of the first deployments.
const spillPrefillRate = 40_000.0

// sentLoad tracks the load that this instance has sent to other regions since their last
// reports. Reports are up to seconds old. Without this correction all instances of a
// region send to the same remote servers from the start of a traffic spike until the next
// report, and requests that find these servers full have crossed regions for nothing.
type sentLoad struct {
	mu       sync.Mutex
	byRegion map[string]*regionLoad // by region and service
}

// regionLoad is the load sent to one region for one service.
type regionLoad struct {
	reportedAt time.Time // time of the report since which it was sent
	tokens     float64
	requests   int
}

// sinceReport returns the load sent since the region's last report. The caller holds the
// lock.
func (s *sentLoad) sinceReport(remote *Remote, service string) *regionLoad {
	if s.byRegion == nil {
		s.byRegion = make(map[string]*regionLoad)
	}
	key := remote.Region + "\x00" + service
	load := s.byRegion[key]
	if load == nil || load.reportedAt.Before(remote.ReportedAt) {
		load = &regionLoad{reportedAt: remote.ReportedAt}
		s.byRegion[key] = load
	}
	return load
}

// adjust adds to the report of a region the load sent there since. The other instances of
// the local region are assumed to have sent as much.
func (s *sentLoad) adjust(remote *Remote, service string, instances int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.sinceReport(remote, service)
	seconds := load.tokens * float64(instances) / (float64(max(remote.Servers, 1)) * spillPrefillRate)
	remote.ExpectedFirstByte += time.Duration(seconds * float64(time.Second))
	taken := min(load.requests*instances, remote.FreeSlots)
	remote.Running += taken
	remote.FreeSlots -= taken
}

func (s *sentLoad) add(remote *Remote, service string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := s.sinceReport(remote, service)
	load.tokens += float64(tokens)
	load.requests++
}

package httproute

import (
	"slices"
	"sync"
)

// brokenRegions counts the attempts that other regions got and did not complete. It is safe for concurrent use: the
// response of a silent server may end while another one is tried.
type brokenRegions struct {
	mu       sync.Mutex
	byRegion map[string]int
}

func (b *brokenRegions) record(region string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byRegion == nil {
		b.byRegion = make(map[string]int)
	}
	b.byRegion[region]++
}

func (b *brokenRegions) count(region string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byRegion[region]
}

// recordBroken records whether the region of a peer got the request and did not complete it, or has refused a second try.
func (s *send) recordBroken(failed *failure) {
	again := failed.remote && !failed.ofInstance() && s.r.broken.count(s.remote.Region) > 0
	if failed.sent || again {
		s.r.broken.record(s.remote.Region)
	}
}

// secondTry returns a region that did not complete an attempt, or nil. Another instance or server there may do so; each
// region is tried once more where no other one can run the request.
func (f *Front) secondTry(r *request, homes []string, anywhere bool) *Remote {
	tried := slices.DeleteFunc(slices.Clone(r.triedRegions), func(region string) bool { return r.broken.count(region) == 1 })
	if len(tried) == len(r.triedRegions) {
		return nil
	}
	return f.bestRemote(r, tried, homes, anywhere)
}

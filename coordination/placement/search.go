package placement

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// Load pattern: a region of a thousand servers, and a choice for each request, each retry and each
// watched stream. The cheapest of some tens drawn at random costs little more than the cheapest of
// all. The servers that are expected to have most of the prompt cached are considered in any case.

// sampleSize is the number of servers among which a choice is made, beside those with the prompt
// cached.
const sampleSize = 64

// search looks for the cheapest server for a request.
type search struct {
	pool       *Pool
	request    *Request
	now        time.Time
	ejected    map[*server]bool
	allowed    func(*server) bool
	preferred  *server
	holder     *server // has most of the prompt cached
	held       int     // tokens
	gap        float64 // expected longest gap that the prompt causes
	counts     serverCounts
	best       *candidate
	next       candidate   // reused for each server
	candidates []candidate // all servers that can be used
}

func (p *Pool) newSearch(r *Request, ejected map[*server]bool, now time.Time, allowed func(*server) bool) *search {
	s := &search{pool: p, request: r, now: now, ejected: ejected, allowed: allowed}
	s.preferred = p.preferredServer(r.prefixHash())
	s.holder, s.held = p.cacheHolder(r, ejected, now)
	s.gap = p.expectedLongestGap(r)
	s.candidates = p.candidates[:0]
	return s
}

// searchSample considers a sample of the servers, and those that are expected to have most of
// the prompt cached. It reports whether one of them responds in time.
func (p *Pool) searchSample(s *search) bool {
	if len(p.servers) <= sampleSize || !p.enabled(features.SampledChoice) {
		return false
	}
	if s.preferred != nil {
		s.consider(s.preferred)
	}
	if s.holder != nil && s.holder != s.preferred {
		s.consider(s.holder)
	}
	for i := range sampleSize {
		drawn := i + p.rng.IntN(len(p.order)-i)
		p.swapOrder(i, drawn)
		if server := p.order[i]; server != s.preferred && server != s.holder {
			s.consider(server)
		}
	}
	return s.best != nil && s.best.onTime(s.request, s.now)
}

func (s *search) reset() { s.best, s.candidates, s.counts = nil, s.candidates[:0], serverCounts{} }

// consider makes a server the best one if it can be used and is cheaper.
func (s *search) consider(server *server) {
	p, now := s.pool, s.now
	if slices.Contains(s.request.Exclude, server.ID) || !server.Usable(now) || !p.allowsBuild(server, s.request.Build, now) || !s.allowed(server) {
		return
	}
	s.counts.usable++
	if server.Resting(now) {
		s.counts.resting++
		s.counts.available(server.RestUntil)
		return
	}
	if now.Before(server.ColdUntil) && p.settings.ColdRate > 0 {
		if next, ok := p.coldSlot(server, now); !ok {
			s.counts.cold++
			s.counts.available(next)
			return
		}
	}
	if p.full(server, s.request.Urgency, now) {
		s.counts.full++
		return
	}
	p.score(&s.next, server, s.request, s.preferred, s.gap, now)
	if s.holder != server {
		p.applyLocalFetch(&s.next, s.holder, s.held)
	}
	p.applyRemoteFetch(&s.next, s.request)
	if p.limitsPrefillRuns() {
		p.limitPrefillRun(&s.next, p.running(server, now))
	}
	s.candidates = append(s.candidates, s.next)
	if s.best == nil {
		s.best = new(candidate)
		*s.best = s.next
	} else if s.next.cost < s.best.cost {
		*s.best = s.next
	}
}

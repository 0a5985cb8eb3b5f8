package placement

import (
	"math"
	"slices"
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// Load pattern: tens of instances place a traffic spike on the same servers, and each learns what
// the others placed from their next load reports. Until then all see the same loads. If each
// chose the cheapest server, all requests of that time would go to one, which then answers them
// late beside idle servers: when callers arrive all at once and all servers are idle, when
// crashed servers return, and whenever a batch ends.
//
// So an instance works out where the unreported requests of the others go if each is placed on
// the server that is the cheapest then: the cheapest servers get as many as bring them to the
// cost of the next ones. Its own request goes to one of these, drawn with the numbers as weights.
// With few unreported requests that is the cheapest server itself.
//
// Prompts with long shared segments are not spread: they go where these are cached, and different
// segments are cached at different servers.
const (
	// reportDelaySeconds is how old a load report is when it arrives: in a large region two hubs
	// may have forwarded it, each within a relay interval.
	reportDelaySeconds = 0.03
	// placedDecaySeconds is the time constant over which placements are averaged: a traffic
	// spike begins within a second.
	placedDecaySeconds = 0.5
	// levelSteps is the number of bisections with which the cost level is found: it is then off
	// by a millionth of the costs' range.
	levelSteps = 20
)

// spreadable reports whether the request may run on any server at about the same cost.
func (r *Request) spreadable() bool { return r.sharedTokens() < minFetchTokens }

// decayingCount counts events; each decays over placedDecaySeconds.
type decayingCount struct {
	count float64
	at    time.Time
}

func (c *decayingCount) add(n float64, now time.Time) {
	c.count = c.value(now) + n
	c.at = now
}

func (c *decayingCount) value(now time.Time) float64 {
	return c.count * math.Exp(-max(now.Sub(c.at).Seconds(), 0)/placedDecaySeconds)
}

// recordSpread counts a placed spreadable request.
func (p *Pool) recordSpread(uncached float64, now time.Time) {
	p.spreadCount.add(1, now)
	p.spreadTokens += (uncached - p.spreadTokens) * uncachedWeight
}

// unreportedRequests returns how many spreadable requests the others are expected to have placed
// since their load reports. Callers connect to instances at random, so that each of the others
// places about as many as this one.
func (p *Pool) unreportedRequests(now time.Time) float64 {
	rate := p.spreadCount.value(now) / placedDecaySeconds * float64(max(p.settings.Instances-1, 0))
	return rate * p.reportAge(now)
}

// reportAge returns how old, in seconds, the load reports of the others are on average.
func (p *Pool) reportAge(now time.Time) float64 {
	total := 0.0
	for _, report := range p.peerReports {
		total += now.Sub(report.at).Seconds()
	}
	return total/float64(max(len(p.peerReports), 1)) + reportDelaySeconds
}

// costPerRequest returns by how much a further request raises a server's cost, in seconds.
func (p *Pool) costPerRequest(c *candidate) float64 {
	if !p.settings.Engine {
		return p.serviceSeconds * c.latencyFactor / p.slots(c.server)
	}
	return p.spreadTokens/p.prefillRate*c.latencyFactor*p.latencyFactor + runningCost
}

// draw returns one of the candidates over which requests are spread, and the cheapest one when
// all placements are known.
func (s *search) draw() *candidate {
	if s.best == nil || !s.request.spreadable() || !s.pool.enabled(features.Spread) {
		return s.best
	}
	unreported := s.pool.unreportedRequests(s.now)
	if unreported == 0 {
		return s.best
	}
	list := s.onTimeCandidates()
	shares := s.pool.shares(list, unreported, s.now)
	drawn := s.pool.rng.Float64() * unreported
	for i := range list {
		if drawn -= shares[i]; drawn < 0 {
			return &list[i]
		}
	}
	return s.best
}

// onTimeCandidates returns the candidates that respond in time, or all when none does.
func (s *search) onTimeCandidates() []candidate {
	if !s.best.onTime(s.request, s.now) {
		return s.candidates
	}
	return slices.DeleteFunc(s.candidates, func(c candidate) bool { return !c.onTime(s.request, s.now) })
}

// shares returns how many of a number of requests each candidate gets when each request goes to
// the one that is the cheapest then.
func (p *Pool) shares(list []candidate, total float64, now time.Time) []float64 {
	shares := make([]float64, len(list))
	low, high := math.Inf(1), 0.0
	for i := range list {
		low = min(low, list[i].cost)
		high = max(high, list[i].cost+total*p.costPerRequest(&list[i]))
	}
	for range levelSteps {
		level := (low + high) / 2
		sum := 0.0
		for i := range list {
			c := &list[i]
			room := max(p.limit(c.server)-p.running(c.server, now), 0)
			shares[i] = min(max((level-c.cost)/p.costPerRequest(c), 0), room)
			sum += shares[i]
		}
		if sum > total {
			high = level
		} else {
			low = level
		}
	}
	return shares
}

package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

const (
	defaultPrefillRate   = 10000.0 // prompt tokens per second, until a server reports its own
	reportHalfWeightAge  = 2e9     // age in nanoseconds at which a report counts half
	warmUpNanos          = 10e9    // time after a start while caches are cold
	warmUpPenaltySeconds = 0.1     // of a server that has just started
	nearBestFactor       = 1.2     // costs up to this factor above the best count as equal
	nearBestSlackSeconds = 0.005   // likewise, in addition to the factor
	scratchServers       = 256

	// perRequestSeconds is the expected delay by each running request: more than the time by
	// which it lengthens a step, because a request that finds the batch full waits until one of
	// them ends, and reports do not say how large the batch is.
	perRequestSeconds = 0.020
	// prefillFactor is the weight of prompt tokens that have to be computed. They delay every
	// request in the batch and not only their own, so that a server with the prefix in its cache
	// is worth a longer wait.
	prefillFactor = 3.0
	// costPrefillFactor is the same under the cost policy.
	costPrefillFactor = 4.0
)

// ChooseServer returns the index of the server to run on, or -1. It scores every
// usable server by the expected time to the first token and takes the less
// loaded of two that it draws among the best: instances with the same state
// would otherwise all send to the same server.
func ChooseServer(r *Request, list []*servers.Entry, now time.Time, rng *rand.Rand) int {
	var scratch [scratchServers]float64
	costs := scratch[:]
	if len(list) > len(costs) {
		costs = make([]float64, len(list))
	}
	s := scorer{request: r, now: now.UnixNano()}
	best := s.score(list, costs)
	if s.ejected*2 > s.usable {
		// More than half of the usable servers are ejected, since others have left meanwhile.
		// A service whose servers are all slow is better served slowly than not at all.
		s.ignoreEjected = true
		best = s.score(list, costs)
	}
	if math.IsInf(best, 1) {
		s.includeFull = true
		best = s.score(list, costs)
	}
	if math.IsInf(best, 1) {
		return -1
	}
	return drawLeastLoaded(list, costs[:len(list)], best*nearBestFactor+nearBestSlackSeconds, rng)
}

type scorer struct {
	request         *Request
	now             int64
	ignoreEjected   bool
	includeFull     bool // servers at their limit count too
	usable, ejected int
}

// score sets the costs and returns the lowest; a server that may not be
// used has infinite cost.
func (s *scorer) score(list []*servers.Entry, costs []float64) float64 {
	best := math.Inf(1)
	s.usable, s.ejected = 0, 0
	for i, e := range list {
		costs[i] = math.Inf(1)
		v := e.View()
		f := v.Facts()
		if !f.Usable {
			continue
		}
		s.usable++
		if f.EjectedUntil > s.now {
			s.ejected++
			if !s.ignoreEjected {
				continue
			}
		}
		if (!s.includeFull && s.request.full(e)) || !s.request.permits(v) {
			continue
		}
		costs[i] = s.cost(e, f)
		best = min(best, costs[i])
	}
	return best
}

// full reports whether the server is at the limit for requests of this kind.
func (r *Request) full(e *servers.Entry) bool {
	if r.Bulk {
		return e.InFlight() >= e.Limit() || e.Bulk() >= e.BulkLimit()
	}
	return e.InFlight()-e.Bulk() >= e.Limit()
}

func (r *Request) permits(v *servers.Server) bool {
	if len(r.Exclude) > 0 && r.Exclude[v.ID] {
		return false
	}
	return r.Service.AllowsVersion(v.Version) && Allowed(r, v.Region, v.Domain)
}

// ExpectedFirstToken returns the expected time to the first token at a server, by its load
// reports alone.
func ExpectedFirstToken(r *Request, e *servers.Entry, now time.Time) time.Duration {
	s := scorer{request: r, now: now.UnixNano()}
	return time.Duration(s.expected(e, e.View().Facts()) * float64(time.Second))
}

// UnloadedFirstToken returns the time to the first token without the requests ahead of it.
func UnloadedFirstToken(r *Request, e *servers.Entry) time.Duration {
	f := e.View().Facts()
	seconds := float64(r.UncachedTokens(e))/prefillRate(f) + f.StepTime
	return time.Duration(seconds * float64(time.Second))
}

func prefillRate(f *servers.Facts) float64 {
	if f.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return f.PrefillRate
}

func (s *scorer) expected(e *servers.Entry, f *servers.Facts) float64 {
	weight := reportHalfWeightAge / (reportHalfWeightAge + max(float64(s.now-f.ReportedAt), 0))
	tokens := weight*f.WaitingTokens + float64(e.PendingTokens()+s.request.UncachedTokens(e))
	requests := weight*f.OtherRequests + float64(e.InFlight())
	return tokens/prefillRate(f) + requests*perRequestSeconds + weight*f.QueueDrainTime + f.StepTime
}

// cost returns the expected time to the first token in seconds, corrected by the measured
// latency factor, and what the policy adds.
func (s *scorer) cost(e *servers.Entry, f *servers.Facts) float64 {
	weight := prefillFactor
	if s.request.Service.Policy == service.PolicyCost {
		weight = costPrefillFactor
	}
	cost := s.expected(e, f) * f.FirstTokenFactor
	cost += (weight - 1) * float64(s.request.UncachedTokens(e)) / prefillRate(f)
	if uptime := float64(s.now - f.Since); uptime < warmUpNanos {
		cost += warmUpPenaltySeconds * (1 - uptime/warmUpNanos)
	}
	return cost
}

// UncachedTokens returns the prompt tokens that the server would have to compute.
func (r *Request) UncachedTokens(e *servers.Entry) int {
	if r.CachedBlocks == nil {
		return r.PromptTokens
	}
	cached := r.CachedBlocks.CachedBlocks(e.Slot()) * tokens.BlockTokens
	return max(r.PromptTokens-cached, 0)
}

// Permitted reports whether the request may run on the server now.
func Permitted(r *Request, e *servers.Entry, now time.Time) bool {
	v := e.View()
	return v.Usable() && !v.Ejected(now) && r.permits(v)
}

func drawLeastLoaded(list []*servers.Entry, costs []float64, limit float64, rng *rand.Rand) int {
	first, second, count := -1, -1, 0
	for i, cost := range costs {
		if cost > limit {
			continue
		}
		count++
		switch place := rng.IntN(count); {
		case first < 0 || (second >= 0 && place == 0):
			first = i
		case second < 0 || place == 1:
			second = i
		}
	}
	if second >= 0 && list[second].InFlight() < list[first].InFlight() {
		return second
	}
	return first
}

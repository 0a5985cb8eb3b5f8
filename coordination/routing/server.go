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
	defaultPrefillRate = 10000.0                // prompt tokens per second, until a server reports its own
	fadeAfter          = 2 * time.Second        // age at which a report counts half
	warmUp             = 10 * time.Second       // after a start, while caches are cold
	warmUpPenalty      = 100 * time.Millisecond // of a server that has just started
	perRequest         = 0.001                  // seconds that each running request adds to a step
	costPrefillFactor  = 3.0                    // weight of prompt tokens under the cost policy
	nearBestFactor     = 1.2                    // costs up to so much above the best are as good
	nearBestSlack      = 0.005                  // seconds, the same
	scratchServers     = 256
)

// ChooseServer returns the index of the server to run on, or -1. It scores every
// usable server by the expected time to the first token and takes the less
// loaded of two that it draws among the best: instances that know the same
// would otherwise all send to the same server.
func ChooseServer(r *Request, list []*servers.Entry, now time.Time, rng *rand.Rand) int {
	var scratch [scratchServers]float64
	costs := scratch[:]
	if len(list) > len(costs) {
		costs = make([]float64, len(list))
	}
	s := scorer{request: r, now: now, ignoreEjected: tooManyEjected(list, now)}
	best := s.score(list, costs, false)
	if math.IsInf(best, 1) {
		best = s.score(list, costs, true)
	}
	if math.IsInf(best, 1) {
		return -1
	}
	return draw(list, costs[:len(list)], best*nearBestFactor+nearBestSlack, rng)
}

// tooManyEjected tells whether more than half of the usable servers are set
// aside, as when others left since. Ejection is then ignored: a service whose
// servers are all slow is better served slowly than not at all.
func tooManyEjected(list []*servers.Entry, now time.Time) bool {
	usable, ejected := 0, 0
	for _, e := range list {
		v := e.View()
		if !v.Usable() {
			continue
		}
		usable++
		if v.Ejected(now) {
			ejected++
		}
	}
	return ejected*2 > usable
}

type scorer struct {
	request       *Request
	now           time.Time
	ignoreEjected bool
}

// score fills in the costs and returns the lowest; a server that is not usable
// costs infinity. full tells whether servers at their limit count.
func (s *scorer) score(list []*servers.Entry, costs []float64, full bool) float64 {
	best := math.Inf(1)
	for i, e := range list {
		v := e.View()
		costs[i] = math.Inf(1)
		if !s.permitted(v) || (!full && e.InFlight() >= e.Limit()) {
			continue
		}
		costs[i] = s.cost(e, v)
		best = min(best, costs[i])
	}
	return best
}

func (s *scorer) permitted(v *servers.Server) bool {
	r := s.request
	if !v.Usable() || (v.Ejected(s.now) && !s.ignoreEjected) {
		return false
	}
	if len(r.Exclude) > 0 && r.Exclude[v.ID] {
		return false
	}
	return r.Service.AllowsVersion(v.Version) && Allowed(r, v.Region, v.Domain)
}

// Expected is the time to the first token that a server should need for the
// request, by its reports alone.
func Expected(r *Request, e *servers.Entry, now time.Time) time.Duration {
	s := scorer{request: r, now: now}
	return time.Duration(s.expected(e, e.View()) * float64(time.Second))
}

// Alone is the time to the first token without the requests ahead of it.
func Alone(r *Request, e *servers.Entry) time.Duration {
	v := e.View()
	seconds := float64(r.Uncached(e))/prefillRate(v) + stepTime(v)
	return time.Duration(seconds * float64(time.Second))
}

func prefillRate(v *servers.Server) float64 {
	if v.Load.PrefillRate <= 0 {
		return defaultPrefillRate
	}
	return v.Load.PrefillRate
}

// stepTime is how long the server takes to give each running request a token.
func stepTime(v *servers.Server) float64 {
	if v.Load.DecodeRate <= 0 {
		return 0
	}
	return float64(v.Load.Running) / v.Load.DecodeRate
}

func (s *scorer) expected(e *servers.Entry, v *servers.Server) float64 {
	rate := prefillRate(v)
	age := s.now.Sub(v.Load.At)
	fade := 1 / (1 + max(age.Seconds(), 0)/fadeAfter.Seconds())
	others := fade * float64(max(v.Load.Running+v.Load.Waiting-v.OwnAtReport, 0))
	pending := fade*float64(v.Load.WaitingTokens) + float64(e.PendingTokens())
	expected := (pending+float64(s.request.Uncached(e)))/rate + (others+float64(e.InFlight()))*perRequest
	if v.Load.Waiting > 0 && v.Load.Running > 0 {
		expected += fade * float64(v.Load.Waiting) * v.MeanDuration.Seconds() / float64(v.Load.Running)
	}
	return expected + stepTime(v)
}

// cost is the expected time to the first token in seconds, corrected by what
// was measured, and what the policy adds.
func (s *scorer) cost(e *servers.Entry, v *servers.Server) float64 {
	cost := s.expected(e, v) * v.LatencyFactor
	if s.request.Service.Policy == service.PolicyCost {
		cost += (costPrefillFactor - 1) * float64(s.request.Uncached(e)) / prefillRate(v)
	}
	if up := s.now.Sub(v.Since); up < warmUp {
		cost += warmUpPenalty.Seconds() * (1 - up.Seconds()/warmUp.Seconds())
	}
	return cost
}

// Uncached returns the prompt tokens that the server would have to compute.
func (r *Request) Uncached(e *servers.Entry) int {
	if r.Cached == nil {
		return r.PromptTokens
	}
	cached := r.Cached.Of(e.Slot()) * tokens.BlockTokens
	return max(r.PromptTokens-cached, 0)
}

// Permitted tells whether the request may run on the server now.
func Permitted(r *Request, e *servers.Entry, now time.Time) bool {
	s := scorer{request: r, now: now}
	return s.permitted(e.View())
}

func draw(list []*servers.Entry, costs []float64, limit float64, rng *rand.Rand) int {
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

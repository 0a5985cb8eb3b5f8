package placement

import (
	"cmp"
	"time"
)

// candidate is a server with the cost of a request at it.
type candidate struct {
	*server
	firstByteSeconds float64 // expected time to the first byte
	cost             float64 // seconds; the cheapest candidate is chosen
	uncached         float64 // prompt tokens of the request that the server has to compute
	backlog          float64 // prompt tokens of other requests that are computed before
	gapSeconds       float64 // longest gap that the prefill is expected to cause in running generations
	ownSeconds       float64 // part of firstByteSeconds that the request's own prompt or work takes
	secondsPerToken  float64 // that a prompt token adds to the time to the first byte
	cached           int     // prompt tokens that the server is expected to have cached
	fetchFrom        string  // address of a server to fetch cached tokens from; may be empty
}

// tooLate reports whether a request that misses its objective is to be refused.
func (c *candidate) tooLate(r *Request, now time.Time) bool {
	return c.firstByteSeconds > lateDeadlineFraction*r.Deadline.Sub(now).Seconds() || c.firstByteSeconds-c.ownSeconds > lateBacklogFraction*r.Objective.Seconds()
}

// slots returns how many requests a server runs at once.
func (p *Pool) slots(s *server) float64 {
	return float64(max(cmp.Or(s.Slots, p.settings.Slots), 1))
}

// running returns how many requests a server is expected to have.
func (p *Pool) running(s *server, now time.Time) float64 {
	return float64(s.inFlight) + max(s.othersInFlight*ageWeight(now.Sub(s.reportedAt)), float64(s.fromPeers.inFlight))
}

// limit returns how many requests a server is sent at most.
func (p *Pool) limit(s *server) float64 {
	if p.settings.Engine {
		return p.slots(s)
	}
	return queueFactor * p.slots(s)
}

// full reports whether a server accepts no request of the urgency.
func (p *Pool) full(s *server, urgency int, now time.Time) bool {
	return p.occupied(s, urgency, now) >= p.limit(s)
}

// score computes the cost of the request at a server. A plain server with a free slot starts
// the request at once, so that the excess time of earlier responses only makes the server
// dearer than others; it counts towards the first byte only where requests queue. Otherwise
// one slow response of a region's only server would have all further requests refused beside
// free slots until the excess has decayed.
func (p *Pool) score(c *candidate, s *server, r *Request, preferred *server, expectedGap float64, now time.Time) {
	*c = candidate{server: s}
	if !p.settings.Engine {
		slots := p.slots(s)
		c.ownSeconds = p.serviceSeconds * s.latencyFactor * s.machineFactor
		c.firstByteSeconds = c.ownSeconds
		if queued := p.running(s, now) - slots + 1; queued > 0 {
			c.firstByteSeconds += queued/slots*c.ownSeconds + s.excess(now)
		}
		c.cost = c.firstByteSeconds + s.excess(now) + p.running(s, now)*p.serviceSeconds/slots
		return
	}
	c.cached = s.cache.match(r.Segments)
	c.uncached = float64(max(r.Tokens-c.cached, 0))
	others := p.peersPending(s, r.Urgency)
	if !p.urgent(r.Urgency) { // the engine starts an urgent request before those that wait
		others = max(others, s.reportedWaiting*ageWeight(now.Sub(s.reportedAt))*p.meanUncached)
	}
	c.backlog = s.pendingUpTo(r.Urgency) + others
	base, perToken := p.firstByteModel()
	factor := s.latencyFactor * s.machineFactor * p.latencyFactor
	c.secondsPerToken = perToken * factor
	if p.fitsPace() {
		base *= factor
	}
	c.firstByteSeconds = base + (c.backlog+c.uncached)*c.secondsPerToken + s.excess(now)
	c.ownSeconds = c.uncached * c.secondsPerToken
	c.cost = c.firstByteSeconds + (prefillWeight-1)*c.uncached/p.prefillRate + p.running(s, now)*runningCost
	if p.preempts(s, r.Urgency, now) {
		c.cost += preemptionCost
	}
	c.gapSeconds = expectedGap * s.gapFactor
	if !p.limitsPrefillRuns() && p.exceedsGap(c) {
		c.cost += p.running(s, now) * longGapCost
	}
	if s == preferred {
		c.cost -= preferredDiscount * float64(r.sharedTokens()) / p.prefillRate
	}
}

// runningCost is what each running request adds to a server's cost, in seconds: the
// step grows by 16 µs for each, and a full batch accepts no request.
const runningCost = 0.0003

// onTime reports whether the response is expected to begin within the objective.
func (c *candidate) onTime(r *Request, now time.Time) bool {
	return r.Objective <= 0 || seconds(c.firstByteSeconds) <= scaleDuration(r.Objective-now.Sub(r.Arrived), objectiveFraction)
}

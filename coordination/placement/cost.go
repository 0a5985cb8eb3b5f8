package placement

import (
	"cmp"
	"time"
)

// candidate is a server with what it would cost.
type candidate struct {
	*server
	expected  float64 // seconds to the first byte
	cost      float64 // seconds; the cheapest candidate is chosen
	unread    float64 // prompt tokens of the request to be read there
	ahead     float64 // prompt tokens of others to be read before
	pause     float64 // the longest that reading the prompt should cause, in seconds
	own       float64 // of expected: the request's own prompt or work
	cached    int     // prompt tokens that the server is taken to hold
	fetchFrom string  // address of a server to fetch more of them from; may be empty
}

// tooLate tells whether a request that misses its objective is not worth its place.
func (c *candidate) tooLate(w *Request, now time.Time) bool {
	return c.expected > lateShare*w.Deadline.Sub(now).Seconds() || c.expected-c.own > lateAhead*w.Objective.Seconds()
}

// slots is how many requests a server runs at once.
func (p *Pool) slots(s *server) float64 {
	return float64(max(cmp.Or(s.Slots, p.settings.Slots), 1))
}

// running is how many requests a server is taken to have.
func (p *Pool) running(s *server, now time.Time) float64 {
	return float64(s.inFlight) + max(s.others*fade(now.Sub(s.reportedAt)), float64(s.peers.inFlight))
}

// limit is how many requests a server is sent at most.
func (p *Pool) limit(s *server) float64 {
	if p.settings.Engine {
		return p.slots(s)
	}
	return queueFactor * p.slots(s)
}

func (p *Pool) full(s *server, now time.Time) bool { return p.running(s, now) >= p.limit(s) }

// weigh says what the request would cost at a server. A plain server with a free slot
// begins at once, so what earlier answers took beyond what was expected makes it dearer than
// others there, and late only where requests wait: one slow answer of a region's only
// server would else have all others refused beside free slots until it is forgotten.
func (p *Pool) weigh(c *candidate, s *server, w *Request, home *server, longest float64, now time.Time) {
	*c = candidate{server: s}
	if !p.settings.Engine {
		slots := p.slots(s)
		c.own = p.work * s.pace
		c.expected = c.own
		if queued := p.running(s, now) - slots + 1; queued > 0 {
			c.expected += queued/slots*c.own + s.excess(now)
		}
		c.cost = c.expected + s.excess(now) + p.running(s, now)*p.work/slots
		return
	}
	c.cached = s.cache.match(w.Segments)
	c.unread = float64(max(w.Tokens-c.cached, 0))
	others := max(s.peers.pendingOf(w.Urgency), s.waiting*fade(now.Sub(s.reportedAt))*p.unread)
	c.ahead = s.pendingOf(w.Urgency) + others
	c.expected = baseTime + (c.ahead+c.unread)/p.readRate*s.pace*p.pace + s.excess(now)
	c.own = c.unread / p.readRate * s.pace * p.pace
	c.cost = c.expected + (readWeight-1)*c.unread/p.readRate + p.running(s, now)*runningCost
	c.pause = longest * s.slowness
	if p.disturbs(c) {
		c.cost += p.running(s, now) * disturbCost
	}
	if s == home {
		c.cost -= homeShare * float64(w.shared()) / p.readRate
	}
}

// runningCost is what each running request adds to a server's cost, in seconds: the
// step grows by 16 µs for each, and a full batch takes nobody.
const runningCost = 0.0003

// onTime tells whether the answer should begin within the objective.
func (c *candidate) onTime(w *Request, now time.Time) bool {
	return w.Objective <= 0 || seconds(c.expected) <= share(w.Objective-now.Sub(w.Arrived), objectiveShare)
}

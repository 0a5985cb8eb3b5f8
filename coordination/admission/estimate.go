package admission

import (
	"time"
)

// averageWeight is the weight of a new sample once there are some.
const averageWeight = 0.05

// average is an exponentially weighted mean. The first samples count evenly.
type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	weight := max(1/float64(a.count), averageWeight)
	a.value += weight * (sample - a.value)
}

// expected returns how long a newcomer would wait. It is 0 when a slot is free,
// and as long as nothing is known of how long slots are held: the latest start
// then settles the matter.
func (q *Queue) expected(t *Ticket) time.Duration {
	if q.immediate(t) {
		return 0
	}
	c := q.class(t.Class)
	count, cost := 0, t.Cost
	if own := c.flows.byAccount[t.Account]; own != nil {
		count, cost = len(own.tickets), own.cost+t.Cost
	}
	return q.waitOf(c, c.flows.ahead(t.Account, count, cost, weightOf(t)))
}

// waitBehind returns how long an account's i-th waiting request still waits.
func (q *Queue) waitBehind(c *class, f *flow, i int) time.Duration {
	cost := 0.0
	for _, t := range f.tickets[:i+1] {
		cost += t.Cost
	}
	return q.waitOf(c, c.flows.ahead(f.account, i, cost, f.weight))
}

func (q *Queue) waitOf(c *class, ahead float64) time.Duration {
	rate := q.drainRate(c)
	if rate <= 0 {
		return 0
	}
	return time.Duration((ahead + 1) / rate * float64(time.Second))
}

// drainRate is how many requests of the class start in a second while it waits.
// Interactive requests take any slot that comes free; bulk only its own.
func (q *Queue) drainRate(c *class) float64 {
	if c == &q.interactive {
		own := c.rate(min(c.running, q.capacity))
		if c.hold.count == 0 {
			return 0
		}
		return own + q.bulk.rate(max(q.bulk.running-q.floorSlots(), 0))
	}
	return c.rate(max(min(c.running, q.capacity), q.floorSlots(), 1))
}

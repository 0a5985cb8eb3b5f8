package admission

import (
	"time"

	"github.com/basilroute/basilroute/coordination/fairqueue"
)

// minSampleWeight is the weight of a new sample once there are many.
const minSampleWeight = 0.05

// average is an exponentially weighted moving average. The first 1/minSampleWeight
// samples have equal weights.
type average struct {
	value float64
	count int
}

func (a *average) add(sample float64) {
	a.count++
	weight := max(1/float64(a.count), minSampleWeight)
	a.value += weight * (sample - a.value)
}

// expectedWait returns how long a new request would wait. It is 0 if a slot is free,
// and as long as no slot has been released: such a request waits up to its StartBy.
func (q *Queue) expectedWait(t *Ticket) time.Duration {
	if q.immediate(t) {
		return 0
	}
	c := q.class(t.Class)
	return q.waitFor(c, c.flows.Ahead(t.Share()))
}

// remainingWait returns the expected wait of an account's i-th waiting request.
func (q *Queue) remainingWait(c *class, f *fairqueue.Flow[*Ticket], i int) time.Duration {
	return q.waitFor(c, c.flows.AheadOf(f, i))
}

func (q *Queue) waitFor(c *class, ahead float64) time.Duration {
	rate := q.drainRate(c)
	if rate <= 0 {
		return 0
	}
	return time.Duration((ahead + 1) / rate * float64(time.Second))
}

// drainRate returns how many requests of the class start per second while others of
// it wait. Interactive requests take any slot that bulk holds beyond its floor; bulk
// takes only its own.
func (q *Queue) drainRate(c *class) float64 {
	if c == &q.interactive {
		interactiveRate := c.rate(min(c.running, q.capacity))
		if c.holdTime.count == 0 {
			return 0
		}
		return interactiveRate + q.bulk.rate(max(q.bulk.running-q.floorSlots(), 0))
	}
	return c.rate(max(min(c.running, q.capacity), q.floorSlots(), 1))
}

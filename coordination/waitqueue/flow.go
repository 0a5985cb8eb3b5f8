package waitqueue

import "time"

// Load pattern: tens of instances share the slots of a region, and each learns first of those that its
// own requests free. If it gave all of these to its own waiting requests, the instances that had
// most requests running when a burst began would keep the slots, and the others would refuse theirs.
//
// So while the slots are taken, an instance starts no more than its share of what the region starts, and
// leaves other slots to instances that see them in the next load reports.

// shareBurst is the time for which an instance may start its share ahead.
const shareBurst = 200 * time.Millisecond

// Flow is how fast the slots of a region turn over.
type Flow struct {
	Rate      float64 // requests per second that end; 0 if not known
	FreeSlots float64
	Instances int // that share the slots, this one included
}

// share returns the rate of starts that is due to one instance.
func (f Flow) share() float64 { return f.Rate / float64(max(f.Instances, 1)) }

// contended reports whether there is not a free slot for each instance.
func (f Flow) contended() bool { return f.Rate > 0 && f.FreeSlots < float64(f.Instances) }

// SetFlow updates how fast the region's slots turn over.
func (q *Queue[T]) SetFlow(f Flow) { q.flow = f }

// MayStart reports whether a request may take a slot of the local region now.
func (q *Queue[T]) MayStart(now time.Time) bool {
	return !q.flow.contended() || !now.Before(q.nextStart)
}

// RecordSlot counts a slot of the local region that a request takes.
func (q *Queue[T]) RecordSlot(now time.Time) {
	if share := q.flow.share(); share > 0 {
		q.nextStart = later(q.nextStart, now.Add(-shareBurst)).Add(waitFor(1, share))
	}
}

// ExpectedWait returns how long a new request would wait that can be on time.
func (q *Queue[T]) ExpectedWait(now time.Time) time.Duration {
	if q.onTime.Len() == 0 && q.MayStart(now) && !q.flow.contended() {
		return 0
	}
	return waitFor(float64(q.onTime.Len()+1), q.startRate(now))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

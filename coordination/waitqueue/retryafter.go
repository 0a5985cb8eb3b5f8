package waitqueue

import "time"

const (
	// minRetryAfter is the shortest Retry-After: a slot is held for longer.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest Retry-After. Bursts are mostly over by then; if not, the caller is
	// refused again with a new time.
	maxRetryAfter = 5 * time.Second
)

// refuse returns the refusal of a request. Refused callers are told to return one behind another, at
// the pace at which they can be started.
func (q *Queue[T]) refuse(t *Ticket[T], reason Reason, now time.Time) *Refusal {
	rate := q.startRate(now)
	ready := now.Add(max(q.onTimeWait(t, now)-max(t.OnTime.Sub(now), 0), minRetryAfter))
	if q.nextReturn.Before(ready) {
		q.nextReturn = ready
	}
	wait := min(q.nextReturn.Sub(now), maxRetryAfter)
	q.nextReturn = now.Add(wait).Add(waitFor(1, max(returnShare*rate, rate-q.demand.rate(now))))
	return &Refusal{Reason: reason, RetryAfter: wait}
}

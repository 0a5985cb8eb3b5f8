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
// the pace at which they can be started. A caller that would not keep such a time gets the longest one,
// and takes no place among them.
func (q *Queue[T]) refuse(t *Ticket[T], reason Reason, now time.Time) *Refusal {
	ready := max(q.onTimeWait(t, now)-max(t.OnTime.Sub(now), 0), minRetryAfter)
	wait := max(ready, t.ReturnFrom.Sub(now), q.nextReturn.Sub(now))
	if wait > q.maxReturn(t, now) {
		return &Refusal{Reason: reason, RetryAfter: maxRetryAfter}
	}
	rate := q.startRate(now)
	q.nextReturn = now.Add(wait).Add(waitFor(1, max(returnShare*rate, rate-q.demand.rate(now))))
	return &Refusal{Reason: reason, RetryAfter: wait}
}

// maxReturn returns the longest Retry-After that the caller of a request keeps.
func (q *Queue[T]) maxReturn(t *Ticket[T], now time.Time) time.Duration {
	if t.ReturnUntil.IsZero() {
		return maxRetryAfter
	}
	left := t.ReturnUntil.Sub(now).Seconds() / (1 + q.settings.RetryJitter)
	return min(maxRetryAfter, time.Duration(left*float64(time.Second)))
}

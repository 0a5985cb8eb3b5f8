package placement

import (
	"math"
	"time"
)

// Refused requests are retried. If all callers get the same short Retry-After, they return
// into the same traffic spike: most are refused again, and those that are not take the slots
// of new requests, although they have missed their objective and the new ones would not. So
// each caller gets a time of its own, after those handed out before, spaced so that a small
// fraction of the servers' throughput can serve the retries. During a spike the times extend
// beyond its end; once it is over, nobody waits for long.
const (
	// retryFraction is the fraction of the placement rate at which refused callers are told to
	// retry. A larger value lets more of them return into a spike of some seconds, a smaller one
	// gives more of them maxRetryAfter.
	retryFraction = 0.12
	// minRetryRate is the lowest rate of retries per second: that of an instance that has
	// placed nothing yet.
	minRetryRate = 2.0
	// maxRetryAfter is the longest Retry-After. Spikes are over by then; if not, the caller is
	// refused again with a new time.
	maxRetryAfter = 5 * time.Second
	// placementDecaySeconds is the time constant over which placements are averaged.
	placementDecaySeconds = 2.0
)

// retryScheduler hands out the Retry-After of refused requests.
type retryScheduler struct {
	recentPlacements float64 // placements, decaying over placementDecaySeconds
	decayedAt        time.Time
	next             time.Time // earliest time for the next retry, after those handed out before
}

func (s *retryScheduler) decay(now time.Time) {
	s.recentPlacements *= math.Exp(-max(now.Sub(s.decayedAt).Seconds(), 0) / placementDecaySeconds)
	s.decayedAt = now
}

// recordPlacement counts a placement.
func (s *retryScheduler) recordPlacement(now time.Time) {
	s.decay(now)
	s.recentPlacements++
}

// retryAfter returns when the next refused caller may retry, at least minWait from now.
func (s *retryScheduler) retryAfter(minWait time.Duration, now time.Time) time.Duration {
	s.decay(now)
	earliest := now.Add(minWait)
	if s.next.Before(earliest) {
		s.next = earliest
	}
	wait := min(s.next.Sub(now), max(maxRetryAfter, minWait))
	rate := max(retryFraction*s.recentPlacements/placementDecaySeconds, minRetryRate)
	s.next = now.Add(wait).Add(seconds(1 / rate))
	return wait
}

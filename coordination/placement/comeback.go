package placement

import (
	"math"
	"time"
)

// Requests that are refused come back. Told the same short time all of them, they return
// into the same peak: most are refused again, and those that are not hold the slots of
// fresh ones, although they have missed their objective and the fresh ones would not. So
// each is told a time of its own, behind those told before it, at the pace at which a part
// of the servers' work could take them. In a peak the times move out beyond it; when it is
// over nobody is told to wait for long.
const (
	// comebackShare is the part of what is placed that is kept for those who come back.
	// With a quarter more of them return before a peak of some seconds has ended; with a
	// twelfth times reach comebackMost sooner. In between both serve as many.
	comebackShare = 0.12
	// comebackLeast is the least rate of those who come back, a second: that of an
	// instance that has placed nothing yet.
	comebackLeast = 2.0
	// comebackMost is the longest time that is told. Peaks are over by then, or the caller
	// is better told again.
	comebackMost = 5 * time.Second
	// placedFor is over how long placements are averaged, in seconds.
	placedFor = 2.0
)

// comeback tells refused requests when to come back.
type comeback struct {
	placed float64 // placements, each fading over placedFor
	at     time.Time
	next   time.Time // the time told last
}

func (c *comeback) fade(now time.Time) {
	c.placed *= math.Exp(-max(now.Sub(c.at).Seconds(), 0) / placedFor)
	c.at = now
}

// took counts a placement.
func (c *comeback) took(now time.Time) {
	c.fade(now)
	c.placed++
}

// after returns when the next one may come back, at least a time from now.
func (c *comeback) after(least time.Duration, now time.Time) time.Duration {
	c.fade(now)
	earliest := now.Add(least)
	if c.next.Before(earliest) {
		c.next = earliest
	}
	wait := min(c.next.Sub(now), max(comebackMost, least))
	rate := max(comebackShare*c.placed/placedFor, comebackLeast)
	c.next = now.Add(wait).Add(seconds(1 / rate))
	return wait
}

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
	// comebackShare is the part of the pace of placements at which those who were refused
	// are told to come back. A larger part lets more of them return into a peak of some
	// seconds, a smaller one tells more of them comebackMost.
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
	next   time.Time // the earliest time for the next one, behind those told before
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

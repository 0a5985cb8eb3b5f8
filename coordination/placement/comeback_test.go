package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The replay is a service that starts 100 requests a second at the most and has twice that
// asked of it for three seconds, in a quiet half minute. Each caller comes back once, at the
// time that it was told. A request is on time when it is placed at the first call.
const (
	peakCapacity = 100.0 // placements per second
	peakQuiet    = 60.0  // requests per second
	peakBusy     = 200.0
	peakFrom     = 5 * time.Second
	peakTo       = 8 * time.Second
	peakLength   = 20 * time.Second
)

type peakOutcome struct{ onTime, late, lost int }

// replayPeak lets refused callers come back when told.
func replayPeak(seed uint64, after func(c *comeback, now time.Time) time.Duration) peakOutcome {
	type call struct {
		at    time.Time
		again bool
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var calls []call
	for at := time.Duration(0); at < peakLength; {
		rate := peakQuiet
		if at >= peakFrom && at < peakTo {
			rate = peakBusy
		}
		at += seconds(rng.ExpFloat64() / rate)
		calls = append(calls, call{at: replayStart.Add(at)})
	}
	var o peakOutcome
	var c comeback
	free := replayStart // when the next placement may start
	for len(calls) > 0 {
		first := 0
		for i := range calls {
			if calls[i].at.Before(calls[first].at) {
				first = i
			}
		}
		next := calls[first]
		calls[first] = calls[len(calls)-1]
		calls = calls[:len(calls)-1]
		// A tenth of a second of work may stand ahead of a request.
		if free.Sub(next.at) < 100*time.Millisecond {
			free = later(free, next.at).Add(seconds(1 / peakCapacity))
			c.took(next.at)
			if next.again {
				o.late++
			} else {
				o.onTime++
			}
			continue
		}
		wait := after(&c, next.at)
		if next.again {
			o.lost++
			continue
		}
		calls = append(calls, call{at: next.at.Add(wait), again: true})
	}
	return o
}

// A peak is twice what the servers can take. Refused callers who are told one short time
// return into it: they are refused again, and those who are not take the places of fresh
// requests that would still have been on time. Told times that move out beyond the peak,
// more of them are served, and more of the fresh ones on time.
func TestReplayOfCallersWhoComeBack(t *testing.T) {
	for seed := range uint64(4) {
		ours := replayPeak(seed, func(c *comeback, now time.Time) time.Duration { return c.after(retryFull, now) })
		flat := replayPeak(seed, func(*comeback, time.Time) time.Duration { return retryFull })
		t.Logf("seed %d: spread %+v, one time for all %+v", seed, ours, flat)
		if ours.lost*2 > flat.lost {
			t.Errorf("seed %d: %d lost, with one time for all %d", seed, ours.lost, flat.lost)
		}
		if ours.onTime <= flat.onTime {
			t.Errorf("seed %d: %d on time, with one time for all %d", seed, ours.onTime, flat.onTime)
		}
	}
}

// The first one refused comes back soon, later ones behind it, nobody later than the most,
// and when no more is refused the times are short again.
func TestComebackTimes(t *testing.T) {
	var c comeback
	now := replayStart
	for range 200 {
		c.took(now)
	}
	first := c.after(retryFull, now)
	if first != retryFull {
		t.Errorf("the first one is told %s", first)
	}
	last := first
	for range 500 {
		wait := c.after(retryFull, now)
		if wait < last || wait > comebackMost {
			t.Fatalf("told %s after %s", wait, last)
		}
		last = wait
	}
	if last != comebackMost {
		t.Errorf("the last one is told %s", last)
	}
	if wait := c.after(retryFull, now.Add(comebackMost+time.Second)); wait != retryFull {
		t.Errorf("after the peak %s", wait)
	}
}

package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The replay is a service that starts at most 100 requests a second and receives twice that
// for three seconds, with normal load before and after. Each refused caller retries once,
// after the Retry-After that it was given. A request is on time when it is placed at the
// first attempt.
const (
	spikeCapacity     = 100.0 // placements per second
	normalRate        = 60.0  // requests per second
	spikeRate         = 200.0
	spikeStart        = 5 * time.Second
	spikeEnd          = 8 * time.Second
	spikeReplayLength = 20 * time.Second
)

type spikeOutcome struct{ onTime, late, lost int }

// replaySpike lets refused callers retry after the time that retryAfter returns.
func replaySpike(seed uint64, retryAfter func(c *retryScheduler, now time.Time) time.Duration) spikeOutcome {
	type call struct {
		at    time.Time
		again bool
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var calls []call
	for at := time.Duration(0); at < spikeReplayLength; {
		rate := normalRate
		if at >= spikeStart && at < spikeEnd {
			rate = spikeRate
		}
		at += seconds(rng.ExpFloat64() / rate)
		calls = append(calls, call{at: replayStart.Add(at)})
	}
	var o spikeOutcome
	var c retryScheduler
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
		// The backlog ahead of a request may be a tenth of a second.
		if free.Sub(next.at) < 100*time.Millisecond {
			free = later(free, next.at).Add(seconds(1 / spikeCapacity))
			c.recordPlacement(next.at)
			if next.again {
				o.late++
			} else {
				o.onTime++
			}
			continue
		}
		wait := retryAfter(&c, next.at)
		if next.again {
			o.lost++
			continue
		}
		calls = append(calls, call{at: next.at.Add(wait), again: true})
	}
	return o
}

// A traffic spike is twice what the servers can serve. Refused callers that all get one short
// Retry-After return into it: they are refused again, and those that are not take the place of
// new requests that would still have been on time. With times that extend beyond the spike,
// more of them are served, and more of the new ones on time.
func TestReplayOfCallersThatRetry(t *testing.T) {
	for seed := range uint64(4) {
		ours := replaySpike(seed, func(c *retryScheduler, now time.Time) time.Duration { return c.retryAfter(retryAfterFull, now) })
		flat := replaySpike(seed, func(*retryScheduler, time.Time) time.Duration { return retryAfterFull })
		t.Logf("seed %d: spread %+v, same time for all %+v", seed, ours, flat)
		if ours.lost*2 > flat.lost {
			t.Errorf("seed %d: %d lost, with the same time for all %d", seed, ours.lost, flat.lost)
		}
		if ours.onTime <= flat.onTime {
			t.Errorf("seed %d: %d on time, with the same time for all %d", seed, ours.onTime, flat.onTime)
		}
	}
}

// The first refused caller gets the shortest time, later ones longer times up to the maximum,
// and once no more callers are refused the times are short again.
func TestRetryAfterTimes(t *testing.T) {
	var c retryScheduler
	now := replayStart
	for range 200 {
		c.recordPlacement(now)
	}
	first := c.retryAfter(retryAfterFull, now)
	if first != retryAfterFull {
		t.Errorf("the first Retry-After is %s", first)
	}
	last := first
	for range 500 {
		wait := c.retryAfter(retryAfterFull, now)
		if wait < last || wait > maxRetryAfter {
			t.Fatalf("Retry-After %s after %s", wait, last)
		}
		last = wait
	}
	if last != maxRetryAfter {
		t.Errorf("the last Retry-After is %s", last)
	}
	if wait := c.retryAfter(retryAfterFull, now.Add(maxRetryAfter+time.Second)); wait != retryAfterFull {
		t.Errorf("Retry-After %s after the spike", wait)
	}
}

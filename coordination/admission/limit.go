package admission

import (
	"math"
	"time"
)

const (
	minLimit       = 1
	startLimit     = 4
	shrink         = 0.8                    // of the limit, when a server is congested
	shrinkEvery    = 500 * time.Millisecond // a congestion shows in several samples: it counts once
	lateFactor     = 1.5                    // time to the first token against the expected one at which bulk gives way
	lateFloor      = 100 * time.Millisecond // lateness below which it does not
	slowFactor     = 3.0                    // the same for the limit of all
	slowFloor      = 250 * time.Millisecond
	usedShare      = 0.7              // of the limit in use for the limit to grow
	bulkShare      = 0.35             // of a server's places, above which bulk gives way
	sharedFor      = 30 * time.Second // after an interactive answer, bulk leaves places free
	forgetFastest  = 100              // answers after which the fastest one has nearly tripled
	waitingAllowed = 1                // requests waiting in the server that are no congestion
)

// Limiter adapts how many requests one instance keeps in flight on one server.
// The limit doubles with every round of answers until the first congestion, and
// then grows by one a round and shrinks by a fifth when the server is congested.
//
// Bulk has a limit of its own within it, and gives way first: engines honour
// priorities, so what bulk takes from interactive requests is the places in the
// batch. One limit for both shrank under bulk alone, and interactive requests
// then queued here for seconds before engines that would have taken them.
//
// Several instances of a failure domain use the same servers and do not talk
// about it. All of them see the same congestion, since a server reports what
// waits in it from all of them. With additive growth and multiplicative
// shrinking the one with the larger limit loses more and gains the same, so
// limits approach an even split, and an instance without callers, whose limit
// is not used and does not grow, leaves its part to the others.
type Limiter struct {
	all, bulk   window
	bootID      string
	interactive time.Time     // when the last interactive request was answered
	batch       int           // requests that ran when others had to wait in the server; 0 when not seen
	fastest     time.Duration // answer of late, for servers that nothing is expected of
}

// window is one limit.
type window struct {
	limit     float64
	slowStart bool
	shrunk    time.Time
}

func newWindow() window { return window{limit: startLimit, slowStart: true} }

func (w *window) grow(inFlight int, ceiling float64) {
	if float64(inFlight) < usedShare*w.limit {
		return
	}
	if w.slowStart {
		w.limit++
	} else {
		w.limit += 1 / w.limit
	}
	w.limit = min(w.limit, ceiling)
}

func (w *window) shrink(now time.Time) {
	w.slowStart = false
	if now.Sub(w.shrunk) < shrinkEvery {
		return
	}
	w.shrunk = now
	w.limit = max(w.limit*shrink, minLimit)
}

// NewLimiter returns the limiter of a server that nothing is known of.
func NewLimiter() *Limiter {
	return &Limiter{all: newWindow(), bulk: newWindow()}
}

// Limit returns the requests in flight that are allowed, ceiling at most, and
// how many of them may be bulk.
func (l *Limiter) Limit(ceiling int) (all, bulk int) {
	all = max(minLimit, min(int(math.Floor(l.all.limit)), ceiling))
	bulk = max(minLimit, min(int(math.Floor(l.bulk.limit)), all))
	return all, bulk
}

// Sample is what one request showed of its server.
type Sample struct {
	Bulk         bool
	Latency      time.Duration // to the first token; whole answer of a plain service
	Expected     time.Duration // without waiting in the server; 0 when not known
	InFlight     int           // of this instance, the request included
	BulkInFlight int           // of InFlight
	Failed       bool
}

// AddSample takes in the outcome of a request.
func (l *Limiter) AddSample(a Sample, ceiling int, now time.Time) {
	if a.Failed {
		l.bulk.shrink(now)
		l.all.shrink(now)
		return
	}
	if !a.Bulk {
		l.interactive = now
	}
	late, ratio := l.lateness(a)
	switch {
	case a.Bulk:
	case late > slowFloor && ratio > slowFactor:
		l.congested(a.BulkInFlight, now)
		return
	case a.BulkInFlight > 0 && late > lateFloor && ratio > lateFactor:
		l.bulk.shrink(now)
		return
	}
	if l.batch > 0 {
		ceiling = min(ceiling, l.batch)
	}
	l.all.grow(a.InFlight, float64(ceiling))
	if a.Bulk {
		l.bulk.grow(a.BulkInFlight, l.all.limit)
	}
}

// lateness compares an answer with the time that its server needs alone.
func (l *Limiter) lateness(a Sample) (late time.Duration, ratio float64) {
	expected := a.Expected
	if expected == 0 {
		expected = l.usual(a.Latency)
	}
	return a.Latency - expected, float64(a.Latency) / float64(max(expected, 1))
}

// LoadReport is what a server says of itself, and InBulk how many bulk requests this
// instance has there.
type LoadReport struct {
	BootID           string
	Running, Waiting int
	BulkInFlight     int
}

// ApplyReport takes in a server's report. A restarted server starts cold: its
// limits begin anew. Once it is known how many requests the server runs at a
// time, bulk gives way before the last places are taken: an interactive request
// that finds the batch full waits for a long answer to end, whatever its
// priority. Where no interactive requests came of late, bulk may have it all.
func (l *Limiter) ApplyReport(r LoadReport, now time.Time) {
	if l.bootID != "" && r.BootID != l.bootID {
		*l = *NewLimiter()
	}
	l.bootID = r.BootID
	if r.Waiting > waitingAllowed {
		l.batch = max(r.Running, 1)
		l.all.limit = min(l.all.limit, float64(l.batch))
		l.congested(r.BulkInFlight, now)
		return
	}
	shared := now.Sub(l.interactive) < sharedFor
	if shared && r.BulkInFlight > 0 && float64(r.Running) > bulkShare*float64(l.batch) && l.batch > 0 {
		l.bulk.shrink(now)
	}
}

func (l *Limiter) congested(inBulk int, now time.Time) {
	if inBulk > 0 && l.bulk.limit > minLimit {
		l.bulk.shrink(now)
		return
	}
	l.all.shrink(now)
}

// usual returns the fastest answer of late; it is forgotten slowly.
func (l *Limiter) usual(latency time.Duration) time.Duration {
	l.fastest += l.fastest / forgetFastest
	if l.fastest == 0 || latency < l.fastest {
		l.fastest = latency
	}
	return l.fastest
}

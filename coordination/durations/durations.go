// Package durations measures how long requests take, as an upper estimate for the next one of
// the same kind. The time is passed in.
package durations

import (
	"math/bits"
	"sync"
	"time"
)

// Kind is a group of requests that are expected to take similarly long.
type Kind struct {
	Route   string
	Service string
	size    int // number of binary digits of the output tokens
}

// KindOf returns the kind of a request that may produce a number of output tokens; 0 if it
// produces none or their number is not known.
func KindOf(route, service string, outputTokens int) Kind {
	return Kind{Route: route, Service: service, size: bits.Len(uint(max(outputTokens, 0)))}
}

const (
	// periodLength times periods is how long a measurement counts. A period is dropped as a
	// whole.
	periodLength = 15 * time.Second
	periods      = 8
	// minCompleted is the number of requests that have to end before their durations are an
	// estimate: the longest of a few is often below that of the next one.
	minCompleted = 10
	// marginFactor times the longest duration, and at least minMargin, is added to it.
	marginFactor = 1.0
	minMargin    = 500 * time.Millisecond
	// maxKinds bounds the memory. Kinds beyond it have no estimate.
	maxKinds = 1024
)

// Table holds the measured durations. The zero value has none. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	origin time.Time // periods are counted from here
	swept  int64     // period in which outdated kinds were last dropped
	kinds  map[Kind]*history
}

// history holds the durations of a kind in the last periods.
type history struct {
	period    int64 // the current one
	longest   [periods]time.Duration
	completed [periods]int
}

// Record records a request that took some time. A request that is not complete would have
// taken longer, or had another duration.
func (t *Table) Record(k Kind, took time.Duration, complete bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kinds == nil {
		t.kinds, t.origin = make(map[Kind]*history), now
	}
	period := t.period(now)
	h := t.history(k, period)
	if h == nil {
		return
	}
	h.advance(period)
	at := h.period % periods
	h.longest[at] = max(h.longest[at], took)
	if complete {
		h.completed[at]++
	}
}

// Upper returns an upper estimate of how long a request takes. It returns false if too few
// requests of the kind have been measured.
func (t *Table) Upper(k Kind, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.kinds[k]
	if h == nil {
		return 0, false
	}
	h.advance(t.period(now))
	completed, longest := 0, time.Duration(0)
	for at := range periods {
		completed += h.completed[at]
		longest = max(longest, h.longest[at])
	}
	if completed < minCompleted {
		return 0, false
	}
	return longest + max(time.Duration(marginFactor*float64(longest)), minMargin), true
}

func (t *Table) period(now time.Time) int64 { return int64(now.Sub(t.origin) / periodLength) }

// history returns the history of a kind, or nil if there is no room for it.
func (t *Table) history(k Kind, period int64) *history {
	h := t.kinds[k]
	if h != nil {
		return h
	}
	if len(t.kinds) >= maxKinds {
		t.sweep(period)
	}
	if len(t.kinds) >= maxKinds {
		return nil
	}
	h = &history{period: period}
	t.kinds[k] = h
	return h
}

// sweep drops the kinds without measurements in the last periods, at most once per period.
func (t *Table) sweep(period int64) {
	if t.swept == period {
		return
	}
	t.swept = period
	for k, h := range t.kinds {
		if period-h.period >= periods {
			delete(t.kinds, k)
		}
	}
}

// advance drops the measurements that no longer count.
func (h *history) advance(period int64) {
	for missed := min(period-h.period, periods); missed > 0; missed-- {
		at := (period - missed + 1) % periods
		h.longest[at], h.completed[at] = 0, 0
	}
	h.period = max(h.period, period)
}

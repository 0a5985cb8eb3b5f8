package admission

import (
	"math"
	"time"
)

const (
	minLimit          = 1
	startLimit        = 4
	shrinkFactor      = 0.8                    // factor of the limit when a server is congested
	shrinkInterval    = 500 * time.Millisecond // minimum time between reductions, as one congestion shows in several samples
	bulkLateFactor    = 1.5                    // time to first token over the expected one above which the bulk limit is reduced
	bulkMinLateness   = 100 * time.Millisecond // lateness up to which it is not
	totalLateFactor   = 3.0                    // the same for the total limit
	totalMinLateness  = 250 * time.Millisecond
	minUtilization    = 0.7              // fraction of a limit that has to be in use for it to grow
	maxBulkFraction   = 0.35             // fraction of the batch in use above which the bulk limit is reduced
	interactiveWindow = 30 * time.Second // after an interactive request, for which bulk leaves places in the batch free
	fastestDecay      = 100              // the fastest latency rises by 1/fastestDecay with each sample: in 100 samples by nearly three times
	maxWaiting        = 1                // waiting requests in the server up to which it is not congested
)

// Limiter adapts how many requests one instance keeps in flight on one server.
// The limit doubles with each round of responses until the first congestion (slow
// start), and then grows by one per round and is reduced by a fifth when the server
// is congested (additive increase, multiplicative decrease).
//
// Bulk has a limit of its own within the total, which is reduced first: engines
// honour priorities, so bulk takes from interactive requests only places in the
// batch. A single limit for both was reduced by bulk alone, and interactive requests
// then queued at the instance for seconds before engines that would have taken them.
//
// Several instances of a failure domain use the same servers and do not coordinate
// their limits. All of them see the same congestion, since a server reports the
// waiting requests of all instances. With additive increase and multiplicative
// decrease the instance with the larger limit loses more and gains the same, so the
// limits converge to an even split. An instance without callers does not use its
// limit, which therefore does not grow, and leaves its share to the others.
type Limiter struct {
	total, bulk     adaptiveLimit
	bootID          string
	lastInteractive time.Time     // when the last response to an interactive request was recorded
	batchSize       int           // running requests at the last congestion; 0 before the first
	fastestLatency  time.Duration // recent minimum, where no latency is expected; rises slowly
}

// adaptiveLimit is a limit with slow start, additive increase and multiplicative decrease.
type adaptiveLimit struct {
	limit     float64
	slowStart bool
	shrunkAt  time.Time
}

func newAdaptiveLimit() adaptiveLimit { return adaptiveLimit{limit: startLimit, slowStart: true} }

func (l *adaptiveLimit) grow(inFlight int, ceiling float64) {
	if float64(inFlight) < minUtilization*l.limit {
		return
	}
	if l.slowStart {
		l.limit++
	} else {
		l.limit += 1 / l.limit
	}
	l.limit = min(l.limit, ceiling)
}

func (l *adaptiveLimit) shrink(now time.Time) {
	l.slowStart = false
	if now.Sub(l.shrunkAt) < shrinkInterval {
		return
	}
	l.shrunkAt = now
	l.limit = max(l.limit*shrinkFactor, minLimit)
}

// NewLimiter returns a limiter for a server without samples or reports.
func NewLimiter() *Limiter {
	return &Limiter{total: newAdaptiveLimit(), bulk: newAdaptiveLimit()}
}

// Limit returns how many requests may be in flight, at most ceiling, and how many of
// them may be bulk.
func (l *Limiter) Limit(ceiling int) (all, bulk int) {
	all = max(minLimit, min(int(math.Floor(l.total.limit)), ceiling))
	bulk = max(minLimit, min(int(math.Floor(l.bulk.limit)), all))
	return all, bulk
}

// Sample is the measurement of one request on a server.
type Sample struct {
	Bulk         bool
	Latency      time.Duration // to the first token; of the whole response for a plain service
	Expected     time.Duration // without waiting in the server; 0 if unknown
	InFlight     int           // of this instance, including the request
	BulkInFlight int           // how many of InFlight are bulk
	Failed       bool
}

// AddSample updates the limits with the result of a request. ceiling bounds the total limit.
func (l *Limiter) AddSample(a Sample, ceiling int, now time.Time) {
	if a.Failed {
		l.bulk.shrink(now)
		l.total.shrink(now)
		return
	}
	if !a.Bulk {
		l.lastInteractive = now
	}
	late, ratio := l.lateness(a)
	switch {
	case a.Bulk:
	case late > totalMinLateness && ratio > totalLateFactor:
		l.handleCongestion(a.BulkInFlight, now)
		return
	case a.BulkInFlight > 0 && late > bulkMinLateness && ratio > bulkLateFactor:
		l.bulk.shrink(now)
		return
	}
	if l.batchSize > 0 {
		ceiling = min(ceiling, l.batchSize)
	}
	l.total.grow(a.InFlight, float64(ceiling))
	if a.Bulk {
		l.bulk.grow(a.BulkInFlight, l.total.limit)
	}
}

// lateness compares a latency with the one expected without waiting in the server.
func (l *Limiter) lateness(a Sample) (late time.Duration, ratio float64) {
	expected := a.Expected
	if expected == 0 {
		expected = l.baselineLatency(a.Latency)
	}
	return a.Latency - expected, float64(a.Latency) / float64(max(expected, 1))
}

// LoadReport is a server's load report. BulkInFlight is the number of bulk requests that
// this instance has in flight there.
type LoadReport struct {
	BootID           string
	Running, Waiting int
	BulkInFlight     int
}

// ApplyReport updates the limits with a server's load report. The limits of a restarted
// server are reset, since it is cold. Once the batch size is known, the bulk limit is
// reduced before the batch is full: an interactive request that finds it full waits for
// a long generation to end, whatever its priority. If there were no interactive requests
// within interactiveWindow, bulk may use the whole batch.
func (l *Limiter) ApplyReport(r LoadReport, now time.Time) {
	if l.bootID != "" && r.BootID != l.bootID {
		*l = *NewLimiter()
	}
	l.bootID = r.BootID
	if r.Waiting > maxWaiting {
		l.batchSize = max(r.Running, 1)
		l.total.limit = min(l.total.limit, float64(l.batchSize))
		l.handleCongestion(r.BulkInFlight, now)
		return
	}
	shared := now.Sub(l.lastInteractive) < interactiveWindow
	if shared && r.BulkInFlight > 0 && float64(r.Running) > maxBulkFraction*float64(l.batchSize) && l.batchSize > 0 {
		l.bulk.shrink(now)
	}
}

func (l *Limiter) handleCongestion(inBulk int, now time.Time) {
	if inBulk > 0 && l.bulk.limit > minLimit {
		l.bulk.shrink(now)
		return
	}
	l.total.shrink(now)
}

// baselineLatency records a latency and returns the recent minimum, which rises slowly.
func (l *Limiter) baselineLatency(latency time.Duration) time.Duration {
	l.fastestLatency += l.fastestLatency / fastestDecay
	if l.fastestLatency == 0 || latency < l.fastestLatency {
		l.fastestLatency = latency
	}
	return l.fastestLatency
}

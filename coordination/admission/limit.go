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
	slowFactor     = 2.0                    // time to the first token against the expected one that counts as congested
	slowFloor      = 100 * time.Millisecond // lateness below which nothing counts as congested
	usedShare      = 0.7                    // of the limit in use for the limit to grow
	forgetFastest  = 100                    // answers after which the fastest one has nearly tripled
	waitingAllowed = 1                      // requests waiting in the server that are no congestion
)

// Limiter adapts how many requests one instance keeps in flight on one server.
// The limit doubles with every round of answers until the first congestion, and
// then grows by one a round and shrinks by a fifth when the server is congested.
//
// Several instances of a failure domain use the same servers and do not talk
// about it. All of them see the same congestion, since a server reports what
// waits in it from all of them. With additive growth and multiplicative
// shrinking the one with the larger limit loses more and gains the same, so
// limits approach an even split, and an instance without callers, whose limit
// is not used and does not grow, leaves its part to the others.
type Limiter struct {
	limit     float64
	slowStart bool
	shrunk    time.Time
	bootID    string
	fastest   time.Duration // answer of late, for servers that nothing is expected of
}

// NewLimiter returns the limiter of a server that nothing is known of.
func NewLimiter() *Limiter {
	return &Limiter{limit: startLimit, slowStart: true}
}

// Limit returns the requests in flight that are allowed, ceiling at most.
func (l *Limiter) Limit(ceiling int) int {
	return max(minLimit, min(int(math.Floor(l.limit)), ceiling))
}

// Answer is what one request showed of its server.
type Answer struct {
	Latency  time.Duration // to the first token; whole answer of a plain service
	Expected time.Duration // without waiting in the server; 0 when not known
	InFlight int           // of this instance, the request included
	Failed   bool
}

// Answered takes in the outcome of a request.
func (l *Limiter) Answered(a Answer, ceiling int, now time.Time) {
	expected := a.Expected
	if expected == 0 && !a.Failed {
		expected = l.usual(a.Latency)
	}
	late := a.Latency - expected
	slow := late > slowFloor && a.Latency > time.Duration(slowFactor*float64(expected))
	if a.Failed || slow {
		l.congested(now)
		return
	}
	if float64(a.InFlight) < usedShare*l.limit {
		return
	}
	if l.slowStart {
		l.limit++
	} else {
		l.limit += 1 / l.limit
	}
	l.limit = min(l.limit, float64(ceiling))
}

// Reported takes in a server's report. A restarted server starts cold: its
// limit begins anew.
func (l *Limiter) Reported(bootID string, waiting int, now time.Time) {
	if l.bootID != "" && bootID != l.bootID {
		*l = *NewLimiter()
	}
	l.bootID = bootID
	if waiting > waitingAllowed {
		l.congested(now)
	}
}

// usual returns the fastest answer of late; it is forgotten slowly.
func (l *Limiter) usual(latency time.Duration) time.Duration {
	l.fastest += l.fastest / forgetFastest
	if l.fastest == 0 || latency < l.fastest {
		l.fastest = latency
	}
	return l.fastest
}

func (l *Limiter) congested(now time.Time) {
	l.slowStart = false
	if now.Sub(l.shrunk) < shrinkEvery {
		return
	}
	l.shrunk = now
	l.limit = max(l.limit*shrink, minLimit)
}

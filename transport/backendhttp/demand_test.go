package backendhttp

import (
	"testing"
	"time"
)

const (
	testRoundTrip = 160 * time.Millisecond
	testMaxReady  = 8
	testStep      = 10 * time.Millisecond
)

// demandLoad plays requests at one address in steps of virtual time. A dial takes a round trip.
type demandLoad struct {
	demand  demand
	now     time.Time
	down    bool
	idle    int
	dials   []time.Time // ends of the dials in progress
	ends    []time.Time // of the requests in flight
	cold    int         // requests that found no connection
	dialled int
}

func newDemandLoad() *demandLoad {
	return &demandLoad{demand: demand{maxReady: testMaxReady}, now: time.Unix(1000, 0)}
}

// step plays one step, with a request that takes some time; 0 for none.
func (l *demandLoad) step(request time.Duration) {
	l.now = l.now.Add(testStep)
	l.dials = due(l.dials, l.now, func() {
		if !l.down {
			l.idle++
		}
		l.demand.reached(l.now, !l.down)
		l.demand.dialEnded()
	})
	l.ends = due(l.ends, l.now, func() {
		l.demand.requestEnded(l.now)
		if !l.down {
			l.idle++
		}
	})
	if request > 0 {
		l.start(request)
	}
	n := l.demand.toDial(l.now, l.idle)
	l.demand.dialStarted(n)
	l.dialled += n
	for range n {
		l.dials = append(l.dials, l.now.Add(testRoundTrip))
	}
}

func (l *demandLoad) start(request time.Duration) {
	if l.idle == 0 {
		l.cold++
	} else {
		l.idle--
	}
	l.demand.requestStarted(l.now)
	l.ends = append(l.ends, l.now.Add(request))
}

// due calls f for each time that has passed, and returns the others.
func due(times []time.Time, now time.Time, f func()) []time.Time {
	var later []time.Time
	for _, at := range times {
		if at.After(now) {
			later = append(later, at)
			continue
		}
		f()
	}
	return later
}

// Load: streams of 2 s that start every 50 ms when a region's peak begins.
// Guards against a round trip for a new connection before each stream of a rising load.
func TestRisingLoadFindsConnectionsReady(t *testing.T) {
	const interval, streams = 5, 40 // steps; number
	l := newDemandLoad()
	for i := range interval * streams {
		request := time.Duration(0)
		if i%interval == 0 {
			request = 2 * time.Second
		}
		l.step(request)
	}
	if first := int(testRoundTrip/(interval*testStep)) + 1; l.cold > first {
		t.Errorf("%d of %d streams found no connection, want at most the %d of the first round trip", l.cold, streams, first)
	}
	if l.idle > testMaxReady {
		t.Errorf("%d idle connections, want at most %d", l.idle, testMaxReady)
	}
}

// Load: one stream, and none after it.
// Guards against connections to peers that are not forwarded to any more.
func TestNoConnectionsAreKeptReadyWithoutRequests(t *testing.T) {
	l := newDemandLoad()
	l.step(time.Second)
	for range int(demandTTL / testStep) {
		l.step(0)
	}
	l.idle = 0 // all have expired
	if n := l.demand.toDial(l.now, l.idle); n != 0 {
		t.Errorf("%d dials after the last request, want none", n)
	}
	if !l.demand.unused(l.now) {
		t.Error("the demand is kept")
	}
}

// Load: 20 requests a second at a peer that is down, then up again.
// Guards against a storm of dials at a peer that is down, and against none when it is back.
func TestUnreachablePeerIsDialledOnceAPause(t *testing.T) {
	const second = int(time.Second / testStep)
	l := newDemandLoad()
	l.down = true
	play := func(seconds int) (dials int) {
		before := l.dialled
		for i := range seconds * second {
			request := time.Duration(0)
			if i%5 == 0 {
				request = testStep
			}
			l.step(request)
		}
		return l.dialled - before
	}
	if first := play(1); first > testMaxReady+2 {
		t.Errorf("%d dials in the first second, want at most the ready ones and one after each pause", first)
	}
	play(7)
	if later := play(8); later > 2 {
		t.Errorf("%d dials in 8 s of a peer that stays down, want one for each %s", later, maxRedialDelay)
	}
	l.down = false
	play(5)
	if l.idle < 2 {
		t.Errorf("%d connections ready after the peer is back", l.idle)
	}
}

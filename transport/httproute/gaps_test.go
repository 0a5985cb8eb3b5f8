package httproute

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/routes"
)

// A response stalls for half a second in its middle and then completes. Its first byte was
// within the objective, but the gap exceeds the route's gap objective. Guards against such
// a request missing from the traces.
func TestLongEventGapIsNotable(t *testing.T) {
	start := time.Now()
	r := &request{route: &routes.Route{Kind: routes.KindStreaming, Objective: time.Second, GapObjective: 400 * time.Millisecond}}
	r.firstByte = 100 * time.Millisecond
	for i, at := range []time.Duration{100, 130, 630, 660} {
		if i == 2 && r.notable(time.Second) {
			t.Error("notable before the gap")
		}
		r.gaps.record(i+1, start.Add(at*time.Millisecond))
	}
	if !r.notable(time.Second) {
		t.Error("the gap was not detected")
	}
	if r.gaps.events != 4 || r.gaps.longest != 500*time.Millisecond {
		t.Errorf("%d events, longest gap %v", r.gaps.events, r.gaps.longest)
	}
}

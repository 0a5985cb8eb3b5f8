package httproute

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/routes"
)

// A caller's answer stands still for half a second in its middle and then ends well. Its
// first byte came in time, so by the objective alone nothing is wrong; the caller's pause
// was longer than its route allows, and the story of the request has to say so.
func TestPausedAnswerIsRemarkable(t *testing.T) {
	start := time.Now()
	r := &request{route: &routes.Route{Kind: routes.KindStreaming, Objective: time.Second, GapObjective: 400 * time.Millisecond}}
	r.firstByte = 100 * time.Millisecond
	for i, at := range []time.Duration{100, 130, 630, 660} {
		if i == 2 && r.remarkable(time.Second) {
			t.Error("remarkable before the pause")
		}
		r.pauses.passed(i+1, start.Add(at*time.Millisecond))
	}
	if !r.remarkable(time.Second) {
		t.Error("the pause is not seen")
	}
	if r.pauses.events != 4 || r.pauses.longest != 500*time.Millisecond {
		t.Errorf("%d events, longest pause %v", r.pauses.events, r.pauses.longest)
	}
}

package httproute

import (
	"testing"
	"time"
)

// Guards against a stream that is cut for want of a free slot because it is urgent, or because it has waited before it began.
func TestBegunStreamWaitsForASlot(t *testing.T) {
	for name, prepare := range map[string]func(*waitFixture, *request){
		"urgent": func(f *waitFixture, r *request) {
			r.target, r.route = "/chat/1", r.config.Match(testHost, "/chat/1")
			f.prepare(r)
		},
		"waited before": func(_ *waitFixture, r *request) { r.hasWaited = true },
	} {
		t.Run(name, func(t *testing.T) {
			playWait(t, func(t *testing.T, f *waitFixture) {
				r := f.request()
				prepare(f, r)
				r.gaps.events, r.sends = 1, 1
				result := f.start(t.Context(), r)
				time.Sleep(wakeInterval)
				f.freeSlot()
				if got := <-result; got.failed != nil || got.choice.Placement == nil {
					t.Errorf("failure %v after %v", got.failed, got.took)
				}
			})
		})
	}
}

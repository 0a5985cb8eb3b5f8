package httproute

import (
	"testing"
	"time"
)

// dropRoutes puts a version without routes in force.
func (f *waitFixture) dropRoutes(version int64) {
	current := *f.Routes.Current()
	current.Version, current.Routes = version, nil
	f.Routes.Offer(&current)
}

// Guards against a stream that is cut although a server can go on with it: while it waits for a slot, a new version drops
// its route.
func TestBegunStreamGoesOnUnderItsVersion(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		r := f.request()
		r.gaps.events, r.sends = 1, 1
		result := f.start(t.Context(), r)
		f.dropRoutes(2)
		f.freeSlot()
		if got := <-result; got.failed != nil || got.choice.Placement == nil || r.config.Version != 1 {
			t.Errorf("failure %v, version %d", got.failed, r.config.Version)
		}
	})
}

// Guards against a stream that is cut because no slot is free at the moment, although it has begun and has time left.
func TestBegunStreamWaitsUntilItsDeadline(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		r := f.request()
		r.gaps.events, r.sends = 1, 1
		time.Sleep(10 * time.Second) // of the 15 that the route allows
		result := f.start(t.Context(), r)
		time.Sleep(wakeInterval)
		f.freeSlot()
		if got := <-result; got.failed != nil || got.choice.Placement == nil {
			t.Errorf("failure %v after %v", got.failed, got.took)
		}
	})
}

// Guards against a stream that has begun and is cut because the instance starts to leave while the stream waits for a slot.
func TestBegunStreamWaitsAtAnInstanceThatLeaves(t *testing.T) {
	playWait(t, func(t *testing.T, f *waitFixture) {
		begun, other := f.request(), f.request()
		begun.gaps.events, begun.sends = 1, 1
		result, refused := f.start(t.Context(), begun), f.start(t.Context(), other)
		f.Local.Waiting.Refuse()
		(<-refused).expectRefused(t, reasonStopping)
		time.Sleep(wakeInterval)
		f.freeSlot()
		if got := <-result; got.failed != nil || got.choice.Placement == nil {
			t.Errorf("failure %v after %v", got.failed, got.took)
		}
		late := f.request()
		late.gaps.events, late.sends = 1, 1
		if got := <-f.start(t.Context(), late); got.failed == nil || got.failed.reason == reasonStopping {
			t.Errorf("one that comes to wait later: %v", got.failed)
		}
	})
}

package quota

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

// Guards against refusals of a nearly idle account right after all instances have restarted.
// The instance does not know its share yet and has nobody to borrow from, so an immediate
// refusal would use up the caller's attempts. The request has to wait for the share, which
// arrives within its limit.
func TestRequestWaitsForTheStart(t *testing.T) {
	l := New("d0")
	l.SetProvisional(true, start)
	w := l.Wait("acme", 2, 400*time.Millisecond, start)
	l.Plan(nil, start) // there are no lenders
	now := start.Add(100 * time.Millisecond)
	l.Tick(100*time.Millisecond, now)
	select {
	case v := <-w.Done:
		t.Fatalf("decided before the share is known: %+v", v)
	default:
	}
	l.Update([]*service.Account{acme(testRate, testBurst, map[string]int64{"d0": 1})}, oneSlot, 1, now)
	l.SetHeldSlots([]slots.HeldSlot{{Slot: 0, Epoch: 1, Until: now.Add(time.Hour)}}, now)
	l.SetProvisional(false, now)
	now = now.Add(250 * time.Millisecond)
	l.Tick(250*time.Millisecond, now)
	select {
	case v := <-w.Done:
		if !v.OK {
			t.Error("refused although the share is known")
		}
	default:
		t.Error("still waits although the share is known")
	}
}

// Guards against a Retry-After of an hour, as for an account with a rate of zero, when the
// instance has not received the account's document before the request's limit ends.
func TestUnknownRateGivesShortRetryAfter(t *testing.T) {
	l := New("d0")
	l.SetProvisional(true, start)
	w := l.Wait("acme", 2, 400*time.Millisecond, start)
	l.Tick(time.Second, start.Add(time.Second))
	if v := <-w.Done; v.OK || v.RetryAfter > time.Second {
		t.Errorf("decision %+v, want a refusal with a Retry-After of at most a second", v)
	}
}

package quota

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

// All instances restart at once. A caller who comes back in the same moment reaches one that
// has not heard yet which part it mints, and all whose tokens it could borrow restart too.
// Refused at once it would have used up its attempts beside an account that is nearly idle;
// its request waits for the part instead, which comes within its limit.
func TestRequestWaitsForTheStart(t *testing.T) {
	l := New("d0")
	l.SetProvisional(true, start)
	w := l.Wait("acme", 2, 400*time.Millisecond, start)
	l.Plan(nil, start) // there is nobody to ask
	now := start.Add(100 * time.Millisecond)
	l.Tick(100*time.Millisecond, now)
	select {
	case v := <-w.Done:
		t.Fatalf("decided before the part is known: %+v", v)
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
			t.Error("refused though its part has come")
		}
	default:
		t.Error("still waits though its part has come")
	}
}

// The instance has not learned the account's rate when the request's limit ends. Its caller
// was told to come back in an hour, as if the account had no tokens at all.
func TestUnknownRateIsToldAShortTime(t *testing.T) {
	l := New("d0")
	l.SetProvisional(true, start)
	w := l.Wait("acme", 2, 400*time.Millisecond, start)
	l.Tick(time.Second, start.Add(time.Second))
	if v := <-w.Done; v.OK || v.RetryAfter > time.Second {
		t.Errorf("%+v", v)
	}
}

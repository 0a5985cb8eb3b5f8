package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testSettings(peers, promises int) Settings {
	return Settings{
		Slots: 3, Lease: 2 * time.Second, Promise: 600 * time.Millisecond,
		Peers: peers, Promises: promises, Release: 8 * time.Second,
	}
}

// Guards against two instances that mint for one slot, which would give an account up
// to twice that slot's share of its rate. Members pause, crash, restart and lose the
// connection to each other and to the store, messages are late or lost, and clocks
// drift within the bound. At every instant of true time at most one member may hold a
// slot.
func TestAtMostOneHolderMints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(1, 3).Draw(t, "peers")
		settings := testSettings(peers, rapid.IntRange(1, peers).Draw(t, "promises"))
		probability := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "members"), settings, faults{
			lose: probability("lose", 0.3), pause: probability("pause", 0.01), crash: probability("crash", 0.001),
			cut: probability("cut", 0.01), cutStore: probability("cutStore", 0.01), drift: 0.004,
		})
		w.run(30*time.Second, func() {
			for slot := range settings.Slots {
				if holders := w.holders(slot); len(holders) > 1 {
					t.Fatalf("slot %d at %s: %v; store %+v", slot, w.now, holders, w.store[slot])
				}
			}
		})
	})
}

// heldSlots returns the number of holders, summed over the slots.
func (w *simulation) heldSlots() int {
	count := 0
	for slot := range w.settings.Slots {
		count += len(w.holders(slot))
	}
	return count
}

// With an empty store, three instances start together. Most slots have a holder within
// a second, and a few seconds later each instance holds one slot.
func TestFreshDomainMintsSoon(t *testing.T) {
	w := newSimulation(1, 3, testSettings(2, 1), faults{})
	w.run(time.Second, func() {})
	if got := w.heldSlots(); got < 2 {
		t.Errorf("%d slots held after a second", got)
	}
	w.run(6*time.Second, func() {})
	for _, n := range w.testMembers {
		if got := len(n.machine.HeldSlots(n.clock(w.now))); got != 1 {
			t.Errorf("%s holds %d slots", n.id.ID, got)
		}
	}
}

// A domain cannot reach the store for four leases, and after two of them one instance
// crashes. The remaining holders have to continue minting with each other's promises.
// Once the store is reachable again, the crashed instance's slot has to be taken.
func TestDomainGoesOnWithoutStore(t *testing.T) {
	w := newSimulation(2, 3, testSettings(2, 1), faults{})
	w.run(6*time.Second, func() {})
	lease := w.settings.Lease
	for _, n := range w.testMembers {
		n.storeCutUntil = w.now + 4*lease
	}
	crashAt := w.now + 2*lease
	end := w.now + 4*lease
	w.run(crashAt, func() {
		if got := w.heldSlots(); got != 3 {
			t.Fatalf("%d slots held at %s without the store", got, w.now)
		}
	})
	w.testMembers[0].dead = true
	w.testMembers = w.testMembers[1:]
	w.run(end, func() {
		if got := w.heldSlots(); got != 2 {
			t.Fatalf("%d slots held at %s after the crash", got, w.now)
		}
	})
	w.testMembers = append(w.testMembers, w.newMember("a"))
	w.run(end+3*lease, func() {})
	if got := w.heldSlots(); got != 3 {
		t.Errorf("%d slots held after the store was reachable again", got)
	}
}

// One instance loses the connection to both the store and its peers. It has to stop
// minting when its lease ends, and a listed peer has to take its slot.
func TestCutOffHolderFallsSilent(t *testing.T) {
	w := newSimulation(3, 3, testSettings(2, 1), faults{})
	w.run(6*time.Second, func() {})
	lost := w.testMembers[0]
	slot := lost.machine.HeldSlots(lost.clock(w.now))[0].Slot
	lost.storeCutUntil, lost.cutUntil = w.now+5*w.settings.Lease, w.now+5*w.settings.Lease
	w.run(w.now+w.settings.Lease+w.settings.Promise, func() {})
	if got := len(lost.machine.HeldSlots(lost.clock(w.now))); got != 0 {
		t.Errorf("cut off, but it still holds %d slots", got)
	}
	w.run(w.now+w.settings.Lease, func() {})
	holders := w.holders(slot)
	if len(holders) != 1 || holders[0] == lost.id {
		t.Errorf("slot %d is held by %v", slot, holders)
	}
}

// In a graceful shutdown an instance releases its slot, so that another takes it at
// once and not after the lease.
func TestLeavingHolderReleases(t *testing.T) {
	w := newSimulation(4, 3, testSettings(2, 1), faults{})
	w.run(6*time.Second, func() {})
	w.testMembers[0].machine.Leave()
	w.run(w.now+time.Second, func() {})
	if !w.testMembers[0].machine.Idle() {
		t.Error("the leaving instance still holds a slot")
	}
	w.run(w.now+2*time.Second, func() {})
	if got := w.heldSlots(); got != 3 {
		t.Errorf("%d slots held", got)
	}
}

// Every holder of a domain crashes. No listed member is left, so the slots are taken
// after their expiry and not before.
func TestSlotsOfLostDomainLapse(t *testing.T) {
	w := newSimulation(5, 3, testSettings(2, 1), faults{})
	w.run(6*time.Second, func() {})
	for i, n := range w.testMembers {
		n.dead = true
		w.testMembers[i] = w.newMember(n.id.ID)
	}
	expiry := w.settings.Lease*2/3 + w.settings.Release
	w.run(w.now+expiry, func() {
		if got := w.heldSlots(); got != 0 {
			t.Fatalf("%d slots held at %s, before its expiry", got, w.now)
		}
	})
	w.run(w.now+2*w.settings.Lease, func() {})
	if got := w.heldSlots(); got != 3 {
		t.Errorf("%d slots held after their expiry", got)
	}
}

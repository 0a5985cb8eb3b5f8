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

// Were two instances to mint for one slot, an account could get up to twice that
// slot's part of its rate. Members pause, crash, restart, lose each other and the
// store, messages come late or never, and clocks run apart within the bound; at
// every instant of true time at most one member may hold a slot.
func TestAtMostOneHolderMints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(1, 3).Draw(t, "peers")
		settings := testSettings(peers, rapid.IntRange(1, peers).Draw(t, "promises"))
		probability := func(name string, most float64) float64 { return rapid.Float64Range(0, most).Draw(t, name) }
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "members"), settings, faults{
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

// heldSlots returns how many slots some member may mint for.
func (w *world) heldSlots() int {
	count := 0
	for slot := range w.settings.Slots {
		count += len(w.holders(slot))
	}
	return count
}

// An empty store and three instances that start together: every slot has a
// holder within a second, and one of each.
func TestFreshDomainMintsSoon(t *testing.T) {
	w := newWorld(1, 3, testSettings(2, 1), faults{})
	w.run(time.Second, func() {})
	if got := w.heldSlots(); got < 2 {
		t.Errorf("%d slots held after a second", got)
	}
	w.run(6*time.Second, func() {})
	for _, n := range w.nodes {
		if got := len(n.m.HeldSlots(n.clock(w.now))); got != 1 {
			t.Errorf("%s holds %d slots", n.id.ID, got)
		}
	}
}

// A domain is cut off from the store for four leases, and two leases into it one
// instance crashes. Callers go on being admitted: the holders that are left mint
// by each other's promises, and when the store is back the crashed one's slot is
// taken by them.
func TestDomainGoesOnWithoutStore(t *testing.T) {
	w := newWorld(2, 3, testSettings(2, 1), faults{})
	w.run(6*time.Second, func() {})
	lease := w.settings.Lease
	for _, n := range w.nodes {
		n.storeCut = w.now + 4*lease
	}
	crashAt := w.now + 2*lease
	end := w.now + 4*lease
	w.run(crashAt, func() {
		if got := w.heldSlots(); got != 3 {
			t.Fatalf("%d slots held at %s without the store", got, w.now)
		}
	})
	w.nodes[0].dead = true
	w.nodes = w.nodes[1:]
	w.run(end, func() {
		if got := w.heldSlots(); got != 2 {
			t.Fatalf("%d slots held at %s after the crash", got, w.now)
		}
	})
	w.nodes = append(w.nodes, w.start("a"))
	w.run(end+3*lease, func() {})
	if got := w.heldSlots(); got != 3 {
		t.Errorf("%d slots held after the store came back", got)
	}
}

// One instance loses both the store and its peers. It has to fall silent when
// its lease ends, and its slot goes to a listed peer; when it wakes it holds
// nothing of it.
func TestCutOffHolderFallsSilent(t *testing.T) {
	w := newWorld(3, 3, testSettings(2, 1), faults{})
	w.run(6*time.Second, func() {})
	lost := w.nodes[0]
	slot := lost.m.HeldSlots(lost.clock(w.now))[0].Slot
	lost.storeCut, lost.cutUntil = w.now+5*w.settings.Lease, w.now+5*w.settings.Lease
	w.run(w.now+w.settings.Lease+w.settings.Promise, func() {})
	if got := len(lost.m.HeldSlots(lost.clock(w.now))); got != 0 {
		t.Errorf("cut off, but it still holds %d slots", got)
	}
	w.run(w.now+w.settings.Lease, func() {})
	holders := w.holders(slot)
	if len(holders) != 1 || holders[0] == lost.id {
		t.Errorf("slot %d is held by %v", slot, holders)
	}
}

// An instance that stops as planned releases its slot, so that another takes it
// at once and not after the lease.
func TestLeavingHolderReleases(t *testing.T) {
	w := newWorld(4, 3, testSettings(2, 1), faults{})
	w.run(6*time.Second, func() {})
	w.nodes[0].m.Leave()
	w.run(w.now+time.Second, func() {})
	if !w.nodes[0].m.Idle() {
		t.Error("the leaving instance still holds a slot")
	}
	w.run(w.now+2*time.Second, func() {})
	if got := w.heldSlots(); got != 3 {
		t.Errorf("%d slots held", got)
	}
}

// Every holder of a domain crashes. Nobody in a list is left, so the slots come
// back after the lapse and not before.
func TestSlotsOfLostDomainLapse(t *testing.T) {
	w := newWorld(5, 3, testSettings(2, 1), faults{})
	w.run(6*time.Second, func() {})
	for i, n := range w.nodes {
		n.dead = true
		w.nodes[i] = w.start(n.id.ID)
	}
	lapse := w.settings.Lease*2/3 + w.settings.Release
	w.run(w.now+lapse, func() {
		if got := w.heldSlots(); got != 0 {
			t.Fatalf("%d slots held at %s, before the lapse", got, w.now)
		}
	})
	w.run(w.now+2*w.settings.Lease, func() {})
	if got := w.heldSlots(); got != 3 {
		t.Errorf("%d slots held after the lapse", got)
	}
}

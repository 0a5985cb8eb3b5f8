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
		probability := func(name string, maxProbability float64) float64 {
			return rapid.Float64Range(0, maxProbability).Draw(t, name)
		}
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "members"), settings, faults{
			lose: probability("lose", 0.3), pause: probability("pause", 0.01), crash: probability("crash", 0.001),
			cut: probability("cut", 0.01), cutStore: probability("cutStore", 0.01), drift: 0.004,
		})
		sim.run(30*time.Second, func() {
			for slot := range settings.Slots {
				if holders := sim.holders(slot); len(holders) > 1 {
					t.Fatalf("slot %d at %s: %v; store %+v", slot, sim.now, holders, sim.store[slot])
				}
			}
		})
	})
}

// heldSlots returns the number of holders, summed over the slots.
func (sim *simulation) heldSlots() int {
	count := 0
	for slot := range sim.settings.Slots {
		count += len(sim.holders(slot))
	}
	return count
}

// With an empty store, three instances start together. Most slots have a holder within
// a second, and a few seconds later each instance holds one slot.
func TestFreshDomainMintsSoon(t *testing.T) {
	sim := newSimulation(1, 3, testSettings(2, 1), faults{})
	sim.run(time.Second, func() {})
	if got := sim.heldSlots(); got < 2 {
		t.Errorf("%d slots held after a second", got)
	}
	sim.run(6*time.Second, func() {})
	for _, n := range sim.testMembers {
		if got := len(n.machine.HeldSlots(n.clock(sim.now))); got != 1 {
			t.Errorf("%s holds %d slots", n.id.ID, got)
		}
	}
}

// A domain cannot reach the store for four leases, and after two of them one instance
// crashes. The remaining holders have to continue minting with each other's promises.
// Once the store is reachable again, the crashed instance's slot has to be taken.
func TestDomainGoesOnWithoutStore(t *testing.T) {
	sim := newSimulation(2, 3, testSettings(2, 1), faults{})
	sim.run(6*time.Second, func() {})
	lease := sim.settings.Lease
	for _, n := range sim.testMembers {
		n.storeCutUntil = sim.now + 4*lease
	}
	crashAt := sim.now + 2*lease
	end := sim.now + 4*lease
	sim.run(crashAt, func() {
		if got := sim.heldSlots(); got != 3 {
			t.Fatalf("%d slots held at %s without the store", got, sim.now)
		}
	})
	sim.testMembers[0].dead = true
	sim.testMembers = sim.testMembers[1:]
	sim.run(end, func() {
		if got := sim.heldSlots(); got != 2 {
			t.Fatalf("%d slots held at %s after the crash", got, sim.now)
		}
	})
	sim.testMembers = append(sim.testMembers, sim.newMember("a"))
	sim.run(end+3*lease, func() {})
	if got := sim.heldSlots(); got != 3 {
		t.Errorf("%d slots held after the store was reachable again", got)
	}
}

// One instance loses the connection to both the store and its peers. It has to stop
// minting when its lease ends, and a listed peer has to take its slot.
func TestCutOffHolderFallsSilent(t *testing.T) {
	sim := newSimulation(3, 3, testSettings(2, 1), faults{})
	sim.run(6*time.Second, func() {})
	lost := sim.testMembers[0]
	slot := lost.machine.HeldSlots(lost.clock(sim.now))[0].Slot
	lost.storeCutUntil, lost.cutUntil = sim.now+5*sim.settings.Lease, sim.now+5*sim.settings.Lease
	sim.run(sim.now+sim.settings.Lease+sim.settings.Promise, func() {})
	if got := len(lost.machine.HeldSlots(lost.clock(sim.now))); got != 0 {
		t.Errorf("cut off, but it still holds %d slots", got)
	}
	sim.run(sim.now+sim.settings.Lease, func() {})
	holders := sim.holders(slot)
	if len(holders) != 1 || holders[0] == lost.id {
		t.Errorf("slot %d is held by %v", slot, holders)
	}
}

// In a graceful shutdown an instance releases its slot, so that another takes it at
// once and not after the lease.
func TestLeavingHolderReleases(t *testing.T) {
	sim := newSimulation(4, 3, testSettings(2, 1), faults{})
	sim.run(6*time.Second, func() {})
	sim.testMembers[0].machine.Leave()
	sim.run(sim.now+time.Second, func() {})
	if !sim.testMembers[0].machine.Idle() {
		t.Error("the leaving instance still holds a slot")
	}
	sim.run(sim.now+2*time.Second, func() {})
	if got := sim.heldSlots(); got != 3 {
		t.Errorf("%d slots held", got)
	}
}

// Every holder of a domain crashes. No listed member is left, so the slots are taken
// after their expiry and not before.
func TestSlotsOfLostDomainLapse(t *testing.T) {
	sim := newSimulation(5, 3, testSettings(2, 1), faults{})
	sim.run(6*time.Second, func() {})
	for i, n := range sim.testMembers {
		n.dead = true
		sim.testMembers[i] = sim.newMember(n.id.ID)
	}
	expiry := sim.settings.Lease*2/3 + sim.settings.Release
	sim.run(sim.now+expiry, func() {
		if got := sim.heldSlots(); got != 0 {
			t.Fatalf("%d slots held at %s, before its expiry", got, sim.now)
		}
	})
	sim.run(sim.now+2*sim.settings.Lease, func() {})
	if got := sim.heldSlots(); got != 3 {
		t.Errorf("%d slots held after their expiry", got)
	}
}

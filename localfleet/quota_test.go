package localfleet

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/standin/platform"
)

const quotaFleet = `kind: fleet
name: fleet
regions:
  suva-a: {domains: [suva-a-1]}
slots: {lease: 1s, promise: 1s}
`

const quotaAccount = "kind: account\nname: grocers\nrate: 3000\nburst: 9000\n"

// startThreeInstances starts a failure domain of three instances and waits until each holds
// one slot.
func startThreeInstances(t *testing.T) *Fleet {
	f, err := Start(Config{
		Domains:      []Domain{{Region: "suva-a", Name: "suva-a-1", Instances: 3}},
		ModelService: "notice-writer", PlainService: "recall-ledger", Engine: engine.DefaultConfig(),
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	for _, document := range []string{quotaFleet, quotaAccount} {
		if err := f.Apply(t.Context(), document); err != nil {
			t.Fatal(err)
		}
	}
	f.await(t, "one slot per instance", func() bool { return f.minting() == 3 && f.maxMinting() == 1 })
	f.await(t, "both other instances in each list", func() bool { return f.minListLength() == 2 })
	return f
}

func (f *Fleet) minting() int {
	total := 0
	for _, i := range f.Instances {
		total += i.MintingSlots()
	}
	return total
}

func (f *Fleet) maxMinting() int {
	highest := 0
	for _, i := range f.Instances {
		highest = max(highest, i.MintingSlots())
	}
	return highest
}

func (f *Fleet) minListLength() int {
	shortest := 2
	for _, i := range f.Instances {
		for _, r := range i.Dump().(instance.Dump).Slots {
			shortest = min(shortest, len(r.List))
		}
	}
	return shortest
}

// await polls until the condition holds, and fails the test after a minute.
func (f *Fleet) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := f.Await(ctx, func(*instance.Instance) bool { return condition() }); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func (f *Fleet) remove(id string) *instance.Instance {
	i := f.Instances[id]
	delete(f.Instances, id)
	return i
}

// Guards against an outage of the store that stops admission. The holders' leases of one
// second expire, but the holders keep minting by each other's promises, and every instance
// admits callers. They do so even after one holder is killed.
func TestDomainServesWithoutStore(t *testing.T) {
	t.Parallel()
	f := startThreeInstances(t)
	f.Platform.SetFaults(platform.Faults{Outage: true})
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.minting() == 0 {
			t.Fatal("no instance mints")
		}
	}
	for id, i := range f.Instances {
		if !i.CanCharge("grocers", 100) {
			t.Errorf("%s cannot charge 100 tokens", id)
		}
	}
	f.remove(f.StartOrder[0]).Kill()
	f.await(t, "minting by the two remaining instances", func() bool { return f.minting() >= 1 })
}

// A holder is killed while the store is reachable. When its lease has expired, an instance
// on its list takes the slot, so that the account has its full rate again.
func TestKilledHoldersSlotIsTaken(t *testing.T) {
	t.Parallel()
	f := startThreeInstances(t)
	f.remove(f.StartOrder[0]).Kill()
	f.await(t, "three slots on two instances", func() bool { return f.minting() == 3 })
}

// A holder shuts down gracefully and releases its slot. Another instance takes it without
// waiting for the lease to expire, and a joining instance is handed a slot.
func TestStoppedHoldersSlotIsTaken(t *testing.T) {
	t.Parallel()
	f := startThreeInstances(t)
	if err := f.remove(f.StartOrder[0]).Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.await(t, "three slots on two instances", func() bool { return f.minting() == 3 })
	if _, err := f.StartInstance(Domain{Region: "suva-a", Name: "suva-a-1"}, "joining"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a slot for the joining instance", func() bool { return f.minting() == 3 && f.maxMinting() == 1 })
}

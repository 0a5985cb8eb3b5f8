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

// threeInstances starts one failure domain whose three slots are held.
func threeInstances(t *testing.T) *Fleet {
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
	f.await(t, "one slot an instance", func() bool { return f.minting() == 3 && f.mostMinting() == 1 })
	f.await(t, "both others in each list", func() bool { return f.shortestList() == 2 })
	return f
}

func (f *Fleet) minting() int {
	total := 0
	for _, i := range f.Instances {
		total += i.MintingSlots()
	}
	return total
}

func (f *Fleet) mostMinting() int {
	most := 0
	for _, i := range f.Instances {
		most = max(most, i.MintingSlots())
	}
	return most
}

func (f *Fleet) shortestList() int {
	shortest := 2
	for _, i := range f.Instances {
		for _, r := range i.Dump().(instance.Dump).Slots {
			shortest = min(shortest, len(r.List))
		}
	}
	return shortest
}

// await polls; it fails the test only after a long time.
func (f *Fleet) await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := f.Await(ctx, func(*instance.Instance) bool { return ok() }); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

func (f *Fleet) remove(id string) *instance.Instance {
	i := f.Instances[id]
	delete(f.Instances, id)
	return i
}

// The store fails. The holders' leases of a second end, but callers go on being
// admitted on every instance: the holders mint by each other's promises. Then one
// of them is killed, and the other two still do.
func TestDomainServesWithoutStore(t *testing.T) {
	t.Parallel()
	f := threeInstances(t)
	f.Platform.SetFaults(platform.Faults{Outage: true})
	for ended := time.Now().Add(4 * time.Second); time.Now().Before(ended); time.Sleep(20 * time.Millisecond) {
		if f.minting() == 0 {
			t.Fatal("no instance mints")
		}
	}
	for id, i := range f.Instances {
		if !i.CanCharge("grocers", 100) {
			t.Errorf("%s affords nothing", id)
		}
	}
	f.remove(f.StartOrder[0]).Kill()
	f.await(t, "minting of the two that are left", func() bool { return f.minting() >= 1 })
}

// A holder is killed while the store runs. Its slot is taken by one that it listed
// as soon as its lease has ended, so the account has its whole rate again.
func TestKilledHoldersSlotIsTaken(t *testing.T) {
	t.Parallel()
	f := threeInstances(t)
	f.remove(f.StartOrder[0]).Kill()
	f.await(t, "three slots on two instances", func() bool { return f.minting() == 3 })
}

// A holder stops as planned and releases its slot. The others take it without
// waiting for the lease, and a new instance is handed one.
func TestStoppedHoldersSlotIsTaken(t *testing.T) {
	t.Parallel()
	f := threeInstances(t)
	if err := f.remove(f.StartOrder[0]).Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.await(t, "three slots on two instances", func() bool { return f.minting() == 3 })
	if _, err := f.StartInstance(Domain{Region: "suva-a", Name: "suva-a-1"}, "newcomer"); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a slot for the newcomer", func() bool { return f.minting() == 3 && f.mostMinting() == 1 })
}

package inprocess

import (
	"net/http"
	"testing"

	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/standin/engine"
)

func (f *testFleet) engineState() *engineapi.EngineState {
	state, err := f.engine().GetOrders(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return state
}

func (f *testFleet) applyModel(orders string) {
	f.t.Helper()
	if err := f.Apply(f.t.Context(), "kind: service\nname: basil-lm\ntype: model\n"+orders); err != nil {
		f.t.Fatal(err)
	}
}

// A service document names a version, and the engine loads it. Then an order of an
// earlier lease holder arrives late. An engine that checks the fencing number refuses
// it. An engine that ignores the number executes it and is corrected afterwards, since
// the lease holder periodically compares the engine's state with the document.
func TestOrdersEndUpRight(t *testing.T) {
	f := startFleet(t)
	f.applyModel("orders: {version: v2}\n")
	f.await("the version", func() bool { return f.engineState().Version == "v2" })
	if f.engineState().Fencing == 0 {
		t.Error("the order had no fencing number")
	}
	old := &engineapi.Order{Fencing: 0, Version: "v0"}
	if _, err := f.engine().Order(t.Context(), old); err == nil {
		t.Error("the engine took an old order")
	}
	f.engine().SetFaults(engine.Faults{IgnoreFencing: true})
	if _, err := f.engine().Order(t.Context(), old); err != nil {
		t.Fatal(err)
	}
	f.await("the version again", func() bool { return f.engineState().Version == "v2" })
}

// A service document drains an engine and later ends the drain. While it drains, the
// engine gets no new work and requests are refused as not run; afterwards it serves
// again.
func TestDrainedEngineGetsNoWork(t *testing.T) {
	f := startFleet(t)
	f.applyModel("orders: {draining: [fraser-a-2-engine-1]}\n")
	f.await("the drain", func() bool {
		got := f.send("fraser-a-2-entry-1", "/v1/completions", prompt(1, false))
		if got.status != http.StatusOK && got.Run != "not_run" {
			t.Fatalf("%d %s", got.status, got.body)
		}
		return got.status != http.StatusOK && f.engineState().Draining
	})
	f.applyModel("orders: {version: v1}\n")
	f.await("the engine", func() bool {
		return f.send("fraser-a-2-entry-1", "/v1/completions", prompt(1, false)).status == http.StatusOK
	})
}

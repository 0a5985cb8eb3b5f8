package instance_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/basilroute/basilroute/protocol/platformapi"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/standin/platform"
)

var (
	outage  = platform.Faults{Outage: true}
	healthy = platform.Faults{}
)

// countedEngine counts the generation requests that reach an engine, including refused
// ones.
type countedEngine struct {
	*engine.Engine
	next  http.Handler
	count atomic.Int64
}

func (c *countedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == "/v1/generate" {
		c.count.Add(1)
	}
	c.next.ServeHTTP(w, r)
}

func (f *fleet) addEngine(id string) *countedEngine {
	f.t.Helper()
	e := engine.New(engine.DefaultConfig())
	handler, err := e.Handler()
	if err != nil {
		f.t.Fatal(err)
	}
	counted := &countedEngine{Engine: e, next: handler}
	server := httptest.NewServer(counted)
	f.t.Cleanup(e.Close)
	f.t.Cleanup(server.Close)
	f.Platform.SetInstance(platformapi.Instance{
		ID: id, Role: platformapi.InstanceRoleBackend, Region: "north", Domain: "north-1", Address: server.URL,
		Service: platformapi.NewOptString("writer"), Version: platformapi.NewOptString("v1"), State: platformapi.InstanceStateLive,
	})
	return counted
}

// A backend server reports that it is leaving while the platform is unreachable, so that
// the platform's list still shows the server as live. The instances go by the server's own
// report: once they have read it, no request reaches the server.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := startFleet(t, nil, north(2, 1))
	leaving := f.addEngine("leaving")
	for _, id := range f.StartOrder {
		f.await("a request at the server", func() bool {
			before := leaving.count.Load()
			f.ask(id)
			return leaving.count.Load() > before
		})
	}
	f.Platform.SetFaults(outage)
	leaving.SetFaults(engine.Faults{Leaving: true})
	for _, id := range f.StartOrder {
		f.await("the server's report", func() bool { return f.Instances[id].KnowsLeaving("writer", "leaving") })
	}
	before := leaving.count.Load()
	for n := range 200 {
		if status, answer := f.ask(f.StartOrder[n%len(f.StartOrder)]); status != http.StatusOK {
			t.Fatalf("%d %s", status, answer)
		}
	}
	if after := leaving.count.Load(); after != before {
		t.Errorf("%d requests reached the leaving server", after-before)
	}
}

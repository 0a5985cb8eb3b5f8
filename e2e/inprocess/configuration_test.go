package inprocess

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/standin/plain"
	"github.com/basilroute/basilroute/transport/platform"
)

// removeService deletes a service's document and waits until no instance serves it.
func (f *testFleet) removeService(name string) {
	f.t.Helper()
	key := service.StoreKey(service.KindService, name)
	current, err := f.Store.Get(f.t.Context(), key)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.Store.Put(f.t.Context(), platform.Write{Key: key, ExpectRevision: current.Revision, Delete: true}); err != nil {
		f.t.Fatal(err)
	}
	f.await("the removal of "+name, func() bool {
		for id := range f.Instances {
			got := f.send(id, "/v1/services/"+name+"/operations/buy", "{}")
			if name == modelService {
				got = f.send(id, "/v1/completions", prompt(1, false))
			}
			if got.status != http.StatusNotFound {
				return false
			}
		}
		return true
	})
}

// Guards against a response that is cut because its service changes or is removed in the
// middle of it.
func TestConfigurationCutsNothingInFlight(t *testing.T) {
	f := startFleet(t)
	const tokens = 2000
	_, forwarded, forwardedFirst := f.openStream("fraser-a-1-entry-1", defaultPrompt, tokens)
	_, local, localFirst := f.openStream("fraser-a-2-entry-1", defaultPrompt, tokens)
	const delay = 3 * time.Second // longer than the new documents take to be in force
	f.plain().SetFaults(plain.Faults{Delay: delay})
	orders := make(chan reply)
	for n, id := range []string{"fraser-a-1-entry-1", "fraser-a-2-entry-1"} {
		go func() { orders <- f.buy(id, fmt.Sprint("resin-", n)) }()
	}
	f.await("the orders", func() bool {
		health, err := f.plain().GetHealth(t.Context())
		return err == nil && health.Running == 2
	})
	f.plain().SetFaults(plain.Faults{})
	for _, document := range []string{
		"kind: service\nname: basil-lm\ntype: model\nversions: [other]\nclasses: {interactive: {max_wait: 1ms, deadline: 1s}}\nlimits: {concurrency: 1, queue: 1}\n",
		"kind: service\nname: guild-desk\ntype: plain\noperations:\n  read: {repeatable: true, cost: 1}\n",
	} {
		if err := f.Apply(t.Context(), document); err != nil {
			t.Fatal(err)
		}
	}
	f.removeService(plainService)
	f.removeService(modelService)
	for _, id := range []string{"fraser-a-1-entry-1", "fraser-a-2-entry-1"} {
		if n := f.Instances[id].Dump().(instance.Dump).InFlight; n != 2 {
			t.Fatalf("%s has %d requests in flight after the changes, want 2", id, n)
		}
	}
	for range 2 {
		if got := <-orders; got.status != http.StatusOK {
			t.Errorf("an order: %d %s", got.status, got.body)
		}
	}
	for what, stream := range map[string]struct {
		first string
		lines io.Reader
	}{"forwarded": {forwardedFirst, forwarded}, "local": {localFirst, local}} {
		rest, err := io.ReadAll(stream.lines)
		if err != nil {
			t.Errorf("%s: %v", what, err)
		}
		f.checkComplete(what, stream.first+string(rest), tokens)
	}
}

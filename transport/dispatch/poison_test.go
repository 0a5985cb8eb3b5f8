package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/servers"
)

// Two copies of a request arrive at one instance. The first crashes its server; the second
// is refused the connection and looks for another server while the instance is still
// checking the first one. It has to wait for the result: placed at once, it would crash a
// second server, and each copy would crash one more at each instance.
func TestCopyWaitsForTheJudgementOfTheOneBeside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := servers.New()
		table.Replace([]servers.Identity{{ID: "s1", Service: "ledger"}, {ID: "s2", Service: "ledger"}}, time.Now())
		for _, id := range []string{"s1", "s2"} {
			table.Report("ledger", id, servers.Load{At: time.Now(), BootID: "boot"})
			table.Entry("ledger", id).SetLimit(4, 4)
		}
		l := &LocalDispatcher{
			Catalog: catalog.New(), Servers: table, Quarantine: quarantine.New(),
			Isolation: quarantine.NewIsolation(), Prefixes: NewPrefixIndexes("viti-levu"),
		}
		svc := &service.Service{Name: "ledger", Operations: map[string]service.Operation{"order": {Cost: 1}}}
		first, second := orderWork(time.Second), orderWork(time.Second)
		run, ok := l.Isolation.Begin(first.quarantineKey(), "s1", false, false)
		if !ok {
			t.Fatal("the first copy is not placed")
		}
		second.triedServers = []string{"s1"}
		go func() {
			time.Sleep(probeTimeout / 2)
			l.Quarantine.RecordCrash(first.quarantineKey(), "s1", "boot", time.Now())
			l.Isolation.End(run)
		}()
		if p, _ := l.place(t.Context(), second, svc); p != nil {
			t.Errorf("placed on %s before the crash check of the first copy's server", p.server.ID)
		}
	})
}

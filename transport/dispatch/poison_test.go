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

// Two copies of a request come to one instance. The first crashes its server; the second
// finds that nothing listens there and looks for another server while the instance still
// asks what became of the first one. It has to wait for the answer: placed at once, it
// would crash a second server, and each instance would add one more for every copy.
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
		first, second := order(time.Second), order(time.Second)
		run, ok := l.Isolation.Begin(first.identity(), "s1", false, false)
		if !ok {
			t.Fatal("the first copy is not placed")
		}
		second.tried = []string{"s1"}
		go func() {
			time.Sleep(probeTimeout / 2)
			l.Quarantine.RecordCrash(first.identity(), "s1", "boot", time.Now())
			l.Isolation.End(run)
		}()
		if p, _ := l.place(t.Context(), second, svc); p != nil {
			t.Errorf("placed on %s before the first copy was judged", p.server.ID)
		}
	})
}

package routing

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/servers"
)

// Guards against a server that gets no more requests after failures that had answers between them.
func TestServerStaysUsableWhenAnswersComeBetweenFailures(t *testing.T) {
	const limit = 3
	table := servers.New()
	table.Replace([]servers.Identity{{ID: "s", Service: "ledger"}}, time.Now())
	table.Report("ledger", "s", servers.Load{At: time.Now(), BootID: "boot"})
	entry := table.Entry("ledger", "s")
	for range limit {
		table.RecordCallFailure("ledger", "s", limit)
		RecordResponse(entry, time.Millisecond, time.Millisecond, time.Millisecond)
	}
	if v := entry.View(); !v.Usable() {
		t.Errorf("not usable after %d failures, an answer after each", v.Failures)
	}
	for range limit {
		table.RecordCallFailure("ledger", "s", limit)
	}
	if entry.View().Usable() {
		t.Errorf("usable after %d failures in a row", limit)
	}
}

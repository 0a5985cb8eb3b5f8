package placement

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

// Another instance reports its load repeatedly, one server restarts meanwhile, and the
// instance becomes unresponsive. Each report replaces the one before; counted twice, the
// servers would look full and their callers be refused. The load of an unresponsive instance
// expires after some tenths of a second.
func TestReportsOfAPeerReplaceEachOther(t *testing.T) {
	p := newEnginePool(2)
	now := start
	report := func(server *server, pending, inFlight int) {
		p.ApplyReport("peer", &LoadReport{Servers: []ServerLoad{{Server: uint32(server.hash), PendingTokens: pending, InFlight: inFlight}}}, now)
	}
	for range 5 {
		now = now.Add(60 * time.Millisecond)
		report(p.servers[0], 4000, 3)
	}
	if got := p.running(p.servers[0], now); got != 3 {
		t.Errorf("%v requests after five reports of 3", got)
	}
	report(p.servers[1], 1000, 2)
	if a, b := p.running(p.servers[0], now), p.running(p.servers[1], now); a != 0 || b != 2 {
		t.Errorf("%v and %v requests after a report of the other server only", a, b)
	}
	restarted := append([]backends.Entry(nil), newEntries(2)...)
	restarted[1].Incarnation = 2
	p.Update(p.settings, restarted)
	report(p.servers[1], 1000, 1)
	if got := p.running(p.servers[1], now); got != 1 {
		t.Errorf("%v requests at a restarted server, want 1", got)
	}
	now = now.Add(peerReportTTL + time.Millisecond)
	if running, _ := p.Occupancy(0, now); running != 0 {
		t.Errorf("%v requests of an unresponsive instance", running)
	}
}

package loadhub

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
)

// Guards against a hub whose sums drift, or tell an instance of its own urgent requests, as reports
// change, come twice, stop or come from an earlier build.
func TestUrgentRequestsAreSummed(t *testing.T) {
	hub, now := newTestHub(), time.Unix(1000, 0)
	const first, second = "10.0.0.1:1", "10.0.0.2:1"
	report := func(from, address string, inFlight, urgent int) {
		var servers []placement.ServerLoad
		if inFlight > 0 {
			servers = []placement.ServerLoad{{Server: 7, InFlight: inFlight, UrgentInFlight: urgent}}
		}
		hub.Receive(Message{Kind: HubReport, From: from, Domain: "d", AcceptsPartial: true, Report: placement.LoadReport{Servers: servers}},
			netip.MustParseAddrPort(address), now)
	}
	for _, step := range []struct {
		name           string
		report         func()
		inFlight       int // of the others, as the first instance is told
		urgentInFlight int
	}{
		{"both report", func() { report("i0", first, 4, 2); report("i1", second, 5, 3) }, 5, 3},
		{"only the urgent ones change", func() { report("i0", first, 4, 2); report("i1", second, 5, 1) }, 5, 1},
		{"its own change", func() { report("i0", first, 4, 4); report("i1", second, 5, 2) }, 5, 2},
		{"one comes twice", func() { report("i0", first, 4, 4); report("i1", second, 6, 4); report("i1", second, 6, 4) }, 6, 4},
		{"one comes from an earlier build", func() { report("i0", first, 4, 4); report("i1", second, 6, 0) }, 6, 0},
		{"one has ended its requests", func() { report("i0", first, 4, 4); report("i1", second, 0, 0) }, 0, 0},
		{"one starts again", func() { report("i0", first, 4, 1); report("i1", second, 3, 3) }, 3, 3},
	} {
		now = now.Add(completeTicks * RelayInterval)
		hub.tick = 0
		step.report()
		out, _ := hub.Round(placement.LoadReport{}, now)
		want := placement.ServerLoad{Server: 7, InFlight: step.inFlight, UrgentInFlight: step.urgentInFlight}
		told := slices.IndexFunc(out, func(e Envelope) bool { return e.Kind == RegionSum && e.To[0].String() == first })
		if told < 0 || !slices.Equal(out[told].Report.Servers, []placement.ServerLoad{want}) {
			t.Errorf("%s: sent %+v, want %+v", step.name, out, want)
		}
	}
	now = now.Add(reportTTL + RelayInterval)
	hub.Round(placement.LoadReport{}, now)
	for server, total := range hub.region.servers {
		if total.UrgentInFlight != 0 {
			t.Errorf("%d urgent requests at server %d after all reports expired", total.UrgentInFlight, server)
		}
	}
}

// Guards against the sum of another failure domain that adds up with its earlier ones.
func TestUrgentRequestsOfOtherDomainsReplaceEachOther(t *testing.T) {
	hub, now := newTestHub(), time.Unix(1000, 0)
	receive := func(partial bool, servers ...placement.ServerLoad) {
		hub.recordSum(Message{Kind: DomainSum, From: "far", Domain: "other", Report: placement.LoadReport{Partial: partial, Servers: servers}}, now)
	}
	check := func(name string, want int) {
		t.Helper()
		got := 0
		if total := hub.region.servers[7]; total != nil {
			got = total.UrgentInFlight
		}
		if got != want {
			t.Errorf("%s: %d urgent requests, want %d", name, got, want)
		}
	}
	receive(false, placement.ServerLoad{Server: 7, InFlight: 5, UrgentInFlight: 3})
	receive(true, placement.ServerLoad{Server: 7, InFlight: 5, UrgentInFlight: 2})
	check("partial", 2)
	receive(true, placement.ServerLoad{Server: 8, InFlight: 1})
	check("partial without the server", 2)
	receive(false, placement.ServerLoad{Server: 8, InFlight: 1})
	check("full without the server", 0)
	receive(false, placement.ServerLoad{Server: 7, InFlight: 4, UrgentInFlight: 4})
	check("full", 4)
	now = now.Add(reportTTL + RelayInterval)
	hub.dropExpired(now)
	check("expired", 0)
}

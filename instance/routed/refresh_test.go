package routed

import (
	"testing"

	"github.com/basilroute/basilroute/state/routes"
)

// Guards against a new configuration that has the pools take all backend servers anew, although its
// services are the same.
func TestConfigurationOfTheSameServicesKeepsThePools(t *testing.T) {
	allocated := func(servers int) float64 {
		n := newEntriesInstance()
		n.applyDelta(n.servers, entriesDelta(servers), origin{source: sourceStore})
		version := int64(1)
		return testing.AllocsPerRun(10, func() {
			version++
			next := *n.routes.Current()
			next.Version = version
			n.routes.Offer(&next)
			n.refreshPools(n.started)
		})
	}
	if few, many := allocated(100), allocated(5000); many > few {
		t.Errorf("%.0f allocations at 5,000 servers, %.0f at 100", many, few)
	}
	n := newEntriesInstance()
	n.applyDelta(n.servers, entriesDelta(30), origin{source: sourceStore})
	n.routes.Offer(&routes.Config{Version: 2, Services: map[string]*routes.Service{"svc": {Name: "svc"}, "other": {Name: "other"}}})
	n.refreshPools(n.started)
	if got := len(n.local.Pool("svc").States(n.started)); got != 10 {
		t.Errorf("%d servers after a change of the services, want the region's 10", got)
	}
}

package routed

import (
	"testing"

	"github.com/basilroute/basilroute/state/routes"
)

// Guards against a backend server that is gone and still gets requests of a service that a new version has dropped.
func TestServersOfADroppedServiceLeaveItsPool(t *testing.T) {
	n := newEntriesInstance()
	n.applyDelta(n.servers, entriesDelta(30), origin{source: sourceStore})
	n.routes.Offer(&routes.Config{Version: 2, Services: map[string]*routes.Service{"other": {Name: "other"}}})
	n.refreshPools(n.started)
	before := n.local.Pool("svc").States(n.started)
	for _, s := range before {
		n.backends.Remove(s.ID, n.started)
	}
	n.refreshPools(n.started)
	if got := n.local.Pool("svc").States(n.started); len(before) != 10 || len(got) != 0 {
		t.Errorf("%d servers, %d after they have gone", len(before), len(got))
	}
}

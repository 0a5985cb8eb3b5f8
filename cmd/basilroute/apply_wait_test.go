package main

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/operatorapi"
)

// A document is applied while one instance is unreachable, one is leaving, one lags and
// one rejects the document. The command must not count any of them as done, and its
// error has to name all of them.
func TestProgressCountsOnlyInstancesInForce(t *testing.T) {
	documents := []acceptedDocument{{key: "config/account/a", revision: 7}}
	status := &operatorapi.Status{Instances: []operatorapi.InstanceStatus{
		{ID: "has-it", State: operatorapi.InstanceStatusStateLive, ConfigRevision: 7},
		{ID: "lags", State: operatorapi.InstanceStatusStateLive, ConfigRevision: 6},
		{ID: "rejects", State: operatorapi.InstanceStatusStateLive, ConfigRevision: 7, Rejected: []string{"config/account/a"}},
		{ID: "cut-off", State: operatorapi.InstanceStatusStateUnreachable, ConfigRevision: 7},
		{ID: "stops", State: operatorapi.InstanceStatusStateLeaving, ConfigRevision: 7},
	}}
	p := progressOf(status, documents, 7)
	if p.inForce != 1 || p.total() != 4 {
		t.Errorf("%d of %d", p.inForce, p.total())
	}
	err := notInForceError(p, nil)
	const want = "not in force on lags, rejects, cut-off (unreachable); leaving: stops: not in force everywhere in time"
	if err.Error() != want || exitCode(err) != exitTimeout {
		t.Errorf("exit code %d: %v", exitCode(err), err)
	}
	if !errors.Is(err, errTimeout) {
		t.Error("not a timeout")
	}
}

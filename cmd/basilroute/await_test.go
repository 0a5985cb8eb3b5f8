package main

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/operatorapi"
)

// An operator applies a document while one instance is cut off, one stops, one
// lags and one cannot take it. The command may not report it in force for any of
// them, and has to name all that an operator has to look after.
func TestProgressCountsOnlyWhoHasItInForce(t *testing.T) {
	documents := []applied{{key: "config/account/a", revision: 7}}
	status := &operatorapi.Status{Instances: []operatorapi.InstanceStatus{
		{ID: "has-it", State: operatorapi.InstanceStatusStateLive, ConfigRevision: 7},
		{ID: "lags", State: operatorapi.InstanceStatusStateLive, ConfigRevision: 6},
		{ID: "rejects", State: operatorapi.InstanceStatusStateLive, ConfigRevision: 7, Rejected: []string{"config/account/a"}},
		{ID: "cut-off", State: operatorapi.InstanceStatusStateUnreachable, ConfigRevision: 7},
		{ID: "stops", State: operatorapi.InstanceStatusStateLeaving, ConfigRevision: 7},
	}}
	p := progressOf(status, documents, 7)
	if p.done != 1 || p.all() != 4 {
		t.Errorf("%d of %d", p.done, p.all())
	}
	err := lacking(p, nil)
	const want = "not in force on lags, rejects, cut-off (unreachable); leaving: stops: not in force everywhere in time"
	if err.Error() != want || exitCode(err) != exitTimeout {
		t.Errorf("exit code %d: %v", exitCode(err), err)
	}
	if !errors.Is(err, errTimeout) {
		t.Error("not a timeout")
	}
}

package httproute

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/routes"
)

// An instance and its neighbours restart. Callers whose answers were cut come back at once,
// a tenth of a second before the configuration is here; they have no attempt left after
// this one. They were refused and lost, although the servers behind were idle.
func TestRequestWaitsForTheConfigurationAfterAStart(t *testing.T) {
	s := startStandIn(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "done") })
	f, front := gatewayOver(t, s)
	f.Starting = func() bool { // asked while the configuration is awaited
		configure(f)
		return true
	}
	resp, body, err := call(t, t.Context(), front, http.MethodGet, "/read/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "done" {
		t.Fatalf("%v %v %q", resp, err, body)
	}
}

// As above, but the configuration is here and the servers' entries come later.
func TestRequestWaitsForServersAfterAStart(t *testing.T) {
	s := startStandIn(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "done") })
	f, front := gatewayOver(t, s)
	configure(f)
	pool := f.Local.Pool("svc")
	pool.Update(placement.Settings{Slots: 8}, nil)
	f.Starting = func() bool {
		pool.Update(placement.Settings{Slots: 8}, f.Local.Backends.InRegion("r", time.Now()))
		return true
	}
	resp, body, err := call(t, t.Context(), front, http.MethodGet, "/read/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "done" {
		t.Fatalf("%v %v %q", resp, err, body)
	}
}

// The store stays away after a start. A request waits for its limit and no longer, and one
// that comes when the instance no longer counts as starting is refused at once.
func TestWaitAfterAStartIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starting := true
		f := &Front{Routes: &routes.Table{}, Starting: func() bool { return starting }}
		before := time.Now()
		if f.awaitConfig(t.Context()) != nil || time.Since(before) != startWait {
			t.Errorf("waited %v, want %v", time.Since(before), startWait)
		}
		starting = false
		before = time.Now()
		if f.awaitConfig(t.Context()) != nil || time.Since(before) != 0 {
			t.Errorf("waited %v though the start is over", time.Since(before))
		}
	})
}

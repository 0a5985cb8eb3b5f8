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

// An instance and its neighbours restart. Callers whose responses were cut off retry at
// once, a tenth of a second before the configuration arrives, and have no attempt left
// after this one. Guards against refusing them while the servers behind the instance are
// idle.
func TestRequestWaitsForTheConfigurationAfterAStart(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "done") })
	f, front := newTestFront(t, s)
	f.Starting = func() bool { // called while waiting for the configuration
		configure(f)
		return true
	}
	resp, body, err := call(t, t.Context(), front, http.MethodGet, "/read/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "done" {
		t.Fatalf("%v %v %q", resp, err, body)
	}
}

// As above, but the configuration is present and the servers' entries arrive later.
func TestRequestWaitsForServersAfterAStart(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "done") })
	f, front := newTestFront(t, s)
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

// The store stays unreachable after a start. A request waits for its limit and no longer,
// and one that arrives when the instance is no longer starting is refused at once.
func TestWaitAfterAStartIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		starting := true
		f := &Front{Routes: &routes.Table{}, Starting: func() bool { return starting }}
		before := time.Now()
		if f.awaitConfig(t.Context()) != nil || time.Since(before) != maxStartWait {
			t.Errorf("waited %v, want %v", time.Since(before), maxStartWait)
		}
		starting = false
		before = time.Now()
		if f.awaitConfig(t.Context()) != nil || time.Since(before) != 0 {
			t.Errorf("waited %v though the start is over", time.Since(before))
		}
	})
}

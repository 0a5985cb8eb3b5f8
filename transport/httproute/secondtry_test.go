package httproute

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
)

// Guards against a request that is given up because an instance of the only region that may run it ends while it holds
// the request, although another one of that region can take it.
func TestOnlyRegionIsTriedOnceMore(t *testing.T) {
	for name, c := range map[string]struct {
		begins bool
		want   map[string]result
	}{
		"killed at once":                {want: map[string]result{"/read/1": {200, 2}, "/draft/1": {200, 2}, "/order/1": {502, 1}, "/chat/1": {502, 1}}},
		"killed after the first events": {begins: true, want: map[string]result{"/draft/1": {200, 2}, "/chat/1": {0, 1}}},
	} {
		for path, want := range c.want {
			t.Run(name+path, func(t *testing.T) {
				var inbound *httptest.Server
				var p *peerPath
				var killed atomic.Bool
				server := startFakeServer(t, func(conn net.Conn, r *http.Request) bool {
					if killed.Swap(true) {
						return completes(conn, r)
					}
					if c.begins {
						firstEvents(conn, r)
						p.awaitFirstByte(t)
					}
					_ = inbound.Listener.Close() // fails only if it is closed
					inbound.CloseClientConnections()
					return false
				})
				p = newPeerPath(t, server)
				inbound = p.addPeer(t, nil)
				p.addPeer(t, nil)
				p.front.Local.Backends.Put(backends.Server{ID: "s0", Service: "svc", Address: server.address, Domain: "d", Region: "far"}, time.Now())
				if got := p.send(t, path, server); got != want {
					t.Errorf("%+v, want %+v", got, want)
				}
			})
		}
	}
}

// send sends a request, and counts what the server of the other region gets of it.
func (p *peerPath) send(t *testing.T, path string, server *fakeServer) result {
	resp, body, err := call(t, t.Context(), p.callers, "POST", path, "x")
	if err != nil {
		return result{0, len(server.requests())}
	}
	if resp.StatusCode == http.StatusOK && strings.Contains(body, "id:") && strings.Count(body, "data:") != 4 {
		t.Errorf("not the whole stream: %q", body)
	}
	return result{resp.StatusCode, len(server.requests())}
}

// Guards against a region that breaks off every attempt and is tried for as long as attempts are left.
func TestOnlyRegionIsNotTriedForEver(t *testing.T) {
	server := startFakeServer(t, func(net.Conn, *http.Request) bool { return false })
	p := newPeerPath(t, server)
	p.addPeer(t, nil)
	apply(p.front.Routes, func(_ *routes.Config, r *routes.Route) { r.MaxAttempts = maxTries })
	if got := p.send(t, "/read/1", server); got != (result{502, 2}) {
		t.Errorf("%+v", got)
	}
}

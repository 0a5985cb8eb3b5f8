package backendhttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// age makes the idle connections look as if they had been idle for longer.
func age(c *Client, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, cn := range list {
			cn.idleSince = cn.idleSince.Add(-by)
		}
	}
}

// Guards against a round trip for a new connection before each request that may not be repeated.
func TestIdleConnectionToAKnownServerCarriesAnyRequest(t *testing.T) {
	const idle = 3 * time.Second
	for name, tc := range map[string]struct {
		freshIdle time.Duration
		conns     int32
	}{
		"known server":   {freshIdle: DefaultIdleLimit, conns: 1},
		"unknown server": {conns: 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, next func() *http.Request) {
				for r := next(); r != nil; r = next() {
					_, _ = io.WriteString(c, answer(r.Header.Get("Id"), "x"))
				}
			})
			c := New(Settings{DialTimeout: time.Second, UserTimeout: time.Second, MaxIdle: 4, FreshIdle: tc.freshIdle})
			fresh := matchID("1")
			fresh.FreshConn = true
			for range 2 {
				if _, err := ask(t, c, s.address, get("1"), fresh); err != nil {
					t.Fatal(err)
				}
				age(c, idle)
			}
			if n := s.accepted.Load(); n != tc.conns {
				t.Errorf("%d connections, want %d", n, tc.conns)
			}
		})
	}
}

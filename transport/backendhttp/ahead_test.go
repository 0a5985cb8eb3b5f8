package backendhttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

func peerClient(t *testing.T) *Client {
	t.Helper()
	c := New(Settings{DialTimeout: time.Second, UserTimeout: time.Second, MaxIdle: 16, FreshIdle: DefaultIdleLimit, MaxReady: 4})
	t.Cleanup(c.Close)
	return c
}

// unrepeatable are the options of a request that may not be repeated.
func unrepeatable(id string) Options {
	o := matchID(id)
	o.FreshConn = true
	return o
}

// answerAll responds to every request at once.
func answerAll(c net.Conn, next func() *http.Request) {
	for r := next(); r != nil; r = next() {
		_, _ = io.WriteString(c, answer(r.Header.Get("Id"), "x"))
	}
}

func (c *Client) idleConns(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle[address])
}

// Guards against a round trip for a new connection while all others are in use.
func TestRequestTakesAConnectionDialledAhead(t *testing.T) {
	s := serve(t, answerAll)
	c := peerClient(t)
	first, err := c.Do(t.Context(), s.address, get("1"), unrepeatable("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	c.ahead.pending.Wait()
	second, err := c.Do(t.Context(), s.address, get("2"), unrepeatable("2"))
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	stats := c.Stats()
	if stats.DialledAhead == 0 || stats.OnNew != 1 || stats.OnAhead != 1 || second.Reused {
		t.Errorf("%+v, reused: %t; want one request on a new connection and one on a connection dialled ahead", stats, second.Reused)
	}
}

// Guards against dials ahead to backend servers, or to peers where the operator has switched them off.
func TestNothingIsDialledAheadByDefault(t *testing.T) {
	s := serve(t, answerAll)
	c := client()
	if _, err := ask(t, c, s.address, get("1"), matchID("1")); err != nil {
		t.Fatal(err)
	}
	c.Sweep()
	c.Close()
	if stats := c.Stats(); stats != (ConnStats{OnNew: 1}) || s.accepted.Load() != 1 {
		t.Errorf("%+v, %d connections, want 1", stats, s.accepted.Load())
	}
}

// Guards against connections that outlive the client that dialled them.
func TestNoConnectionIsDialledAheadAfterClose(t *testing.T) {
	s := serve(t, answerAll)
	c := peerClient(t)
	a, err := c.Do(t.Context(), s.address, get("1"), unrepeatable("1"))
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	before := c.Stats()
	if _, err := io.ReadAll(a); err != nil {
		t.Fatal(err)
	}
	a.Close()
	c.Sweep()
	if _, err := ask(t, c, s.address, get("2"), unrepeatable("2")); err != nil {
		t.Fatal(err)
	}
	c.ahead.pending.Wait()
	before.OnNew++
	if n, after := c.idleConns(s.address), c.Stats(); n != 0 || after != before {
		t.Errorf("%d idle connections, %+v after Close, want %+v", n, after, before)
	}
}

// Guards against requests in flight that are counted twice or for ever, so that the number of ready connections is wrong.
func TestRequestsInFlightAreCountedOnce(t *testing.T) {
	s := serve(t, func(c net.Conn, next func() *http.Request) {
		for r := next(); r != nil; r = next() {
			if r.Header.Get("Id") == "broken" {
				return
			}
			_, _ = io.WriteString(c, answer(r.Header.Get("Id"), "x"))
		}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := l.Addr().String()
	_ = l.Close()
	c := peerClient(t)
	for _, r := range []struct{ address, id string }{{s.address, "1"}, {s.address, "broken"}, {nobody, "2"}, {s.address, "3"}} {
		_, _ = ask(t, c, r.address, get(r.id), unrepeatable(r.id))
	}
	c.ahead.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, d := range c.ahead.demands {
		if d.inFlight != 0 || d.dialling != 0 {
			t.Errorf("%s: %d in flight, %d dialling", address, d.inFlight, d.dialling)
		}
	}
	if len(c.ahead.demands) != 2 {
		t.Errorf("%d addresses, want 2", len(c.ahead.demands))
	}
}

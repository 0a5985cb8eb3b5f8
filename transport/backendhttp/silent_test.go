package backendhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// expiringContext reports its end as a deadline that has passed.
type expiringContext struct{ context.Context }

func (c expiringContext) Err() error {
	if c.Context.Err() != nil {
		return context.DeadlineExceeded
	}
	return nil
}

// failedDial returns a function that ends a dial with an error and uses up one connection.
func failedDial(cause error) func(*testing.T, *Client, string) {
	return func(t *testing.T, c *Client, address string) {
		_ = c.pop(address).Close()
		err := errors.Mark(&net.OpError{Op: "dial", Err: cause}, ErrNotSent)
		c.dialEnded(t.Context(), address, time.Now(), err)
	}
}

// Guards against requests lost one after another on connections that a cut link has left silent.
func TestSilentConnectionsAreDropped(t *testing.T) {
	for name, tc := range map[string]struct {
		fail    func(t *testing.T, c *Client, address string)
		dropped bool
	}{
		"idle timeout": {dropped: true, fail: func(t *testing.T, c *Client, address string) {
			o := unrepeatable("silent")
			o.IdleTimeout, o.ShouldAbort = time.Millisecond, func(func() bool) bool { return true }
			if _, err := ask(t, c, address, get("silent"), o); !errors.Is(err, ErrIdleTimeout) {
				t.Errorf("ended with %v", err)
			}
		}},
		"idle timeout in the body": {dropped: true, fail: func(t *testing.T, c *Client, address string) {
			a, err := c.Do(t.Context(), address, get("half"), unrepeatable("half"))
			if err != nil {
				t.Fatal(err)
			}
			defer a.Close()
			a.SetIdleTimeout(time.Millisecond, func(func() bool) bool { return true })
			if _, err := io.ReadAll(a); !errors.Is(err, ErrIdleTimeout) {
				t.Errorf("ended with %v", err)
			}
		}},
		"deadline": {dropped: true, fail: func(t *testing.T, c *Client, address string) {
			ctx, cancel := context.WithCancel(t.Context())
			o := unrepeatable("silent")
			o.IdleTimeout, o.ShouldAbort = time.Millisecond, func(func() bool) bool { cancel(); return false }
			if _, err := c.Do(expiringContext{ctx}, address, get("silent"), o); err == nil {
				t.Error("a silent server answered")
			}
		}},
		"dial timeout":         {dropped: true, fail: failedDial(os.ErrDeadlineExceeded)},
		"no route to dial":     {dropped: true, fail: failedDial(syscall.EHOSTUNREACH)},
		"no free port to dial": {fail: failedDial(syscall.EADDRNOTAVAIL)},
		"cancelled by the caller": {fail: func(t *testing.T, c *Client, address string) {
			ctx, cancel := context.WithCancel(t.Context())
			o := unrepeatable("silent")
			o.IdleTimeout, o.ShouldAbort = time.Millisecond, func(func() bool) bool { cancel(); return false }
			if _, err := c.Do(ctx, address, get("silent"), o); err == nil {
				t.Error("a silent server answered")
			}
		}},
		"closed by the server": {fail: func(t *testing.T, c *Client, address string) {
			if _, err := ask(t, c, address, get("closed"), unrepeatable("closed")); err == nil {
				t.Error("a server that closes answered")
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(c net.Conn, next func() *http.Request) {
				for r := next(); r != nil; r = next() {
					switch id := r.Header.Get("Id"); id {
					case "silent":
						next() // until the client closes
						return
					case "half":
						_, _ = io.WriteString(c, answer(id, "xx")[:len(answer(id, "xx"))-1])
						next()
						return
					case "closed":
						return
					default:
						_, _ = io.WriteString(c, answer(id, "x"))
					}
				}
			})
			c := New(Settings{DialTimeout: time.Second, UserTimeout: time.Second, MaxIdle: 16, FreshIdle: DefaultIdleLimit})
			t.Cleanup(c.Close)
			for range 3 { // one for the failure, two that stay idle
				if c.ConnectionRefused(t.Context(), s.address) {
					t.Fatal("connection refused")
				}
			}
			age(c, 2*time.Second)
			tc.fail(t, c, s.address)
			want := 2
			if tc.dropped {
				want = 0
			}
			if n := c.idleConns(s.address); n != want {
				t.Errorf("%d idle connections, want %d", n, want)
			}
		})
	}
}

// Guards against dropping connections that have shown since that the link works.
func TestConnectionsUsedSinceASilentOneAreKept(t *testing.T) {
	s := serve(t, answerAll)
	c := peerClient(t)
	began := time.Now()
	if _, err := ask(t, c, s.address, get("1"), unrepeatable("1")); err != nil {
		t.Fatal(err)
	}
	c.ahead.pending.Wait()
	kept := c.idleConns(s.address)
	c.dropSilent(t.Context(), s.address, began)
	if n := c.idleConns(s.address); n != kept || n == 0 {
		t.Errorf("%d idle connections, want %d", n, kept)
	}
}

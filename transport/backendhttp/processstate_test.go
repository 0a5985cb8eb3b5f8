package backendhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// listen starts a server that passes each connection to a function, with its number from 1.
func listen(t *testing.T, accepted func(l net.Listener, c net.Conn, n int)) (address string, conns *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			accepted(l, c, int(conns.Add(1)))
		}
	}()
	return l.Addr().String(), conns
}

func processState(t *testing.T, c *Client, address string) ProcessState {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return c.ProcessState(ctx, address)
}

// Guards against a process that is taken for running because it still accepted a connection while it ended, and against one that
// is taken for ended because it accepts connections and resets them.
func TestStateOfAServersProcess(t *testing.T) {
	for name, tc := range map[string]struct {
		accepted func(l net.Listener, c net.Conn, n int)
		want     ProcessState
	}{
		"runs": {func(net.Listener, net.Conn, int) {}, ProcessRunning},
		"ends after it has accepted": {func(l net.Listener, c net.Conn, _ int) {
			reset(c)
			_ = l.Close()
		}, ProcessEnded},
		"ends some milliseconds after it has accepted": {func(l net.Listener, c net.Conn, _ int) {
			time.Sleep(processEndTime / 4)
			_ = c.Close()
			_ = l.Close()
		}, ProcessEnded},
		"resets every connection": {func(_ net.Listener, c net.Conn, _ int) { reset(c) }, ProcessRunning},
		"resets one connection": {func(_ net.Listener, c net.Conn, n int) {
			if n == 1 {
				reset(c)
			}
		}, ProcessRunning},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := listen(t, tc.accepted)
			c := client()
			defer c.Close()
			if got := processState(t, c, address); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
	address, _ := listen(t, func(net.Listener, net.Conn, int) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := client().ProcessState(ctx, address); got != ProcessUnknown {
		t.Errorf("without time: %s", got)
	}
}

// Guards against a process that has ended and is taken for running because of its idle connections, and against a connection for
// each question.
func TestIdleConnectionsTellWhetherAProcessRuns(t *testing.T) {
	var kept net.Conn
	open := make(chan struct{})
	address, conns := listen(t, func(l net.Listener, c net.Conn, _ int) {
		kept = c
		_ = l.Close()
		close(open)
	})
	c := client()
	defer c.Close()
	if got := processState(t, c, address); got != ProcessRunning {
		t.Errorf("a server that accepts: %s", got)
	}
	<-open
	for range 3 {
		if got := processState(t, c, address); got != ProcessRunning {
			t.Errorf("a server with an open connection: %s", got)
		}
	}
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
	_ = kept.Close()
	if got := processState(t, c, address); got != ProcessEnded {
		t.Errorf("a server whose connections are closed: %s", got)
	}
}

// Guards against a connection that a question has opened and that no request uses.
func TestConnectionOfAQuestionCarriesTheNextRequest(t *testing.T) {
	s := serve(t, func(c net.Conn, next func() *http.Request) {
		if next() != nil {
			_, _ = io.WriteString(c, answer("1", "ok"))
		}
	})
	c := client()
	defer c.Close()
	if got := processState(t, c, s.address); got != ProcessRunning {
		t.Fatal(got)
	}
	if body, err := ask(t, c, s.address, get("1"), matchID("1")); err != nil || body != "ok" {
		t.Errorf("%q, %v", body, err)
	}
	if n := s.accepted.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

package httproute

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/outcome"
)

// leavingFront is a front whose instance exits after a time that the test sets.
type leavingFront struct {
	*Front
	callers *httptest.Server
	server  *fakeServer
	left    time.Duration // 0 before it leaves
}

func startLeavingFront(t *testing.T, script func(c net.Conn, r *http.Request) bool) *leavingFront {
	t.Helper()
	l := &leavingFront{server: startFakeServer(t, script)}
	l.Front, l.callers = newTestFront(t, l.server)
	l.TimeToShutdown = func() time.Duration { return l.left }
	l.Leaving = func() bool { return l.left > 0 }
	configure(l.Front)
	return l
}

// expect sends a request and checks its status, and that it reached the server only if it was served.
func (l *leavingFront) expect(t *testing.T, what, path string, want int, header ...string) {
	t.Helper()
	before := len(l.server.requests())
	resp, _, err := call(t, t.Context(), l.callers, "POST", path, "b", header...)
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	if resp.StatusCode != want {
		t.Errorf("%s: status %d, want %d", what, resp.StatusCode, want)
	}
	if sent := len(l.server.requests()) > before; sent != (want == http.StatusOK) {
		t.Errorf("%s: sent to the server: %v", what, sent)
	}
	if want != http.StatusOK && (resp.Header.Get("Retry-After") == "" || !resp.Close) {
		t.Errorf("%s: refused with %v, closed %v", what, resp.Header, resp.Close)
	}
}

func respondAtOnce(c net.Conn, r *http.Request) bool { return respond(c, r, http.StatusOK, "ok") }

// Guards against a request that a leaving instance accepts because those before it were short, and cuts; and against one that
// it refuses although its timeout of 5 s, or its caller, ends it before the exit.
func TestLeavingInstanceAcceptsWhatItCanFinish(t *testing.T) {
	const shortRequests = 20
	l := startLeavingFront(t, func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/chat/") || strings.HasPrefix(r.URL.Path, "/draft/") {
			writeEvents(c, r, 1, 1, true)
			return true
		}
		return respondAtOnce(c, r)
	})
	for _, path := range []string{"/order/1", "/read/1", "/chat/1", "/draft/1"} {
		l.left = 0
		for n := range shortRequests {
			l.expect(t, fmt.Sprint("before the shutdown ", n), path, http.StatusOK)
		}
		l.left = 6 * time.Second
		l.expect(t, "its timeout ends before the exit", path, http.StatusOK)
		l.left = time.Second
		l.expect(t, "its timeout ends after the exit", path, http.StatusServiceUnavailable)
		l.expect(t, "its caller waits until the exit", path, http.StatusServiceUnavailable, "Wait-Ms", "1000")
		l.expect(t, "its caller waits less", path, http.StatusOK, "Wait-Ms", "800")
		l.left = time.Millisecond
		l.expect(t, "at the exit", path, http.StatusServiceUnavailable, "Wait-Ms", "1")
	}
}

// Guards against a request that is sent although its instance began to leave while its body was on its
// way, or while it waited for a server.
func TestInstanceLeavesBeforeARequestIsSent(t *testing.T) {
	const soon = time.Second
	for name, wait := range map[string]func(t *testing.T, l *leavingFront, leave func()) *http.Response{
		"body":   sendBodyAfter,
		"server": awaitServerUntil,
	} {
		t.Run(name, func(t *testing.T) {
			l := startLeavingFront(t, respondAtOnce)
			resp := wait(t, l, func() { l.left = soon })
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !resp.Close {
				t.Errorf("status %d, %v, closed %v", resp.StatusCode, resp.Header, resp.Close)
			}
			if sent := len(l.server.requests()); sent != 0 {
				t.Errorf("%d requests were sent", sent)
			}
		})
	}
}

// Guards against a request that no server has run and that its instance, which has begun to leave
// meanwhile, sends once more although it may not finish it.
func TestInstanceLeavesBeforeARetry(t *testing.T) {
	var l *leavingFront
	turnAway := func(c net.Conn, r *http.Request) bool {
		l.left = time.Second
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return err == nil
	}
	l = startLeavingFront(t, turnAway)
	other := startFakeServer(t, turnAway)
	l.Local.Backends.Put(backends.Server{ID: "other", Service: "svc", Address: other.address, Domain: "d", Region: "r", Slots: 8}, time.Now())
	l.Local.Pool("svc").Update(placement.Settings{Slots: 8}, l.Local.Backends.InRegion("r", time.Now()))
	resp, _, err := call(t, t.Context(), l.callers, "POST", "/read/1", "")
	if err != nil {
		t.Fatal(err)
	}
	if sent := len(l.server.requests()) + len(other.requests()); sent != 1 || resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("sent %d times, status %d, closed %v", sent, resp.StatusCode, resp.Close)
	}
}

// sendBodyAfter sends an order whose body arrives after leave has been called.
func sendBodyAfter(t *testing.T, l *leavingFront, leave func()) *http.Response {
	t.Helper()
	accepted, timeToShutdown := make(chan struct{}), l.TimeToShutdown
	var once sync.Once
	l.TimeToShutdown = func() time.Duration {
		defer once.Do(func() { close(accepted) })
		return timeToShutdown()
	}
	body, rest := io.Pipe()
	go func() {
		<-accepted
		leave()
		_, _ = rest.Write([]byte("lot")) // fails if the request was refused before
		_ = rest.Close()
	}()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, l.callers.URL+"/order/1", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = testHost
	req.Header.Set("Key", testKey)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp
}

// awaitServerUntil sends an order to an instance that has no server until leave has been called.
func awaitServerUntil(t *testing.T, l *leavingFront, leave func()) *http.Response {
	t.Helper()
	pool := l.Local.Pool("svc")
	pool.Update(placement.Settings{Slots: 8}, nil)
	l.Starting = func() bool {
		leave()
		pool.Update(placement.Settings{Slots: 8}, l.Local.Backends.InRegion("r", time.Now()))
		return true
	}
	resp, _, err := call(t, t.Context(), l.callers, http.MethodPost, "/order/1", "")
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Guards against a connection that is closed without a response because the instance exits.
func TestRequestsInFlightAtTheExitAreAnswered(t *testing.T) {
	for _, path := range []string{"/order/1", "/read/1", "/chat/1"} {
		arrived, ended := make(chan struct{}), make(chan struct{})
		l := startLeavingFront(t, func(net.Conn, *http.Request) bool {
			close(arrived)
			<-ended
			return false
		})
		exit, cancel := context.WithCancel(t.Context())
		l.Exit = exit
		go func() {
			<-arrived
			cancel()
		}()
		resp, body, err := call(t, t.Context(), l.callers, "POST", path, "b")
		close(ended)
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		if resp.StatusCode != http.StatusBadGateway || body != "stopping\n" {
			t.Errorf("%s: status %d, %q", path, resp.StatusCode, body)
		}
	}
}

// Guards against a stream that the exit of its instance cuts, and that counts as cut by its server or as left by its caller.
func TestStreamCutAtTheExitCountsAsCutByTheShutdown(t *testing.T) {
	ended := make(chan struct{})
	l := startLeavingFront(t, func(c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		writeEvent(c, 0)
		<-ended
		return false
	})
	exit, cancel := context.WithCancel(t.Context())
	l.Exit = exit
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, l.callers.URL+"/chat/1", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = testHost
	req.Header.Set("Id", "id-1")
	req.Header.Set("Key", testKey)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a stream that was cut looks complete")
	}
	close(ended)
	l.callers.Close()
	got := l.Metrics.callers.Totals().Ended
	if len(got) != 1 || got[outcome.Ending{Outcome: outcome.Cut, By: outcome.ByShutdown}] != 1 {
		t.Errorf("ended %v", got)
	}
}

// Guards against a request that a leaving instance sends once more, up to its exit, because a configuration has shortened the
// timeout of its route after its deadline was set.
func TestShorterTimeoutDoesNotMoveADeadline(t *testing.T) {
	now := time.Now()
	shorter := route("order", routes.KindNonIdempotent, 2, false)
	shorter.Timeout = 500 * time.Millisecond
	f := &Front{TimeToShutdown: func() time.Duration { return 2 * time.Second }}
	r := &request{route: &shorter, arrived: now, deadline: now.Add(5 * time.Second)}
	if !f.mayOutlastInstance(r) {
		t.Error("a request whose deadline lies after the exit is taken for one that ends before it")
	}
}

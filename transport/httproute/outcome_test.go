package httproute

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/outcome"
)

// checkOutcome checks that one request was read whole and that it ended in the wanted way.
func checkOutcome(t *testing.T, counts *outcome.Counts, want outcome.Ending) {
	t.Helper()
	if got := counts.Totals(); got.Read != 1 || got.InFlight != 0 || !maps.Equal(got.Ended, map[outcome.Ending]int{want: 1}) {
		t.Errorf("%d read, %d in flight, ended %v, want %v", got.Read, got.InFlight, got.Ended, want)
	}
}

// hang keeps a request until the connection to the server is closed.
func hang(c net.Conn) bool {
	_, _ = c.Read(make([]byte, 1))
	return false
}

func cutStream(c net.Conn, r *http.Request) bool {
	writeEvents(c, r, 0, 1, false)
	return false
}

// silentStream falls silent after its first events, and turns away the one that is to go on with them.
func silentStream(c net.Conn, r *http.Request) bool {
	if r.Header.Get("Last-Event-Id") != "" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return err == nil
	}
	writeHead(c, r)
	writeEvent(c, 0)
	return hang(c)
}

// Guards against a request that was read whole and that no count accounts for, and against one that is
// counted as something else than what its caller saw.
func TestOutcomes(t *testing.T) {
	respondOK := func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") }
	wholeStream := func(c net.Conn, r *http.Request) bool {
		writeEvents(c, r, 0, 1, true)
		return true
	}
	brokenStream := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event-Id") == "" {
			return cutStream(c, r)
		}
		writeEvents(c, r, 2, 3, true)
		return true
	}
	answered := outcome.Ending{Outcome: outcome.Answered, By: outcome.ByNothing}
	for _, tc := range []struct {
		name   string
		script func(net.Conn, *http.Request) bool // of both servers; nil for no server
		method string
		path   string
		body   string
		header []string
		want   outcome.Ending
		relay  outcome.Ending // of the same request by way of a peer, at the peer; empty if it is not forwarded
		origin outcome.Ending // the same at the first instance
	}{
		{"response", respondOK, "GET", "/read/1", "", nil, answered, answered, answered},
		{"stream", wholeStream, "POST", "/chat/1", "x", nil, answered, answered, answered},
		{"resumed stream", brokenStream, "POST", "/draft/1", "x", nil, answered, outcome.Ending{}, outcome.Ending{}},
		{"error of the server", func(c net.Conn, r *http.Request) bool { return respond(c, r, 500, "own") }, "GET", "/read/1", "", nil, answered, outcome.Ending{}, outcome.Ending{}},
		{"no route", respondOK, "GET", "/elsewhere/1", "", nil, outcome.Ending{Outcome: outcome.Refused, By: "no_route"}, outcome.Ending{}, outcome.Ending{}},
		{"unknown key", respondOK, "GET", "/read/1", "", []string{"Key", "another"}, outcome.Ending{Outcome: outcome.Refused, By: "unknown_key"}, outcome.Ending{}, outcome.Ending{}},
		{"no server", nil, "POST", "/order/1", "x", nil, outcome.Ending{Outcome: outcome.Refused, By: "no_server"}, outcome.Ending{Outcome: outcome.Refused, By: "no_server"}, outcome.Ending{Outcome: outcome.Refused, By: "no_server"}},
		{"server that closes its connection", func(net.Conn, *http.Request) bool { return false }, "POST", "/order/1", "x", nil, outcome.Ending{Outcome: outcome.Refused, By: "broken"}, outcome.Ending{Outcome: outcome.Refused, By: "broken"}, outcome.Ending{Outcome: outcome.Refused, By: "broken"}},
		{"deadline before a response", func(c net.Conn, _ *http.Request) bool { return hang(c) }, "POST", "/order/1", "x", []string{"Wait-Ms", "150"}, outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByStatus}, outcome.Ending{}, outcome.Ending{}},
		{"deadline within a response", silentStream, "POST", "/chat/1", "x", []string{"Wait-Ms", "150"}, outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByBreak}, outcome.Ending{}, outcome.Ending{}},
		{"stream cut off", cutStream, "POST", "/chat/1", "x", nil, outcome.Ending{Outcome: outcome.Cut, By: outcome.ByServer}, outcome.Ending{Outcome: outcome.Cut, By: outcome.ByServer}, outcome.Ending{Outcome: outcome.Cut, By: outcome.ByPeer}},
		{"silent stream that no server goes on with", silentStream, "POST", "/draft/1", "x", []string{"Wait-Ms", "1500"}, outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByBreak}, outcome.Ending{}, outcome.Ending{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			var servers []*fakeServer
			if tc.script != nil {
				servers = []*fakeServer{startFakeServer(t, tc.script), startFakeServer(t, tc.script)}
			}
			f, front := newTestFront(t, servers...)
			configure(f)
			_, _, _ = call(t, t.Context(), front, tc.method, tc.path, tc.body, tc.header...) // the counts are what is checked
			front.Close()                                                                    // waits until the request has ended
			checkOutcome(t, f.Metrics.callers, tc.want)
			if tc.relay == (outcome.Ending{}) {
				return
			}
			first, front, peer := forwardingFronts(t, f)
			_, _, _ = call(t, t.Context(), front, tc.method, tc.path, tc.body, tc.header...) // as above
			front.Close()
			peer.Close()
			checkOutcome(t, first.Metrics.callers, tc.origin)
			checkOutcome(t, f.Metrics.peers, tc.relay)
		})
	}
}

// Guards against a caller that left and whose request counts as answered, or as cut off by the server.
func TestOutcomeOfACallerThatLeft(t *testing.T) {
	for path, begins := range map[string]bool{"/read/1": false, "/chat/1": true, "/order/1": false} {
		arrived, left := make(chan struct{}), make(chan struct{})
		s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
			if begins {
				writeHead(c, r)
				writeEvent(c, 0)
			}
			close(arrived)
			if path == "/order/1" { // runs to its end
				<-left
				return respond(c, r, 200, "ok")
			}
			return hang(c)
		})
		f, front := newTestFront(t, s)
		gone := make(chan struct{})
		front.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			context.AfterFunc(r.Context(), func() { close(gone) })
			f.ServeHTTP(w, r)
		})
		configure(f)
		ctx, disconnect := context.WithCancel(t.Context())
		go func() {
			<-arrived
			disconnect()
			<-gone
			close(left)
		}()
		if _, _, err := call(t, ctx, front, "POST", path, "x"); err == nil {
			t.Error("a caller that disconnected got a response")
		}
		front.Close()
		checkOutcome(t, f.Metrics.callers, outcome.Ending{Outcome: outcome.CallerGone, By: outcome.ByClose})
	}
}

// failingCaller is a caller whose connection fails when the response is written.
type failingCaller struct{ http.ResponseWriter }

func (failingCaller) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against a response that the caller's connection did not take and that counts as answered.
func TestOutcomeOfAConnectionThatFails(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/chat/") {
			writeEvents(c, r, 0, 1, true)
			return true
		}
		return respond(c, r, 200, "ok")
	})
	for _, path := range []string{"/read/1", "/chat/1", "/elsewhere/1"} {
		f, _ := newTestFront(t, s)
		configure(f)
		r := httptest.NewRequest("GET", path, http.NoBody)
		r.Host = testHost
		r.Header.Set("Id", "id-1")
		r.Header.Set("Key", testKey)
		f.ServeHTTP(failingCaller{httptest.NewRecorder()}, r)
		checkOutcome(t, f.Metrics.callers, outcome.Ending{Outcome: outcome.CallerGone, By: outcome.ByWrite})
	}
}

// Guards against a request that is in flight at the end of the process and never counted as ended.
func TestOutcomeAtTheEndOfTheProcess(t *testing.T) {
	arrived := make(chan struct{})
	s := startFakeServer(t, func(c net.Conn, _ *http.Request) bool {
		close(arrived)
		return hang(c)
	})
	f, front := newTestFront(t, s)
	configure(f)
	go func() {
		<-arrived
		f.Metrics.StopOutcomes()
		front.CloseClientConnections()
	}()
	if _, _, err := call(t, t.Context(), front, "GET", "/read/1", ""); err == nil {
		t.Error("got a response")
	}
	front.Close()
	checkOutcome(t, f.Metrics.callers, outcome.Ending{Outcome: outcome.Cut, By: outcome.ByShutdown})
}

// Guards against requests that count though they were not read whole.
func TestUnreadRequestHasNoOutcome(t *testing.T) {
	f, front := newTestFront(t)
	configure(f)
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(c, "POST /order/1 HTTP/1.1\r\nHost: %s\r\nId: id-1\r\nKey: %s\r\nContent-Length: 100\r\n\r\nhalf", testHost, testKey)
	_ = c.Close()
	front.Close()
	if got := f.Metrics.callers.Totals(); got.Read != 0 || got.InFlight != 0 || len(got.Ended) != 0 {
		t.Errorf("%+v", got)
	}
}

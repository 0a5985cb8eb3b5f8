package httproute

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
)

// Behaviour of the server beside the one that has given notice.
const (
	behavesServe int32 = iota
	behavesFail
	behavesBreakStreams
)

// noticeFleet is a front, and a peer that forwards, before two servers. The first gives notice in
// every answer; its entry in the store never changes.
type noticeFleet struct {
	t                *testing.T
	front            *Front
	callers          *httptest.Server
	peer             *httptest.Server
	noticing         *fakeServer
	other            *fakeServer
	behaviour        atomic.Int32
	refreshFromStore func() // applies the servers' entries, which have not changed, once more
}

func startNoticeFleet(t *testing.T, answer func(c net.Conn, r *http.Request) bool) *noticeFleet {
	t.Helper()
	f := &noticeFleet{t: t, noticing: startFakeServer(t, answer)}
	f.other = startFakeServer(t, f.answerOther)
	f.front, f.callers = newTestFront(t, f.noticing, f.other)
	configure(f.front)
	f.peer = httptest.NewServer(&Peer{Codec: testCodec{}, Local: f.front.Local, Routes: f.front.Routes, Stopping: f.front.Stopping})
	t.Cleanup(f.peer.Close)
	table := f.front.Local.Backends
	entries := table.InRegion("r", time.Now())
	f.refreshFromStore = func() {
		now := time.Now()
		for _, e := range entries {
			table.Put(e.Server, now)
		}
		f.front.Local.Pool("svc").Update(placement.Settings{Slots: 8}, table.InRegion("r", now))
	}
	return f
}

func (f *noticeFleet) answerOther(c net.Conn, r *http.Request) bool {
	switch f.behaviour.Load() {
	case behavesFail:
		return respond(c, r, http.StatusInternalServerError, "")
	case behavesBreakStreams:
		writeEvents(c, r, 0, 1, false)
		return false
	}
	return respond(c, r, http.StatusOK, "ok")
}

// giveNotice sends requests until the first server has given notice.
func (f *noticeFleet) giveNotice() {
	f.t.Helper()
	for range 50 {
		f.send(f.callers, "/read/1")
		if len(f.noticing.requests()) > 0 {
			return
		}
	}
	f.t.Fatal("no request reached the first server")
}

// send sends a request and returns the status, 0 if the response was cut off.
func (f *noticeFleet) send(to *httptest.Server, path string, header ...string) (status int, got http.Header) {
	f.t.Helper()
	resp, _, err := call(f.t, f.t.Context(), to, http.MethodPost, path, "x", header...)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, resp.Header
}

func (f *noticeFleet) forward() {
	info, err := json.Marshal(forwardInfo{Service: "svc", LeftMs: 5000, Repeatable: true})
	if err != nil {
		f.t.Fatal(err)
	}
	f.send(f.peer, "/read/1", headerForward, string(info))
}

// mustAvoid fails the test when a request reaches the first server by any path.
func (f *noticeFleet) mustAvoid() {
	f.t.Helper()
	const requests = 10
	paths := []struct {
		name      string
		behaviour int32
		send      func()
	}{
		{"first tries", behavesServe, func() { f.send(f.callers, "/read/1") }},
		{"orders", behavesServe, func() { f.send(f.callers, "/order/1") }},
		{"forwarded requests", behavesServe, f.forward},
		{"retries", behavesFail, func() { f.send(f.callers, "/read/1") }},
		{"resumed streams", behavesBreakStreams, func() { f.send(f.callers, "/draft/1") }},
	}
	for _, path := range paths {
		f.behaviour.Store(path.behaviour)
		before := len(f.noticing.requests())
		for range requests {
			f.refreshFromStore()
			path.send()
		}
		if n := len(f.noticing.requests()) - before; n != 0 {
			f.t.Errorf("%s: %d of %d reached the server", path.name, n, requests)
		}
	}
}

// Guards against requests to a server that has said in an answer that it leaves, while its entry in
// the store still says that it is ready.
func TestServerThatSaysItLeavesGetsNoRequests(t *testing.T) {
	f := startNoticeFleet(t, func(c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\nId: %s\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return err == nil
	})
	f.giveNotice()
	f.mustAvoid()
}

// Guards against requests to a server during the rest that it asked for, and against a Retry-After
// for callers that ends before the rest when no other server is left.
func TestServerGetsNoRequestsWhileItRests(t *testing.T) {
	const rest = 10 * time.Second
	f := startNoticeFleet(t, func(c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nRest-Ms: %d\r\nContent-Length: 0\r\n\r\n",
			r.Header.Get("Id"), rest.Milliseconds())
		return err == nil
	})
	f.giveNotice()
	f.mustAvoid()

	only, callers := newTestFront(t, f.noticing)
	configure(only)
	for i := range 3 {
		status, header := f.send(callers, "/read/1")
		wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
		if status != http.StatusServiceUnavailable || err != nil || wait < (rest-time.Second).Seconds() {
			t.Errorf("request %d to the only server: status %d, Retry-After %q", i, status, header.Get("Retry-After"))
		}
	}
}

// Guards against a caller who waits for the end of a server's rest although another region would
// take the request at once.
func TestCallerReturnsAtOnceWhenAnotherRegionIsFree(t *testing.T) {
	rests := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nRest-Ms: 10000\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return err == nil
	})
	front, callers := newTestFront(t, rests)
	configure(front)
	front.Remotes = fakeRemotes{{Region: "free", Servers: 1, FreeSlots: 8}}
	resp, _, err := call(t, t.Context(), callers, http.MethodPost, "/order/1", "x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%v, %v", resp, err)
	}
	if wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || wait > 1 {
		t.Errorf("Retry-After %q", resp.Header.Get("Retry-After"))
	}
}

// Guards against a fetch from a server of another region that has said that it leaves, and against
// one from a server that is not known.
func TestForwardedPromptIsNotFetchedFromALeavingServer(t *testing.T) {
	f, _ := newTestFront(t)
	table := f.Local.Backends
	now := time.Now()
	for _, id := range []string{"stays", "leaves"} {
		table.Put(backends.Server{ID: id, Service: "svc", Address: id + ":1", Domain: "other", Region: "other"}, now)
	}
	table.RecordRemoteLeaving("leaves", now)
	p := &Peer{Codec: testCodec{}, Local: f.Local}
	for address, want := range map[string]string{"stays:1": "stays:1", "leaves:1": "", "unknown:1": ""} {
		info := &forwardInfo{HolderAddress: address, HolderTokens: 5000}
		o := p.outbound(httptest.NewRequest(http.MethodPost, "/draft/1", nil), info, &Call{}, nil, now)
		if got := o.work.RemoteSource.Address; got != want {
			t.Errorf("holder %s: fetched from %q, want %q", address, got, want)
		}
	}
}

package httproute

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
)

// Guards against answers that have neither a length nor chunks and end with their connection: a whole one that is
// refused, and one that was broken off and looks whole, here or by way of another region.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Type: text/event-stream\r\n\r\n"
	const untyped = "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\n"
	const first = "id: 1\ndata: a\n\n"
	for _, tc := range []struct {
		name, path, answer string
		whole              bool
	}{
		{"whole stream", "/chat/1", head + first + "id: 2\ndata: b\n\n", true},
		{"stream that ends within an event", "/chat/1", head + first + "id: 2\ndata:", false},
		{"stream without an event", "/chat/1", head, false},
		{"stream without an event and a type", "/chat/1", untyped, false},
		{"stream that ends within its first event, without a type", "/chat/1", untyped + "id: 1\ndata:", false},
		{"whole stream without a type", "/chat/1", untyped + first, true},
		{"answer that is no stream", "/read/1", "HTTP/1.1 200 OK\r\nId: id-1\r\n\r\nok", true},
	} {
		s := startFakeServer(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, tc.answer)
			return false
		})
		f, front := newTestFront(t, s)
		configure(f)
		for name, callers := range map[string]*httptest.Server{"local": front, "forwarded": forwardingFront(t, f)} {
			resp, body, err := call(t, t.Context(), callers, "GET", tc.path, "")
			served := err == nil && resp.StatusCode == http.StatusOK
			if served != tc.whole || served && !strings.HasSuffix(tc.answer, body) {
				t.Errorf("%s, %s: served %v, %q, %v", tc.name, name, served, body, err)
			}
		}
	}
}

// Guards against an error that a server answers a stream with and that is refused because it holds no event.
func TestErrorOfAStreamThatEndsWithItsConnectionIsPassedOn(t *testing.T) {
	const text = "no such chat"
	s := startFakeServer(t, func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nId: id-1\r\n\r\n"+text)
		return false
	})
	f, front := newTestFront(t, s)
	configure(f)
	for name, callers := range map[string]*httptest.Server{"local": front, "forwarded": forwardingFront(t, f)} {
		resp, body, err := call(t, t.Context(), callers, "GET", "/chat/1", "")
		if err != nil || resp.StatusCode != http.StatusNotFound || body != text {
			t.Errorf("%s: %v, %q, %v", name, resp, body, err)
		}
	}
}

// forwardingFront returns a front of another region without servers, which forwards to a front's region.
func forwardingFront(t *testing.T, to *Front) *httptest.Server {
	t.Helper()
	_, front, _ := forwardingFronts(t, to)
	return front
}

// forwardingFronts returns the same, also with its state and the peer that it forwards to.
func forwardingFronts(t *testing.T, to *Front) (f *Front, front, peer *httptest.Server) {
	t.Helper()
	peer = httptest.NewServer(&Peer{Codec: testCodec{}, Local: to.Local, Routes: to.Routes, Stopping: to.Stopping})
	t.Cleanup(peer.Close)
	f, front = newTestFront(t)
	f.Region, f.Routes = "elsewhere", to.Routes
	f.Remotes = fakeRemotes{{Region: "r", Instance: "peer", Address: peer.Listener.Addr().String(), Servers: 1, FreeSlots: 8}}
	return f, front, peer
}

// startResettingServer starts a server that begins a response without a length, and resets the connection while the request is
// still being sent.
func startResettingServer(t *testing.T, response string) (s *fakeServer, arrivals *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	arrivals = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if n, _ := c.Read(make([]byte, 1<<10)); n > 0 {
					arrivals.Add(1)
				}
				_, _ = io.WriteString(c, response)
				time.Sleep(2 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return &fakeServer{address: l.Addr().String()}, arrivals
}

// Guards against a part of an answer or of a stream that a caller gets as the whole one because the server reset the connection
// during the upload, here or by way of another region.
func TestResetDuringAnUploadIsNotTheEndOfAnAnswer(t *testing.T) {
	const upload, runs = 8 << 20, 6 // bytes; runs because the reader of the response may also meet the reset itself
	const head, first, second = "HTTP/1.1 200 OK\r\nId: id-1\r\n", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	const plain, stream = head + "\r\npart", head + "Content-Type: text/event-stream\r\n\r\n" + first
	for _, tc := range []struct {
		path, begins, whole string // whole is "" if no other server may be asked
	}{
		{"/order/1", plain, ""},
		{"/read/1", plain, "whole"},
		{"/chat/1", stream, ""},
		{"/draft/1", stream, first + second},
	} {
		resetting, arrivals := startResettingServer(t, tc.begins)
		sound := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
			rest := strings.TrimPrefix(tc.whole, map[string]string{"1": first}[r.Header.Get("Last-Event-Id")])
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest)
			return true
		})
		servers := []*fakeServer{resetting}
		if tc.whole != "" {
			servers = append(servers, sound)
		}
		f, front := newTestFront(t, servers...)
		configure(f)
		allowBodies(f, upload)
		for name, callers := range map[string]*httptest.Server{"local": front, "forwarded": forwardingFront(t, f)} {
			for range runs {
				f.Local.Pool("svc").Update(placement.Settings{Slots: 8}, f.Local.Backends.InRegion("r", time.Now()))
				resp, body, err := call(t, t.Context(), callers, "POST", tc.path, strings.Repeat("b", upload))
				if served := err == nil && resp.StatusCode == http.StatusOK; served && body != tc.whole {
					t.Errorf("%s, %s: served %q", tc.path, name, body)
				}
			}
		}
		if n := int(arrivals.Load()); n == 0 || tc.whole == "" && n != 2*runs {
			t.Errorf("%s: %d requests reached the server that resets connections", tc.path, n)
		}
	}
}

// allowBodies puts a configuration in force with bodies of up to a size, in bytes.
func allowBodies(f *Front, size int) {
	config := *f.Routes.Current()
	config.Version++
	config.Limits.BodyBytes = int64(size)
	f.Routes.Offer(&config)
}

// Guards against a response of another instance that ends with its connection and is taken for whole: instances send a length
// or chunks, so it was broken off on the way.
func TestUnframedResponseOfAPeerIsNotWhole(t *testing.T) {
	for path, begins := range map[string]string{
		"/order/1": "\r\npart",
		"/read/1":  "\r\npart",
		"/chat/1":  "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
		"/draft/1": "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
	} {
		peer := startFakeServer(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+headerRequest+": id-1\r\n"+begins)
			return false
		})
		p := newPeerPath(t, startFakeServer(t, respondAtOnce))
		p.region.addresses = append(p.region.addresses, peer.address)
		resp, body, err := call(t, t.Context(), p.callers, "POST", path, "")
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: %v, %q, %v", path, resp, body, err)
		}
		if len(peer.requests()) == 0 {
			t.Errorf("%s: the peer got no request", path)
		}
	}
}

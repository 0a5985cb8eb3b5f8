package httproute

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against answers that have neither a length nor chunks and end with their connection: a whole one that is
// refused, and one that was broken off and looks whole, here or by way of another region.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Type: text/event-stream\r\n\r\n"
	const first = "id: 1\ndata: a\n\n"
	for _, tc := range []struct {
		name, path, answer string
		whole              bool
	}{
		{"whole stream", "/chat/1", head + first + "id: 2\ndata: b\n\n", true},
		{"stream that ends within an event", "/chat/1", head + first + "id: 2\ndata:", false},
		{"stream without an event", "/chat/1", head, false},
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

package httproute

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// invalidHeads are responses to request id-1 whose head is invalid.
var invalidHeads = map[string]string{
	"status 000":             "HTTP/1.1 000 Trouble\r\nId: id-1\r\n\r\nHTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 5\r\n\r\ninner",
	"status 600":             "HTTP/1.1 600 Trouble\r\nId: id-1\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":        "HTTP/1.1 200 OK\r\nId: id-1\r\nA B: x\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a name": "HTTP/1.1 200 OK\r\nId: id-1\r\nA\x01B: x\r\nContent-Length: 2\r\n\r\nok",
	"blank before the colon": "HTTP/1.1 200 OK\r\nId: id-1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
}

// writeRaw returns a script that responds with the same bytes and closes the connection.
func writeRaw(raw string) func(c net.Conn, r *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, raw)
		return false
	}
}

// Guards against a response with an invalid head that reaches the caller, here or by way of another region, or an order that is
// sent again after one.
func TestInvalidHeadOfAServerIsNoAnswer(t *testing.T) {
	for name, raw := range invalidHeads {
		for _, path := range []string{"/order/1", "/read/1", "/chat/1"} {
			s := startFakeServer(t, writeRaw(raw))
			f, front := newTestFront(t, s)
			configure(f)
			var log lockedBuffer
			f.Local.Log = slog.New(slog.NewJSONHandler(&log, nil))
			sent := 0
			for where, callers := range map[string]*httptest.Server{"local": front, "forwarded": forwardingFront(t, f)} {
				resp, body, err := call(t, t.Context(), callers, "POST", path, "b")
				if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get("A B") != "" || strings.Contains(body, "ok") {
					t.Errorf("%s, %s, %s: %v, %q, %v", name, path, where, resp, body, err)
				}
				if n := len(s.requests()) - sent; path == "/order/1" && n != 1 {
					t.Errorf("%s, %s: the order was sent %d times", name, where, n)
				}
				sent = len(s.requests())
			}
			if n := malformedCount(t, f, senderServer); n != sent {
				t.Errorf("%s, %s: %d of %d responses counted as malformed", name, path, n, sent)
			}
			if line := log.String(); !strings.Contains(line, "malformed_response") || !strings.Contains(line, "invalid head") {
				t.Errorf("%s, %s: log %q", name, path, line)
			}
		}
	}
}

// Guards against requests that fail because of a server that sends invalid heads although another server is sound.
func TestSoundServerAnswersBesideOneWithInvalidHeads(t *testing.T) {
	for name, raw := range invalidHeads {
		invalid, sound := startFakeServer(t, writeRaw(raw)), startFakeServer(t, answer)
		f, front := newTestFront(t, invalid, sound)
		configure(f)
		for range 20 {
			if resp, body, err := call(t, t.Context(), front, "GET", "/read/1", ""); err != nil || resp.StatusCode != http.StatusOK || body != "ok" {
				t.Errorf("%s: %v, %q, %v", name, resp, body, err)
			}
		}
		if len(invalid.requests()) == 0 {
			t.Errorf("%s: the server with invalid heads got no request", name)
		}
	}
}

// Guards against a peer's response with an invalid head that reaches the caller.
func TestInvalidHeadOfAPeerIsNoAnswer(t *testing.T) {
	for name, raw := range invalidHeads {
		raw = strings.ReplaceAll(raw, "Id: id-1\r\n", headerRequest+": id-1\r\nId: id-1\r\n")
		peer := startFakeServer(t, writeRaw(raw))
		p := newPeerPath(t, startFakeServer(t, respondAtOnce))
		p.region.addresses = append(p.region.addresses, peer.address)
		resp, body, err := call(t, t.Context(), p.callers, "POST", "/order/1", "b")
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("%s: %v, %q, %v", name, resp, body, err)
		}
		if n := malformedCount(t, p.front, senderPeer); n != 1 {
			t.Errorf("%s: %d malformed responses counted", name, n)
		}
	}
}

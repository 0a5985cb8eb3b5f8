package httproute

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/routes"
)

// silence is how long a sound server sends nothing in these tests: longer than any idle timeout.
const silence = minGapTimeout + 400*time.Millisecond

// startSilentPair starts a front before two servers, of which the one that gets the first request plays first and the
// other one second.
func startSilentPair(t *testing.T, first, second func(c net.Conn, r *http.Request) bool) (send func(path string) (status int, body string, err error)) {
	t.Helper()
	played := make(chan struct{}, 1)
	script := func(c net.Conn, r *http.Request) bool {
		select {
		case played <- struct{}{}:
			return first(c, r)
		default:
			return second(c, r)
		}
	}
	f, front := newTestFront(t, startFakeServer(t, script), startFakeServer(t, script))
	configure(f)
	return func(path string) (int, string, error) {
		resp, body, err := call(t, t.Context(), front, "POST", path, "x")
		if err != nil {
			return 0, body, err
		}
		return resp.StatusCode, body, nil
	}
}

// pausingStream writes a stream of four events with a silence after the second.
func pausingStream(c net.Conn, r *http.Request) bool {
	writeHead(c, r)
	writeEvent(c, 0)
	writeEvent(c, 1)
	time.Sleep(silence)
	writeEvent(c, 2)
	writeEvent(c, 3)
	writeEnd(c)
	return true
}

// Ways in which a second server does not go on with a request.
var refusals = map[string]func(c net.Conn, r *http.Request) bool{
	"turned away": func(c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		return err == nil
	},
	"failed": func(c net.Conn, r *http.Request) bool { return respond(c, r, http.StatusInternalServerError, "own") },
	"closed": func(net.Conn, *http.Request) bool { return false },
	"another's response": func(c net.Conn, _ *http.Request) bool {
		return respond(c, &http.Request{Header: http.Header{}}, http.StatusOK, "ok")
	},
	"silent for too long": func(net.Conn, *http.Request) bool { time.Sleep(2 * silence); return false },
}

// Guards against a sound server that is given up because it paused, when the server that is tried instead does not go on.
func TestSilentServerIsKeptUntilAnotherResponds(t *testing.T) {
	slow := func(c net.Conn, r *http.Request) bool {
		time.Sleep(silence)
		return respond(c, r, http.StatusOK, "ok")
	}
	for name, second := range refusals {
		t.Run("stream/"+name, func(t *testing.T) {
			t.Parallel()
			status, body, err := startSilentPair(t, pausingStream, second)("/draft/1")
			if err != nil || status != http.StatusOK || strings.Count(body, "data:") != 4 {
				t.Errorf("status %d, %d events, %v", status, strings.Count(body, "data:"), err)
			}
		})
		t.Run("response/"+name, func(t *testing.T) {
			t.Parallel()
			if status, body, err := startSilentPair(t, slow, second)("/read/1"); err != nil || status != http.StatusOK || body != "ok" {
				t.Errorf("status %d, %q, %v", status, body, err)
			}
		})
	}
}

// Guards against a response whose beginning the caller has, and that is cut because its sound server paused although no
// other server can go on with it.
func TestLargeResponseOfASilentServerIsKept(t *testing.T) {
	const size = maxBuffered + 4*relayBuffer
	pausing := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Id"), size)
		_, _ = c.Write(make([]byte, size-relayBuffer))
		time.Sleep(silence)
		_, err := c.Write(make([]byte, relayBuffer))
		return err == nil
	}
	other := func(c net.Conn, r *http.Request) bool { return respond(c, r, http.StatusOK, "ok") }
	if status, body, err := startSilentPair(t, pausing, other)("/read/1"); err != nil || status != http.StatusOK || len(body) != size {
		t.Errorf("status %d, %d bytes, %v", status, len(body), err)
	}
}

// Guards against work that stays at a server that is gone without closing its connections.
func TestStreamOfADeadServerIsTakenOver(t *testing.T) {
	dead := func(c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		writeEvent(c, 0)
		_, _ = c.Read(make([]byte, 1)) // until the front closes the connection
		return false
	}
	goesOn := func(c net.Conn, r *http.Request) bool {
		writeEvents(c, r, 1, 3, true)
		return true
	}
	began := time.Now()
	status, body, err := startSilentPair(t, dead, goesOn)("/draft/1")
	if err != nil || status != http.StatusOK || strings.Count(body, "data:") != 4 {
		t.Errorf("status %d, %q, %v", status, body, err)
	}
	if took, limit := time.Since(began), route("draft", routes.KindStreaming, 2, true).Timeout; took >= limit {
		t.Errorf("took %s, the route's timeout is %s", took, limit)
	}
}

// armedRemotes panics once it is armed.
type armedRemotes struct {
	noRemotes
	armed *atomic.Bool
}

func (a armedRemotes) InstanceCounts() (fleet, region int) {
	if a.armed.Load() {
		panic("armed")
	}
	return a.noRemotes.InstanceCounts()
}

// Guards against a process that ends with all its requests because a try at another server panicked.
func TestPanicOfATryKeepsTheSilentServer(t *testing.T) {
	var armed atomic.Bool
	script := func(c net.Conn, r *http.Request) bool {
		armed.Store(true)
		return pausingStream(c, r)
	}
	f, front := newTestFront(t, startFakeServer(t, script), startFakeServer(t, script))
	configure(f)
	f.Remotes = armedRemotes{armed: &armed}
	if _, body, err := call(t, t.Context(), front, "POST", "/draft/1", "x"); err != nil || strings.Count(body, "data:") != 4 {
		t.Errorf("%q, %v", body, err)
	}
}

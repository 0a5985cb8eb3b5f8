package httproute

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"github.com/basilroute/basilroute/coordination/placement"
)

// lockedBuffer is a log that is read while requests may still write to it.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// endlessly returns a script that writes a beginning and then the same bytes until its connection is closed.
func endlessly(begin func(c net.Conn, r *http.Request), again string) func(c net.Conn, r *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		begin(c, r)
		block := []byte(strings.Repeat(again, 1+(16<<10)/len(again)))
		for {
			if _, err := c.Write(block); err != nil {
				return false
			}
		}
	}
}

// endlessHead begins a response whose head has no end.
func endlessHead(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nA: ") }

// unframed begins a stream that ends with its connection.
func unframed(c net.Conn, r *http.Request) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Type: text/event-stream\r\n\r\n")
}

func malformedCount(t *testing.T, f *Front, sender string) int {
	t.Helper()
	var out dto.Metric
	if err := f.Metrics.malformed.WithLabelValues("svc", sender).Write(&out); err != nil {
		t.Fatal(err)
	}
	return int(out.GetCounter().GetValue())
}

// Guards against bytes without an end from a server that keep a caller waiting until its deadline, or end in anything but the
// failure of a malformed response, and against an operator who can't see which server sent them.
func TestBytesWithoutEndFromAServer(t *testing.T) {
	const timeout = 5 * time.Second
	for _, tc := range []struct {
		name, path, bound string
		script            func(c net.Conn, r *http.Request) bool
	}{
		{"head", "/order/1", "head of over 32768 bytes", endlessly(endlessHead, "b")},
		{"event", "/chat/1", "event of over 262144 bytes", endlessly(unframed, "data: b\n")},
		{"event in chunks", "/chat/1", "event of over 262144 bytes", endlessly(writeHead, "5\r\nda:ta\r\n")},
		{"chunk extension", "/chat/1", "line too long", endlessly(func(c net.Conn, r *http.Request) {
			writeHead(c, r)
			_, _ = io.WriteString(c, "5;")
		}, "b")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startFakeServer(t, tc.script)
			f, front := newTestFront(t, s)
			configure(f)
			var log lockedBuffer
			f.Local.Log = slog.New(slog.NewJSONHandler(&log, nil))
			began := time.Now()
			resp, _, err := call(t, t.Context(), front, "POST", tc.path, "b")
			if err != nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("%v, %v", resp, err)
			}
			if took := time.Since(began); took > timeout/2 {
				t.Errorf("ended after %v", took)
			}
			if n := malformedCount(t, f, senderServer); n != 1 {
				t.Errorf("%d malformed responses counted", n)
			}
			if line := log.String(); !strings.Contains(line, s.address) || !strings.Contains(line, tc.bound) {
				t.Errorf("log %q, want the address %s and %q", line, s.address, tc.bound)
			}
		})
	}
}

// Guards against requests that fail because of a server whose responses have no end although another server is sound.
func TestSoundServerAnswersBesideOneWithoutEnd(t *testing.T) {
	for name, tc := range map[string]struct {
		path, want string
		script     func(c net.Conn, r *http.Request) bool
	}{
		"head":  {"/read/1", "ok", endlessly(endlessHead, "b")},
		"event": {"/draft/1", "id: 1\ndata: token1\n\n", endlessly(unframed, "data: b\n")},
	} {
		t.Run(name, func(t *testing.T) {
			endless := startFakeServer(t, tc.script)
			sound := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
				if r.URL.Path == "/read/1" {
					return respond(c, r, http.StatusOK, "ok")
				}
				writeEvents(c, r, 1, 1, true)
				return true
			})
			f, front := newTestFront(t, endless, sound)
			configure(f)
			for range 20 {
				if resp, body, err := call(t, t.Context(), front, "POST", tc.path, ""); err != nil || resp.StatusCode != http.StatusOK || body != tc.want {
					t.Errorf("%v, %q, %v", resp, body, err)
				}
			}
			if len(endless.requests()) == 0 {
				t.Error("the server without end got no request")
			}
		})
	}
}

// Guards against a peer whose response has no end.
func TestBytesWithoutEndFromAPeer(t *testing.T) {
	const timeout = 5 * time.Second
	peer := startFakeServer(t, endlessly(endlessHead, "b"))
	p := newPeerPath(t, startFakeServer(t, respondAtOnce))
	p.region.addresses = append(p.region.addresses, peer.address)
	began := time.Now()
	resp, _, err := call(t, t.Context(), p.callers, "POST", "/order/1", "b")
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%v, %v", resp, err)
	}
	if took := time.Since(began); took > timeout/2 {
		t.Errorf("ended after %v", took)
	}
	if n := malformedCount(t, p.front, senderPeer); n != 1 {
		t.Errorf("%d malformed responses counted", n)
	}
}

// Guards against events without an end that together hold more memory than the instance has for responses.
func TestEventsWithoutEndStayWithinTheBudget(t *testing.T) {
	const streams, budget = 30, 1 << 20
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		unframed(c, r)
		_, _ = io.WriteString(c, strings.Repeat("d", maxEvent-1))
		<-t.Context().Done()
		return false
	})
	f, front := newTestFront(t, s)
	configure(f)
	f.Memory = NewBudget(budget)
	f.Local.Pool("svc").Update(placement.Settings{Slots: streams}, f.Local.Backends.InRegion("r", time.Now()))
	var calls sync.WaitGroup
	var held, ended atomic.Int32
	for range streams {
		calls.Go(func() {
			resp, _, err := call(t, t.Context(), front, "POST", "/chat/1", "", "Wait-Ms", "1500")
			switch {
			case err != nil:
				t.Error(err)
			case resp.StatusCode == http.StatusGatewayTimeout:
				held.Add(1)
			case resp.StatusCode == http.StatusBadGateway:
				ended.Add(1)
			}
		})
	}
	calls.Wait()
	if held.Load() > budget/(maxEvent-1-freeEventBytes) || ended.Load() == 0 {
		t.Errorf("of %d streams %d were held until their deadline, and %d ended for lack of memory", streams, held.Load(), ended.Load())
	}
	if used := f.Memory.Used(); used != 0 {
		t.Errorf("%d bytes used afterwards", used)
	}
}

// Guards against a bound that cuts off a stream whose events are large but whole.
func TestLargeEventIsPassedOn(t *testing.T) {
	const (
		events    = 3
		eventSize = 128 << 10 // bytes, of a sound server that pads its events
	)
	event := ": " + strings.Repeat("p", eventSize) + "\ndata: d\n\n"
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		unframed(c, r)
		_, _ = io.WriteString(c, strings.Repeat(event, events))
		return false
	})
	f, front := newTestFront(t, s)
	configure(f)
	f.Memory = NewBudget(2 * eventSize * events)
	if resp, body, err := call(t, t.Context(), front, "POST", "/chat/1", ""); err != nil || resp.StatusCode != http.StatusOK || body != strings.Repeat(event, events) {
		t.Errorf("%v, %d bytes, %v", resp, len(body), err)
	}
	if used := f.Memory.Used(); used != 0 {
		t.Errorf("%d bytes used afterwards", used)
	}
}

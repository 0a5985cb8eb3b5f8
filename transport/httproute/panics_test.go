package httproute

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/basilroute/basilroute/coordination/streambuild"
)

// panickingCodec fails when a request is about to be sent to a server.
type panickingCodec struct{ testCodec }

func (panickingCodec) Outbound(http.Header, Outbound) http.Header { panic("no such header") }

// Guards against a panic that ends a request that was read whole with a closed connection, and that no
// log line and no count tells.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, s)
	configure(f)
	var logged bytes.Buffer
	f.Log = slog.New(slog.NewTextHandler(&logged, &slog.HandlerOptions{Level: slog.LevelInfo}))
	f.Local.Log = f.Log
	_, forwarding, peer := forwardingFronts(t, f)
	f.Local.Codec = panickingCodec{}
	for _, callers := range []*httptest.Server{front, forwarding} {
		resp, _, err := call(t, t.Context(), callers, "POST", "/order/1", "x")
		if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Retry-After") != "" {
			t.Errorf("%v, %v", resp, err)
		}
		callers.Close()
	}
	peer.Close()
	checkOutcome(t, f.Metrics.callers, cutByPanic)
	checkOutcome(t, f.Metrics.peers, cutByPanic)
	if n := strings.Count(logged.String(), "level=ERROR msg=handler_panicked request=id-1 error=\"no such header\""); n != 2 {
		t.Errorf("%d errors logged, want 2:\n%s", n, logged.String())
	}
	if n := strings.Count(logged.String(), "outcome=cut by=panic"); n != 1 {
		t.Errorf("%d requests logged as cut by a panic, want 1", n)
	}
}

// panickingBuilds fail at the first events of a stream, or at its end.
type panickingBuilds struct {
	anyBuild
	atEnd bool
}

func (p panickingBuilds) Begin(string, streambuild.Origin) {
	if !p.atEnd {
		panic("no room for a record")
	}
}

func (p panickingBuilds) End(string) {
	if p.atEnd {
		panic("no such record")
	}
}

// Guards against a response that looks complete, or comes from a server, though the handler failed.
func TestPanicWithinAStream(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		writeEvents(c, r, 0, 1, true)
		return true
	})
	for _, atEnd := range []bool{false, true} {
		f, front := newTestFront(t, s)
		configure(f)
		f.Builds = panickingBuilds{atEnd: atEnd}
		resp, _, err := call(t, t.Context(), front, "POST", "/draft/1", "x")
		switch {
		case atEnd && err == nil:
			t.Errorf("looks complete: %v", resp)
		case !atEnd && (err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Id") != ""):
			t.Errorf("%v, %v", resp, err)
		}
		front.Close()
		checkOutcome(t, f.Metrics.callers, cutByPanic)
	}
}

// failingBuilds fail when a caller takes a stream up.
type failingBuilds struct{ anyBuild }

func (failingBuilds) Find(context.Context, string, string) (streambuild.Origin, error) {
	panic("no records")
}

// Guards against an instance that has no memory left for bodies because its handler keeps panicking.
func TestPanicReturnsTheMemoryOfTheBody(t *testing.T) {
	f, front := newTestFront(t)
	configure(f)
	f.Builds, f.Memory = failingBuilds{}, NewBudget(500)
	resp, _, err := call(t, t.Context(), front, "POST", "/draft/1", strings.Repeat("b", 400), "Last-Event-Id", "1")
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("%v, %v", resp, err)
	}
	front.Close()
	if used := f.Memory.Used(); used != 0 {
		t.Errorf("%d bytes are still taken", used)
	}
}

package inprocess

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/standin/plain"
	"github.com/basilroute/basilroute/standin/platform"
)

// openForwarded opens a stream on an instance whose domain has no backend servers. It
// returns the stream, its first event and the id of the peer that forwards it.
func (f *testFleet) openForwarded(tokens int) (*bufio.Reader, string, string) {
	f.t.Helper()
	_, lines, first := f.openStream("fraser-a-1-entry-1", defaultPrompt, tokens)
	for _, id := range []string{"fraser-a-2-entry-1", "fraser-a-2-entry-2"} {
		if f.Instances[id].Dump().(instance.Dump).Forwarded > 0 {
			return lines, first, id
		}
	}
	f.t.Fatal("no peer forwards the stream")
	return nil, "", ""
}

func (f *testFleet) checkComplete(what, events string, tokens int) {
	f.t.Helper()
	if got := tokenText(events); got != completeText(tokens) || !strings.HasSuffix(events, "data: [DONE]\n\n") {
		f.t.Errorf("%s: incomplete: %d bytes of %d, ends with %q", what, len(got), len(completeText(tokens)), events[max(0, len(events)-100):])
	}
}

// An instance shuts down gracefully while it serves a stream of its own caller, a
// stream that a peer sent to it, and a purchase order. All of them complete. New
// requests are refused as not run with the addresses of other entries and
// "Connection: close"; the peers keep serving, and Stop returns no error.
func TestPlannedStopCutsNothingInFlight(t *testing.T) {
	checkPlannedStop(t, startFleet(t))
}

// The same holds while the store is unreachable: a graceful shutdown waits for no
// store call.
func TestPlannedStopWithoutTheStore(t *testing.T) {
	f := startFleet(t)
	f.Platform.SetFaults(platform.Faults{Outage: true})
	checkPlannedStop(t, f)
}

func checkPlannedStop(t *testing.T, f *testFleet) {
	const tokens = 1200
	forwarded, first, id := f.openForwarded(tokens)
	_, own, ownFirst := f.openStream(id, defaultPrompt, tokens)
	f.plain().SetFaults(plain.Faults{Delay: time.Second})
	received := f.plain().Received()
	order := make(chan reply)
	go func() { order <- f.buy(id, "resin") }()
	f.await("the order", func() bool { return f.plain().Received() > received })
	stopped := make(chan error)
	go func() { stopped <- f.Instances[id].Stop(context.Background()) }()
	var refused reply
	f.await("a refusal", func() bool {
		refused = f.send(id, "/v1/completions", prompt(1, false))
		return refused.status != http.StatusOK
	})
	if refused.Code != "leaving" || refused.Run != "not_run" || len(refused.Entries) != 3 || !refused.connectionClose {
		t.Errorf("refused, closes %t: %s", refused.connectionClose, refused.body)
	}
	f.plain().SetFaults(plain.Faults{})
	for n := range 10 {
		if got := f.send("fraser-a-1-entry-2", "/v1/completions", prompt(1, false)); got.status != http.StatusOK {
			t.Errorf("request %d beside the leaving instance: %d %s", n, got.status, got.body)
		}
	}
	for _, stream := range []struct {
		what, first string
		lines       *bufio.Reader
	}{{"own", ownFirst, own}, {"forwarded", first, forwarded}} {
		rest, err := io.ReadAll(stream.lines)
		if err != nil {
			t.Errorf("%s: %v", stream.what, err)
		}
		f.checkComplete(stream.what, stream.first+string(rest), tokens)
	}
	if got := <-order; got.status != http.StatusOK || f.runs("resin") != 1 {
		t.Errorf("the order: %d %s, %d runs", got.status, got.body, f.runs("resin"))
	}
	if err := <-stopped; err != nil {
		t.Errorf("Stop: %v", err)
	}
	delete(f.Instances, id)
}

// A second signal, or stop.limit, aborts the requests that are still in flight. Their
// callers get an explicit event that the response is incomplete and why, not a closed
// connection, and Stop returns an error.
func TestCutStopTellsCallers(t *testing.T) {
	f := startFleet(t)
	const id = "fraser-a-2-entry-1"
	_, lines, _ := f.openStream(id, defaultPrompt, 4000)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error)
	go func() { stopped <- f.Instances[id].Stop(ctx) }()
	f.await("the stop", func() bool { return f.send(id, "/v1/completions", prompt(1, false)).Code == "leaving" })
	cancel()
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatal(err)
	}
	if events := string(rest); !strings.Contains(events, "event: incomplete") || !strings.Contains(events, `"code":"leaving"`) {
		t.Errorf("ends with %q", events[max(0, len(events)-200):])
	}
	if err := <-stopped; err == nil {
		t.Error("Stop did not report that it cut a request")
	}
	delete(f.Instances, id)
}

// A peer that forwards a stream shuts down without waiting. The caller, on another
// instance, still gets the complete response: the generation continues, and the stream
// is resumed through the other peer.
func TestCutPeerHandsItsStreamsOn(t *testing.T) {
	f := startFleet(t)
	const tokens = 1200
	lines, first, id := f.openForwarded(tokens)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.Instances[id].Stop(ctx); err == nil {
		t.Error("Stop did not report that it cut a request")
	}
	delete(f.Instances, id)
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatal(err)
	}
	f.checkComplete("forwarded", first+string(rest), tokens)
	if started := f.engine().Stats().Started; started != 1 {
		t.Errorf("%d generations", started)
	}
}

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

// openForwarded opens streams on an instance without backend servers and returns
// them with the peer that forwards them.
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

func (f *testFleet) checkWhole(what, events string, tokens int) {
	f.t.Helper()
	if got := text(events); got != wholeText(tokens) || !strings.HasSuffix(events, "data: [DONE]\n\n") {
		f.t.Errorf("%s: not whole: %d bytes of %d, ends with %q", what, len(got), len(wholeText(tokens)), events[max(0, len(events)-100):])
	}
}

// An instance is stopped while it serves a stream of its own, one that a peer
// forwards through it, and a purchase order. All of them end whole. New callers
// are told "not run" and where else to go, on a connection that says it closes;
// the peers serve on without it, and Stop reports no cut.
func TestPlannedStopCutsNothingInFlight(t *testing.T) {
	checkPlannedStop(t, startFleet(t))
}

// The same holds while the store is down: the stop waits for no call of it.
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
	if refused.Code != "leaving" || refused.Run != "not_run" || len(refused.Entries) != 3 || !refused.closes {
		t.Errorf("refused, closes %t: %s", refused.closes, refused.body)
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
		f.checkWhole(stream.what, stream.first+string(rest), tokens)
	}
	if got := <-order; got.status != http.StatusOK || f.runs("resin") != 1 {
		t.Errorf("the order: %d %s, %d runs", got.status, got.body, f.runs("resin"))
	}
	if err := <-stopped; err != nil {
		t.Errorf("Stop: %v", err)
	}
	delete(f.Instances, id)
}

// The operator's patience ends: a second signal, or stop.limit, cuts what is
// still in flight. The callers are told by an explicit event that the answer is
// incomplete and why, not by a broken connection, and Stop reports it.
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

// A peer that forwards a stream is made to stop without waiting. The caller, on
// another instance, notices nothing: the generation goes on, and the rest comes
// through the other peer.
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
	f.checkWhole("forwarded", first+string(rest), tokens)
	if started := f.engine().Stats().Started; started != 1 {
		t.Errorf("%d generations", started)
	}
}

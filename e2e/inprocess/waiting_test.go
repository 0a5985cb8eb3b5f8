package inprocess

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/basilroute/basilroute/instance"
)

const oneSlot = "kind: service\nname: basil-lm\ntype: model\nclasses: {interactive: {max_wait: 30s}}\nlimits: {concurrency: 1, queue: 10}\n"

// occupy opens a stream on the only slot of an instance and sends a request that waits behind
// it there. It returns the stream and where the answer of the other will arrive.
func (f *testFleet) occupy(id string, tokens int) (*bufio.Reader, string, <-chan reply) {
	f.t.Helper()
	if err := f.Apply(f.t.Context(), oneSlot); err != nil {
		f.t.Fatal(err)
	}
	f.await("the limit", func() bool { return f.slots(id) == 1 })
	_, lines, first := f.openStream(id, defaultPrompt, tokens)
	waiting := make(chan reply, 1)
	go func() { waiting <- f.send(id, "/v1/completions", promptOf("waits", 10, false)) }()
	f.await("the queue", func() bool { return f.Instances[id].Dump().(instance.Dump).InFlight == 2 })
	return lines, first, waiting
}

// slots returns how many requests an instance may have on the engine.
func (f *testFleet) slots(id string) int {
	for _, server := range f.Instances[id].Dump().(instance.Dump).Servers {
		if server.Service == modelService {
			return server.Limit
		}
	}
	return 0
}

// Guards against a request that waits in a queue and is lost when its instance stops.
func TestPlannedStopServesWhatWaits(t *testing.T) {
	f := startFleet(t)
	const id, tokens = "fraser-a-2-entry-1", 1000
	lines, first, waiting := f.occupy(id, tokens)
	if err := f.Instances[id].Stop(context.Background()); err != nil {
		t.Error(err)
	}
	delete(f.Instances, id)
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Error(err)
	}
	f.checkComplete("the stream", first+string(rest), tokens)
	if got := <-waiting; got.status != http.StatusOK || !strings.Contains(got.body, completeTextOf("waits", 10)) {
		t.Errorf("the request that waited: %d %s", got.status, got.body)
	}
}

// Guards against telling the caller of a request that never left the queue that it may have
// run, when its instance is made to stop.
func TestCutStopSaysWhatHasNotRun(t *testing.T) {
	f := startFleet(t)
	const id = "fraser-a-2-entry-1"
	_, _, waiting := f.occupy(id, 4000)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := f.Instances[id].Stop(ctx); err == nil {
		t.Error("Stop did not report that it cut a request")
	}
	delete(f.Instances, id)
	if got := <-waiting; got.status != http.StatusServiceUnavailable || got.Code != "leaving" || got.Run != "not_run" {
		t.Errorf("the request that waited: %d %s", got.status, got.body)
	}
}

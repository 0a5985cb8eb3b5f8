package inprocess

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	estimate "github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/standin/engine"
)

// openStream opens a stream and reads its first event, so that the generation has
// started.
func (f *testFleet) openStream(id, text string, tokens int) (*http.Response, *bufio.Reader, string) {
	f.t.Helper()
	resp, err := f.open(id, "/v1/completions", promptOf(text, tokens, true))
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	lines := bufio.NewReader(resp.Body)
	first, err := lines.ReadString('\n')
	if err != nil || !strings.HasPrefix(first, "data: ") {
		f.t.Fatalf("%d: %q %v", resp.StatusCode, first, err)
	}
	return resp, lines, first
}

// tokenText joins the tokens of a stream's events.
func tokenText(events string) string {
	var b strings.Builder
	for _, line := range strings.Split(events, "\n") {
		_, rest, ok := strings.Cut(line, `"text":"`)
		if ok {
			part, _, _ := strings.Cut(rest, `"`)
			b.WriteString(part)
		}
	}
	return b.String()
}

// The peer that forwards a stream is killed in the middle of it. The caller, on an
// instance of another failure domain, gets the complete response: the stream is
// resumed on the same engine through the other peer. The generation runs once, and the
// account is charged for exactly the tokens of the prompt and the response.
func TestStreamOutlivesTheForwardingPeer(t *testing.T) {
	f := startFleet(t)
	const tokens = 600
	_, lines, first := f.openStream("fraser-a-1-entry-1", defaultPrompt, tokens)
	victim := ""
	for _, id := range []string{"fraser-a-2-entry-1", "fraser-a-2-entry-2"} {
		if f.Instances[id].Dump().(interface{ Busy() bool }).Busy() {
			victim = id
		}
	}
	if victim == "" {
		t.Fatal("no peer forwards the stream")
	}
	f.Instances[victim].Kill()
	rest, err := io.ReadAll(lines)
	if err != nil {
		t.Fatal(err)
	}
	if got := tokenText(first + string(rest)); got != completeText(tokens) {
		t.Errorf("incomplete response: %d bytes of %d", len(got), len(completeText(tokens)))
	}
	if !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
		t.Errorf("ends with %q", rest[max(0, len(rest)-200):])
	}
	if started := f.engine().Stats().Started; started != 1 {
		t.Errorf("%d generations", started)
	}
	delete(f.Instances, victim)
	if used, want := f.chargedTokens(), float64(estimate.Estimate(defaultPrompt)+tokens); used != want {
		t.Errorf("the account was charged %g tokens, prompt and response have %g", used, want)
	}
}

// chargedTokens returns how many tokens all instances have charged and not refunded.
func (f *testFleet) chargedTokens() float64 {
	f.t.Helper()
	total := 0.0
	for id, i := range f.Instances {
		_, _, operators := i.Addresses()
		resp, err := http.Get("http://" + operators + "/metrics")
		if err != nil {
			f.t.Fatal(err)
		}
		page, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			f.t.Fatalf("%s: %v", id, err)
		}
		total += metric(string(page), `basilroute_quota_tokens_total{result="charged"}`) -
			metric(string(page), `basilroute_quota_tokens_total{result="refunded"}`)
	}
	return total
}

// metric returns the value of a series, 0 if the series does not exist.
func metric(page, series string) float64 {
	_, rest, _ := strings.Cut(page, series+" ")
	text, _, _ := strings.Cut(rest, "\n")
	value, _ := strconv.ParseFloat(text, 64)
	return value
}

// The engine crashes in the middle of a response. A caller of a stream gets an
// explicit event that the response is incomplete and no [DONE] event; a caller that
// does not stream gets an error, never a partial response.
func TestCrashedEngineNeverLooksWhole(t *testing.T) {
	f := startFleet(t)
	for _, id := range []string{"fraser-a-1-entry-1", "fraser-a-2-entry-1"} {
		_, lines, _ := f.openStream(id, "streamed through "+id, 4000)
		whole := make(chan reply)
		running := f.engine().Stats().Started
		go func() { whole <- f.send(id, "/v1/completions", promptOf("whole through "+id, 4000, false)) }()
		f.await("the second generation", func() bool { return f.engine().Stats().Started > running })
		f.engine().Crash()
		rest, err := io.ReadAll(lines)
		if err != nil {
			t.Fatal(err)
		}
		if events := string(rest); !strings.Contains(events, "event: incomplete") || strings.Contains(events, "[DONE]") {
			t.Errorf("%s: ends with %q", id, events[max(0, len(events)-300):])
		}
		if got := <-whole; got.status == http.StatusOK && !strings.Contains(got.body, completeTextOf("whole through "+id, 4000)) {
			t.Errorf("%s: a partial response has status %d: %.200s", id, got.status, got.body)
		}
		f.await("the engine", func() bool { // with a new prompt each time, since a prompt that fails repeatedly is quarantined
			return f.send(id, "/v1/completions", promptOf(idempotencyKey(t), 1, false)).status == http.StatusOK
		})
	}
}

// A caller disconnects in the middle of a stream, on an instance that forwards it or
// dispatches it. The generation is cancelled on the engine, so that it does not compute
// tokens that nobody reads.
func TestCallerDisconnectCancelsGeneration(t *testing.T) {
	f := startFleet(t)
	for n, id := range []string{"fraser-a-1-entry-1", "fraser-a-2-entry-1"} {
		resp, _, _ := f.openStream(id, defaultPrompt, 4000)
		_ = resp.Body.Close()
		f.await("the cancel through "+id, func() bool { return f.engine().Stats().Cancelled == int64(n+1) })
	}
}

// The engine repeats frames, mixes in frames of another request and cuts the
// connection: every caller still gets exactly its own text, with and without
// forwarding.
func TestCrossedFramesThroughInstances(t *testing.T) {
	f := startFleet(t)
	f.engine().SetFaults(engine.Faults{ForeignFrames: true, RepeatFrames: true, CutAfter: 30, MaxCuts: 2})
	for id := range f.Instances {
		got := f.send(id, "/v1/completions", prompt(50, false))
		if got.status != http.StatusOK || !strings.Contains(got.body, completeText(50)) || strings.Contains(got.body, "not yours") {
			t.Errorf("%s: %d %s", id, got.status, got.body)
		}
	}
}

package gateway

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/via"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/requests"
	"github.com/basilroute/basilroute/transport/dispatch"
	"github.com/basilroute/basilroute/transport/metrics"
)

// stepRunner sends a frame, waits until the caller has read it, and sends the last one.
type stepRunner struct{ read chan struct{} }

func (r *stepRunner) Run(ctx context.Context, _ *service.Account, _ *dispatch.Work, sink dispatch.Sink) error {
	if err := sink.Frame("engine", &frame.Frame{Text: "one", Tokens: 1}); err != nil {
		return err
	}
	select {
	case <-r.read:
	case <-ctx.Done():
		return ctx.Err()
	}
	return sink.Frame("engine", &frame.Frame{Seq: 1, Text: "two", Tokens: 1, Finish: frame.FinishLength})
}

type noEntries struct{}

func (noEntries) Entries(*service.Account) []gatewayapi.Entry { return nil }

func document(t *testing.T, text string) *service.Document {
	t.Helper()
	d, err := service.Parse("", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// serve runs a gateway with one model service and returns its URL and a key.
func serve(t *testing.T, runner Runner) (url, key string) {
	t.Helper()
	server, key := serveWith(t, runner, nil)
	return server.URL, key
}

func serveWith(t *testing.T, runner Runner, recorder *metrics.Recorder) (server *httptest.Server, key string) {
	t.Helper()
	documents := catalog.New()
	presented, stored := catalog.NewKey("suva-1")
	documents.Put(document(t, "kind: service\nname: notice-writer\ntype: model\n"))
	documents.Put(document(t, "kind: account\nname: suva\nrate: 1\nburst: 1\nkeys: [{id: "+stored.ID+", sha256: "+stored.SHA256+"}]\n"))
	handler, err := (&Gateway{
		Catalog: documents, Requests: requests.New(), Runner: runner, Entries: noEntries{}, Ready: func() bool { return true },
		Via: via.NewSigner(nil), Metrics: recorder,
	}).Handler()
	if err != nil {
		t.Fatal(err)
	}
	server = httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server, presented
}

// A caller reads a streamed response token by token. The generated server copies the response
// with io.Copy to a wrapper that never flushed, so the caller received the first token
// together with the last. Here the engine continues only after the caller has read the first
// token: without a flush both wait for each other.
func TestTokenReachesCallerBeforeTheNext(t *testing.T) {
	runner := &stepRunner{read: make(chan struct{})}
	url, key := serve(t, runner)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second) // reached only when the test fails
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/completions",
		strings.NewReader(`{"model":"notice-writer","prompt":"x","max_tokens":2,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || !strings.Contains(lines.Text(), `"text":"one"`) {
		t.Fatalf("the first token did not arrive: %q %v", lines.Text(), lines.Err())
	}
	close(runner.read)
	var rest []string
	for lines.Scan() {
		rest = append(rest, lines.Text())
	}
	if got := strings.Join(rest, "\n"); !strings.Contains(got, `"text":"two"`) || !strings.HasSuffix(got, "data: [DONE]\n") {
		t.Errorf("the rest of the answer: %q", got)
	}
}

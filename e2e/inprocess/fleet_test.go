// Package inprocess holds end-to-end tests whose instances run in this process,
// so that faults can be injected without signals and relays.
package inprocess

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/localfleet"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/standin/plain"
	"github.com/basilroute/basilroute/state/catalog"
)

const (
	modelService  = "basil-lm"
	plainService  = "guild-desk"
	awaitLimit    = time.Minute
	awaitInterval = 10 * time.Millisecond
)

// testFleet is a fleet that runs in this process: fraser-a-1 has two instances and no
// backend server; fraser-a-2 has two instances, an engine and a plain service.
type testFleet struct {
	*localfleet.Fleet
	t   *testing.T
	key string
}

func startFleet(t *testing.T) *testFleet {
	f, err := localfleet.Start(localfleet.Config{
		Domains: []localfleet.Domain{
			{Region: "fraser-a", Name: "fraser-a-1", Instances: 2},
			{Region: "fraser-a", Name: "fraser-a-2", Instances: 2, Engines: 1, PlainServers: 1},
		},
		ModelService: modelService, PlainService: plainService,
		Engine: engine.DefaultConfig(), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	presented, key := catalog.NewKey("k1")
	fleet := &testFleet{Fleet: f, t: t, key: presented}
	for _, document := range []string{
		"kind: fleet\nname: fleet\nregions:\n  fraser-a: {domains: [fraser-a-1, fraser-a-2]}\n",
		"kind: service\nname: basil-lm\ntype: model\n",
		"kind: service\nname: guild-desk\ntype: plain\noperations:\n  buy: {repeatable: false, cost: 1}\n  read: {repeatable: true, cost: 1}\n",
		fmt.Sprintf("kind: account\nname: lacquer\nrate: 1000000\nburst: 10000000\nkeys:\n  - {id: %s, sha256: %s}\n", key.ID, key.SHA256),
	} {
		if err := f.Apply(t.Context(), document); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), awaitLimit)
	defer cancel()
	err = f.Await(ctx, func(i *instance.Instance) bool {
		return i.Ready() && len(i.Status().Instances) == 4 && i.Serves(modelService) && i.Serves(plainService) && i.CanCharge("lacquer", 10000)
	})
	if err != nil {
		t.Fatal(err)
	}
	return fleet
}

func (f *testFleet) plain() *plain.Service  { return f.PlainServices["fraser-a-2-plain-1"] }
func (f *testFleet) engine() *engine.Engine { return f.Engines["fraser-a-2-engine-1"] }

func (f *testFleet) url(id string) string {
	callers, _, _ := f.Instances[id].Addresses()
	return "http://" + callers
}

// reply is the response that a caller received.
type reply struct {
	status          int
	body            string
	connectionClose bool // the response has "Connection: close"

	Code         string `json:"code"`
	Run          string `json:"run"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	Entries      []any  `json:"entries"`
}

func (f *testFleet) open(id, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, f.url(id)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+f.key)
	req.Header.Set("Content-Type", "application/json")
	for n := 0; n+1 < len(header); n += 2 {
		req.Header.Set(header[n], header[n+1])
	}
	return http.DefaultTransport.RoundTrip(req)
}

func (f *testFleet) send(id, path, body string, header ...string) reply {
	f.t.Helper()
	resp, err := f.open(id, path, body, header...)
	if err != nil {
		f.t.Errorf("%s: %v", id, err)
		return reply{}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Errorf("%s: %v", id, err)
	}
	out := reply{status: resp.StatusCode, body: string(data), connectionClose: resp.Close}
	if resp.StatusCode != http.StatusOK {
		_ = json.Unmarshal(data, &out)
	}
	return out
}

func (f *testFleet) buy(id, order string, header ...string) reply {
	f.t.Helper()
	return f.send(id, "/v1/services/guild-desk/operations/buy", `{"id":"`+order+`"}`, header...)
}

func (f *testFleet) runs(order string) int {
	return f.plain().Runs()[plain.Run{Operation: "buy", ID: order}]
}

func (f *testFleet) await(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(awaitLimit); !ok(); time.Sleep(awaitInterval) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out after %s waiting for %s", awaitLimit, what)
		}
	}
}

func idempotencyKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return id.String()
}

const defaultPrompt = "shade names"

func prompt(tokens int, stream bool) string { return promptOf(defaultPrompt, tokens, stream) }

func promptOf(text string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"basil-lm","prompt":%q,"max_tokens":%d,"stream":%t}`, text, tokens, stream)
}

func completeText(tokens int) string { return completeTextOf(defaultPrompt, tokens) }

func completeTextOf(text string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(engine.Token(text, i))
	}
	return b.String()
}

package localfleet

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/state/catalog"
)

const startLimit = time.Minute // reached only when a test fails

// singleFleet is a fleet of one instance, one engine and one plain service.
type singleFleet struct {
	*Fleet
	t        *testing.T
	url, key string
}

func startSingle(t *testing.T) *singleFleet {
	t.Helper()
	fleet, err := Start(Config{
		Domains:      []Domain{{Region: "suva-a", Name: "suva-a-1", Instances: 1, Engines: 1, PlainServers: 1}},
		ModelService: "notice-writer", PlainService: "recall-ledger",
		Engine: engine.DefaultConfig(), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	presented, key := catalog.NewKey("suva-grocers-1")
	ctx, cancel := context.WithTimeout(t.Context(), startLimit)
	defer cancel()
	for _, document := range []string{
		"kind: fleet\nname: fleet\nregions:\n  suva-a: {domains: [suva-a-1]}\n",
		"kind: service\nname: notice-writer\ntype: model\nlimits: {prompt_tokens: 100, output_tokens: 50}\n",
		"kind: service\nname: recall-ledger\ntype: plain\noperations:\n  withdraw-batch: {repeatable: false, cost: 1}\nlimits: {body_bytes: 64}\n",
		"kind: account\nname: suva-grocers\nrate: 100000\nburst: 1000000\nkeys: [{id: " + key.ID + ", sha256: " + key.SHA256 + "}]\n",
	} {
		if err := fleet.Apply(ctx, document); err != nil {
			t.Fatal(err)
		}
	}
	err = fleet.Await(ctx, func(i *instance.Instance) bool {
		return i.Ready() && i.Serves("notice-writer") && i.Serves("recall-ledger") && i.CanCharge("suva-grocers", 200)
	})
	if err != nil {
		t.Fatal(err)
	}
	callers, _, _ := fleet.Instances[fleet.StartOrder[0]].Addresses()
	return &singleFleet{Fleet: fleet, t: t, url: "http://" + callers, key: presented}
}

type request struct {
	method, path, body, key string
	headers                 map[string]string
}

func (s *singleFleet) send(r request) (int, http.Header, []byte) {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), r.method, s.url+r.path, strings.NewReader(r.body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for name, value := range r.headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, body
}

const (
	completions = "/v1/completions"
	chat        = "/v1/chat/completions"
	withdraw    = "/v1/services/recall-ledger/operations/withdraw-batch"
)

// An invalid request gets a typed refusal that names the fault and reports that
// nothing ran. No backend server receives the request, and the instance continues
// to serve.
func TestBadInputIsRefusedAndRunsNothing(t *testing.T) {
	s := startSingle(t)
	good := `{"model":"notice-writer","prompt":"x","max_tokens":2}`
	post := func(path, body string) request {
		return request{method: http.MethodPost, path: path, body: body, key: s.key}
	}
	for name, test := range map[string]struct {
		request
		status int
		code   refusal.Code
	}{
		"broken JSON":           {post(completions, `{"model":`), 422, refusal.CodeInvalid},
		"no JSON":               {post(completions, "hello"), 422, refusal.CodeInvalid},
		"empty body":            {post(completions, ""), 422, refusal.CodeInvalid},
		"two values":            {post(completions, good+good), 422, refusal.CodeInvalid},
		"unknown field":         {post(completions, `{"model":"notice-writer","prompt":"x","temprature":1}`), 422, refusal.CodeInvalid},
		"wrong type":            {post(completions, `{"model":"notice-writer","prompt":7}`), 422, refusal.CodeInvalid},
		"missing field":         {post(completions, `{"model":"notice-writer"}`), 422, refusal.CodeInvalid},
		"empty prompt":          {post(completions, `{"model":"notice-writer","prompt":""}`), 422, refusal.CodeInvalid},
		"no tokens":             {post(completions, `{"model":"notice-writer","prompt":"x","max_tokens":0}`), 422, refusal.CodeInvalid},
		"negative tokens":       {post(completions, `{"model":"notice-writer","prompt":"x","max_tokens":-5}`), 422, refusal.CodeInvalid},
		"fraction of a token":   {post(completions, `{"model":"notice-writer","prompt":"x","max_tokens":1.5}`), 422, refusal.CodeInvalid},
		"huge tokens":           {post(completions, `{"model":"notice-writer","prompt":"x","max_tokens":99999999999999999999}`), 422, refusal.CodeInvalid},
		"over the output limit": {post(completions, `{"model":"notice-writer","prompt":"x","max_tokens":51}`), 422, refusal.CodeInvalid},
		"over the prompt limit": {post(completions, `{"model":"notice-writer","prompt":"`+strings.Repeat("x", 401)+`","max_tokens":1}`), 413, refusal.CodeTooLarge},
		"unknown role":          {post(chat, `{"model":"notice-writer","messages":[{"role":"boss","content":"x"}]}`), 422, refusal.CodeInvalid},
		"no messages":           {post(chat, `{"model":"notice-writer","messages":[]}`), 422, refusal.CodeInvalid},
		"unknown service":       {post(completions, `{"model":"no-such","prompt":"x"}`), 404, refusal.CodeNotFound},
		"plain as model":        {post(completions, `{"model":"recall-ledger","prompt":"x"}`), 404, refusal.CodeNotFound},
		"unknown operation":     {post("/v1/services/recall-ledger/operations/burn", `{}`), 404, refusal.CodeNotFound},
		"unknown plain service": {post("/v1/services/no-such/operations/withdraw-batch", `{}`), 404, refusal.CodeNotFound},
		"broken operation body": {post(withdraw, `{"id":`), 422, refusal.CodeInvalid},
		"oversize operation":    {post(withdraw, `{"id":"`+strings.Repeat("x", 64)+`"}`), 413, refusal.CodeTooLarge},
		"bad idempotency key": {request{method: http.MethodPost, path: withdraw, body: `{"id":"1"}`, key: s.key,
			headers: map[string]string{"Idempotency-Key": "again"}}, 422, refusal.CodeInvalid},
		"unknown class": {request{method: http.MethodPost, path: completions, body: good, key: s.key,
			headers: map[string]string{"X-Request-Class": "urgent"}}, 422, refusal.CodeInvalid},
		"wrong content type": {request{method: http.MethodPost, path: completions, body: good, key: s.key,
			headers: map[string]string{"Content-Type": "text/plain"}}, 422, refusal.CodeInvalid},
		"no key":       {request{method: http.MethodPost, path: completions, body: good}, 401, refusal.CodeUnauthorized},
		"no such key":  {request{method: http.MethodPost, path: completions, body: good, key: "br_suva-grocers-1_guess"}, 401, refusal.CodeUnauthorized},
		"key no key":   {request{method: http.MethodPost, path: completions, body: good, key: "hello"}, 401, refusal.CodeUnauthorized},
		"unknown path": {post("/v2/completions", good), 404, refusal.CodeNotFound},
		"wrong method": {request{method: http.MethodGet, path: completions, key: s.key}, 405, refusal.CodeMethod},
	} {
		status, _, body := s.send(test.request)
		var got gatewayapi.Refusal
		if err := got.UnmarshalJSON(body); err != nil {
			t.Errorf("%s: status %d, not a refusal: %s", name, status, body)
			continue
		}
		if status != test.status || got.Code != string(test.code) || got.Run != gatewayapi.RefusalRunNotRun || got.Message == "" {
			t.Errorf("%s: status %d, %+v, want %d %s not_run", name, status, got, test.status, test.code)
		}
	}
	for id, e := range s.Engines {
		if n := e.Stats().Started; n != 0 {
			t.Errorf("%s ran %d generations", id, n)
		}
	}
	for id, p := range s.PlainServices {
		if n := p.Received(); n != 0 {
			t.Errorf("%s received %d operations", id, n)
		}
	}
	if status, _, body := s.send(post(completions, good)); status != http.StatusOK {
		t.Errorf("a valid request after the invalid ones: %d %s", status, body)
	}
}

package localfleet

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// The metrics of an instance show what its callers got: a streamed response with its
// first token, a refusal by its code, and the calls to the store. No series names the
// client account.
func TestMetricsShowWhatCallersGot(t *testing.T) {
	s := startSingle(t)
	s.send(request{method: http.MethodPost, path: completions, key: s.key, body: `{"model":"notice-writer","prompt":"x","max_tokens":5,"stream":true}`})
	s.send(request{method: http.MethodPost, path: withdraw, key: s.key, body: `{"id":"7"}`})
	s.send(request{method: http.MethodPost, path: completions, body: `{}`})
	_, _, operators := s.Instances[s.StartOrder[0]].Addresses()
	resp, err := http.Get("http://" + operators + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	page, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`basilroute_requests_total{class="interactive",code="done",service="notice-writer"} 1`,
		`basilroute_requests_total{class="interactive",code="done",service="recall-ledger"} 1`,
		`basilroute_first_token_seconds_count{class="interactive",service="notice-writer"} 1`,
		`basilroute_output_tokens_total{service="notice-writer"} 5`,
		`basilroute_refusals_total{code="unauthorized"} 1`,
		`basilroute_store_calls_total{call="get_kv_list",result="2xx"} `,
		`basilroute_members{state="live"} 1`,
		`basilroute_backend_servers{service="notice-writer",usable="true"} 1`,
		"basilroute_store_reachable 1\n",
		"basilroute_ready 1\n",
		"basilroute_accounts 1\n",
		"basilroute_requests_in_flight 0\n",
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("metrics lack %s", want)
		}
	}
	if strings.Contains(string(page), "suva-grocers") {
		t.Error("a series names an account")
	}
}

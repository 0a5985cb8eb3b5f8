package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// truncatingRunner sends one frame, without tokens, and ends.
type truncatingRunner struct{ err error }

func (r truncatingRunner) Run(_ context.Context, _ *service.Account, _ *dispatch.Work, sink dispatch.Sink) error {
	if err := sink.Frame("engine", &frame.Frame{}); err != nil {
		return err
	}
	return r.err
}

func post(t *testing.T, url, key string, stream string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/completions",
		strings.NewReader(`{"model":"notice-writer","prompt":"x","max_tokens":2,"stream":`+stream+`}`))
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
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// A response ends without its last frame, with an error or, by a fault in transit, without
// one. The caller of a buffered response must get a typed refusal and no partial text; the
// caller of a stream must get an explicit event and no [DONE], also when the frames that it
// received held no token.
func TestAnswerWithoutItsEndIsIncomplete(t *testing.T) {
	for name, ended := range map[string]error{
		"an error": refusal.New(refusal.CodeBackendFailed, "broke").WithRunState(refusal.Ran), "no error": nil,
	} {
		url, key := serve(t, truncatingRunner{ended})
		if status, body := post(t, url, key, "false"); status != http.StatusBadGateway || !strings.Contains(body, `"run":"ran"`) {
			t.Errorf("%s, whole: %d %s", name, status, body)
		}
		status, body := post(t, url, key, "true")
		if status != http.StatusOK || !strings.Contains(body, "event: incomplete\n") || strings.Contains(body, "[DONE]") {
			t.Errorf("%s, streamed: %d %s", name, status, body)
		}
	}
}

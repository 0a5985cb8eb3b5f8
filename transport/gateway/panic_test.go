package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// panickingRunner panics after some frames.
type panickingRunner struct{ frames int }

func (r panickingRunner) Run(_ context.Context, _ *service.Account, _ *dispatch.Work, sink dispatch.Sink) error {
	for seq := range r.frames {
		if err := sink.Frame("engine", &frame.Frame{Seq: int64(seq), Text: "x", Tokens: 1}); err != nil {
			return err
		}
	}
	panic("a fault")
}

// Guards against a fault in one request that ends the process with all others, or that cuts
// the connection without a refusal.
func TestPanicIsRefused(t *testing.T) {
	for _, frames := range []int{0, 1} {
		url, key := serve(t, Recovering(panickingRunner{frames}, slog.New(slog.DiscardHandler)))
		status, body := post(t, url, key, "false")
		if status != http.StatusInternalServerError || !strings.Contains(body, `"run":"unknown"`) {
			t.Errorf("%d frames, whole: %d %s", frames, status, body)
		}
		status, body = post(t, url, key, "true")
		if frames == 0 && status != http.StatusInternalServerError {
			t.Errorf("%d frames, streamed: %d %s", frames, status, body)
		}
		if frames > 0 && (!strings.Contains(body, "event: incomplete\n") || strings.Contains(body, "[DONE]")) {
			t.Errorf("%d frames, streamed: %d %s", frames, status, body)
		}
	}
}

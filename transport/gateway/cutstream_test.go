package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// cutRunner sends one frame and ends with an error, or without one.
type cutRunner struct{ err error }

func (r cutRunner) Run(_ context.Context, _ *service.Account, _ *dispatch.Work, sink dispatch.Sink) error {
	if err := sink.Frame("engine", &frame.Frame{Text: "one", Tokens: 1}); err != nil {
		return err
	}
	return r.err
}

// Guards against a stream of /v1 that was cut, by a stop or without an error, and whose caller cannot tell it from a complete one.
func TestCutStreamSaysThatItIsIncomplete(t *testing.T) {
	for name, err := range map[string]error{
		"by a stop":        refusal.New(refusal.CodeLeaving, "this instance stops").WithRunState(refusal.RunUnknown),
		"without an error": nil,
	} {
		t.Run(name, func(t *testing.T) {
			server, key := serveWith(t, cutRunner{err}, nil)
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			body := `{"model":"notice-writer","prompt":"x","max_tokens":2,"stream":true}`
			if _, err := fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
				key, len(body), body); err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(c)
			if err != nil || !strings.Contains(string(got), "\nevent: incomplete\n") || strings.Contains(string(got), "[DONE]") {
				t.Errorf("%q, %v", got, err)
			}
		})
	}
}

package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
)

// notifyTime is how long a stopping instance waits for cancelled requests to tell their
// callers.
const notifyTime = time.Second

// Guards against a caller that is not told why its stream ends, because the instance waits for
// a silent engine to confirm the cancel.
func TestSilentEngineDoesNotDelayTheEnd(t *testing.T) {
	silent := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = w.Write((&frame.Frame{RequestID: "r", Attempt: 1, Tokens: 1}).AppendLine(nil))
			_ = http.NewResponseController(w).Flush()
		}
		<-silent
	}))
	defer engine.Close()
	defer close(silent)
	l := &LocalDispatcher{Servers: servers.New(), Backend: backend.New()}
	defer l.Backend.Close()
	ctx, cancel := context.WithCancelCause(t.Context())
	sink := newCollectingSink()
	ended := make(chan error, 1)
	go func() {
		ended <- l.generate(ctx, localWork("r", 4), servers.Server{ID: "e", Address: engine.URL}, sink)
	}()
	<-sink.first
	cancelledAt := time.Now()
	cancel(refusal.New(refusal.CodeLeaving, "this instance stops"))
	if err := <-ended; err == nil || time.Since(cancelledAt) >= notifyTime {
		t.Errorf("ended after %s with %v", time.Since(cancelledAt), err)
	}
}

// silentPeers are fakePeers that do not answer a cancel.
type silentPeers struct{ *fakePeers }

func (p silentPeers) Cancel(ctx context.Context, _ string, _ *Work, _ string) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against a caller that is not told why its stream ends, because the instance waits for
// silent peers to confirm the cancel.
func TestSilentPeersDoNotDelayTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resumer := newResumer(&fakePeers{breakAfter: map[string]int{"a": -1}})
		resumer.Next = silentPeers{resumer.Next.(*fakePeers)}
		began := time.Now()
		err := resumer.Forward(t.Context(), "a", streamWork(), &textSink{err: refusal.New(refusal.CodeLeaving, "this instance stops")})
		if err == nil || time.Since(began) >= notifyTime {
			t.Errorf("ended after %s with %v", time.Since(began), err)
		}
		time.Sleep(cancelDeadline) // fake time: the cancel ends in the background
	})
}

package peer

import (
	"context"
	"testing"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// silence is how long a peer sends nothing in the middle of a request.
const silence = 2 * time.Second

// silentRunner answers as late as its server.
type silentRunner struct{}

func (silentRunner) RunForwarded(_ context.Context, w *dispatch.Work, sink dispatch.Sink) error {
	if w.Operation != nil {
		time.Sleep(silence)
		return sink.Answer("server", []byte("{}"))
	}
	for seq := range int64(tokenFrames) {
		f := &frame.Frame{RequestID: w.RequestID, Attempt: w.Attempt, Seq: seq, Tokens: 1}
		if seq == tokenFrames-1 {
			time.Sleep(silence)
			f.Finish = frame.FinishStop
		}
		if err := sink.Frame("engine", f); err != nil {
			return err
		}
	}
	return nil
}

func (silentRunner) CancelForwarded(string, string, string) {}

// Guards against giving up a peer whose backend server is silent.
func TestSilentPeerIsBorne(t *testing.T) {
	for what, work := range map[string]*dispatch.Work{"generation": generationWork(), "operation": operationWork()} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			sink := &recordingSink{}
			err := newPool(t).Forward(t.Context(), startServer(t, silentRunner{}), work, sink)
			if err != nil || len(sink.frames)+sink.bodies == 0 {
				t.Errorf("%d frames, %d answers, %v", len(sink.frames), sink.bodies, err)
			}
		})
	}
}

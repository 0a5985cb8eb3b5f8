package peer

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/peerpb"
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

func (silentRunner) CancelForwarded(string, string, string) bool { return false }

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

// silentPeer accepts requests and cancels and answers none.
type silentPeer struct {
	peerpb.UnimplementedPeerServer
	started chan struct{}
}

func (p *silentPeer) Forward(_ *peerpb.ForwardRequest, stream grpc.ServerStreamingServer[peerpb.ForwardFrame]) error {
	close(p.started)
	<-stream.Context().Done()
	return nil
}

func (p *silentPeer) Cancel(ctx context.Context, _ *peerpb.CancelRequest) (*peerpb.CancelResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a caller that is not told why its request ends, because the instance waits
// for a silent peer to confirm the cancel. A stopping instance waits a second for that.
func TestSilentPeerDoesNotDelayTheEnd(t *testing.T) {
	t.Parallel()
	p := &silentPeer{started: make(chan struct{})}
	address := servePeer(t, p)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	pool := newPool(t)
	go func() { ended <- pool.Forward(ctx, address, operationWork(), &recordingSink{}) }()
	<-p.started
	cancelledAt := time.Now()
	cancel()
	if err := <-ended; err == nil || time.Since(cancelledAt) >= time.Second {
		t.Errorf("ended after %s with %v", time.Since(cancelledAt), err)
	}
}

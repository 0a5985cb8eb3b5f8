package dispatch

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
)

const (
	priorityBulk   = 10
	cancelDeadline = 2 * time.Second
	resumeLimit    = 3 // times a broken stream is resumed on its engine
	resumeBackoff  = 50 * time.Millisecond
)

// generate streams from one engine and resumes there when the connection breaks.
func (l *Local) generate(ctx context.Context, w *Work, server servers.Server, sink Sink) error {
	generation := backend.Generation{
		RequestID: w.RequestID, Attempt: w.Attempt, Account: w.Account, Version: server.Version,
		Prompt: w.Generation.Prompt, MaxTokens: w.Generation.MaxTokens, Via: w.Via,
	}
	if w.Class == service.ClassBulk {
		generation.Priority = priorityBulk
	}
	var stats backend.StreamStats
	defer l.countDropped(&stats)
	next := w.Generation.FromSeq
	forward := func(f *frame.Frame) error { return sink.Frame(server.ID, f) }
	for resumed := 0; ; resumed++ {
		err := l.Backend.Generate(ctx, server.Address, generation, &next, &stats, forward)
		if err == nil {
			return nil
		}
		broken := refusal.From(err)
		if ctx.Err() != nil || broken.Code != refusal.CodeBackendFailed {
			l.cancel(server, w.RequestID)
			return err
		}
		if next == 0 || resumed >= resumeLimit {
			l.failed(ctx, w, server, err)
			return err
		}
		time.Sleep(resumeBackoff)
	}
}

func (l *Local) cancel(server servers.Server, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelDeadline)
	defer cancel()
	_ = l.Backend.Cancel(ctx, server.Address, requestID) // the engine ends the generation by itself at its limit
}

package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
)

const (
	priorityBulk   = 10
	cancelDeadline = 2 * time.Second
	maxResumes     = 3 // times in a row that an interrupted stream is resumed on its engine
	minProgress    = 8 // frames of a connection that was sound until it broke
	resumeBackoff  = 50 * time.Millisecond
)

// ErrDetached is the cause of a context that ended because the connection to the first
// instance broke. The generation continues: the first instance may resume it through
// another peer, and cancels it if it does not.
var ErrDetached = errors.New("the connection to the first instance broke")

// generate streams from one engine and resumes on it when the connection breaks.
func (l *LocalDispatcher) generate(ctx context.Context, w *Work, server servers.Server, sink Sink) error {
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
		from := next
		err := l.Backend.Generate(ctx, server.Address, generation, &next, &stats, forward)
		if err == nil {
			return nil
		}
		if next-from >= minProgress {
			resumed = 0
		}
		broken := refusal.FromError(err)
		if ctx.Err() != nil || broken.Code != refusal.CodeBackendFailed {
			l.cancelUnlessResumable(ctx, server, w)
			return err
		}
		if next == 0 || resumed >= maxResumes || !sleep(ctx, resumeBackoff) {
			l.connectionFailed(ctx, w, server, next > 0, err)
			l.cancelUnlessResumable(ctx, server, w)
			return err
		}
	}
}

// cancelUnlessResumable cancels the generation unless the first instance may resume it
// through another peer, because the connection to it broke or this instance is shutting
// down.
func (l *LocalDispatcher) cancelUnlessResumable(ctx context.Context, server servers.Server, w *Work) {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrDetached) {
		return
	}
	if w.Hop > 0 && cause != nil && refusal.FromError(cause).Code == refusal.CodeLeaving {
		return
	}
	if ctx.Err() != nil {
		RunFor(CancelWait, func() { l.cancel(server, w.RequestID) })
		return
	}
	l.cancel(server, w.RequestID) // a later cancel could reach the next attempt on the same engine
}

func (l *LocalDispatcher) cancel(server servers.Server, requestID string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelDeadline)
	defer cancel()
	_ = l.Backend.Cancel(ctx, server.Address, requestID) // otherwise the generation ends at its token limit
}

// Cancel cancels a generation that runs on a server of the local failure domain. It returns
// false if the server is not known.
func (l *LocalDispatcher) Cancel(serviceName, serverID, requestID string) bool {
	server, ok := l.Servers.Find(serviceName, serverID)
	if ok {
		l.cancel(server, requestID)
	}
	return ok
}

// resume resumes a generation on the server that runs it. It bypasses the queue, because
// the generation already occupies a slot on the engine.
func (l *LocalDispatcher) resume(ctx context.Context, w *Work, server servers.Server, sink Sink) error {
	if entry := l.Servers.Entry(w.Service, server.ID); entry != nil {
		entry.Begin(0, w.Class == service.ClassBulk)
		defer entry.End(w.Class == service.ClassBulk)
	}
	return l.generate(ctx, w, server, sink)
}

// pinnedServer returns the server on which the work has to be resumed, if it names one.
func (l *LocalDispatcher) pinnedServer(w *Work) (server servers.Server, refused *refusal.Refusal, ok bool) {
	if w.Generation == nil || w.Generation.Server == "" {
		return servers.Server{}, nil, false
	}
	server, found := l.Servers.Find(w.Service, w.Generation.Server)
	switch {
	case !found && !l.Servers.Filled():
		refused = refusal.New(refusal.CodeNotReady, "this instance has no list of backend servers yet").WithRunState(refusal.Ran)
	case !found:
		refused = refusal.New(refusal.CodeIncomplete, "the engine of this generation has gone").WithRunState(refusal.Ran)
	}
	return server, refused, true
}

package gateway

import (
	"context"
	"log/slog"
	"runtime/debug"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// Recovering returns a runner that refuses a request whose run panics. A streamed request runs
// in a goroutine of its own, where a panic would end the process and cut all other requests.
func Recovering(runner Runner, log *slog.Logger) Runner {
	return &recoveringRunner{runner, log}
}

type recoveringRunner struct {
	next Runner
	log  *slog.Logger
}

// Run implements Runner.
func (r *recoveringRunner) Run(ctx context.Context, account *service.Account, w *dispatch.Work, sink dispatch.Sink) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			r.log.Error("request panicked", "request_id", w.RequestID, "service", w.Service, "panic", cause, "stack", string(debug.Stack()))
			err = refusal.New(refusal.CodeInternal, "a fault of the gateway").WithRunState(refusal.RunUnknown)
		}
	}()
	return r.next.Run(ctx, account, w, sink)
}

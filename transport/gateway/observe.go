package gateway

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
	"github.com/basilroute/basilroute/transport/metrics"
)

// observe runs the work and records its duration, outcome and output tokens.
func (g *Gateway) observe(ctx context.Context, account *service.Account, w *dispatch.Work, sink dispatch.Sink) error {
	if g.Metrics == nil {
		return g.Runner.Run(ctx, account, w, sink)
	}
	observed := &observedSink{Sink: sink, recorder: g.Metrics, work: w, start: time.Now()}
	err := g.Runner.Run(ctx, account, w, observed)
	code := metrics.CodeDone
	if err != nil {
		code = string(refusal.FromError(err).Code)
	}
	g.Metrics.RecordEnd(w.Service, w.Class, code, time.Since(observed.start), observed.outputTokens)
	return err
}

// observedSink records the time to the first token and counts output tokens.
type observedSink struct {
	dispatch.Sink
	recorder     *metrics.Recorder
	work         *dispatch.Work
	start        time.Time
	outputTokens int
}

// Frame implements dispatch.Sink.
func (s *observedSink) Frame(server string, f *frame.Frame) error {
	if s.outputTokens == 0 && f.Tokens > 0 {
		s.recorder.RecordFirstToken(s.work.Service, s.work.Class, time.Since(s.start))
	}
	s.outputTokens += f.Tokens
	return s.Sink.Frame(server, f)
}

// Restart implements dispatch.Restarter if the inner sink does.
func (s *observedSink) Restart() bool {
	inner, ok := s.Sink.(dispatch.Restarter)
	return ok && inner.Restart()
}

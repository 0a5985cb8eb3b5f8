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

// observe runs the work and records how it went.
func (g *Gateway) observe(ctx context.Context, account *service.Account, w *dispatch.Work, sink dispatch.Sink) error {
	if g.Metrics == nil {
		return g.Runner.Run(ctx, account, w, sink)
	}
	watched := &observedSink{Sink: sink, recorder: g.Metrics, work: w, start: time.Now()}
	err := g.Runner.Run(ctx, account, w, watched)
	code := metrics.CodeDone
	if err != nil {
		code = string(refusal.From(err).Code)
	}
	g.Metrics.RecordEnd(w.Service, w.Class, code, time.Since(watched.start), watched.tokens)
	return err
}

// observedSink notes the first token and counts the output.
type observedSink struct {
	dispatch.Sink
	recorder *metrics.Recorder
	work     *dispatch.Work
	start    time.Time
	tokens   int
}

// Frame implements dispatch.Sink.
func (s *observedSink) Frame(server string, f *frame.Frame) error {
	if s.tokens == 0 && f.Tokens > 0 {
		s.recorder.RecordFirstToken(s.work.Service, s.work.Class, time.Since(s.start))
	}
	s.tokens += f.Tokens
	return s.Sink.Frame(server, f)
}

// Restart implements dispatch.Restarter for a sink that does.
func (s *observedSink) Restart() bool {
	inner, ok := s.Sink.(dispatch.Restarter)
	return ok && inner.Restart()
}

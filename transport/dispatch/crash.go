package dispatch

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

// probeTimeout bounds the question whether a server is still the same process.
// The caller's retry waits for it.
const probeTimeout = 250 * time.Millisecond

// failed takes in that the connection to a server failed with work in flight,
// and finds out whether the server crashed.
func (l *LocalDispatcher) failed(ctx context.Context, w *Work, server servers.Server, err error) {
	r := refusal.From(err)
	if ctx.Err() != nil || r.Code != refusal.CodeBackendFailed {
		return
	}
	l.Servers.RecordCallFailure(w.Service, server.ID, failureLimit)
	if r.Run != refusal.Unknown {
		return
	}
	l.judge(ctx, w, server)
}

// judge tells a crash from a broken connection; quarantine's package comment
// gives the reasons.
func (l *LocalDispatcher) judge(ctx context.Context, w *Work, server servers.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	before := server.Load.BootID
	load, err := l.ask(ctx, w, server)
	now := time.Now()
	switch {
	case err == nil && load.BootID == before:
		return
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		l.Quarantine.RecordCrash(w.identity(), server.ID, before, now)
	default:
		l.Quarantine.PresumeCrash(w.identity(), server.ID, before, now)
	}
}

func (l *LocalDispatcher) ask(ctx context.Context, w *Work, server servers.Server) (servers.Load, error) {
	svc := l.Catalog.Service(w.Service)
	if svc != nil && svc.Type == service.TypePlain {
		return l.Backend.PlainLoad(ctx, server.Address, time.Now())
	}
	return l.Backend.EngineLoad(ctx, server.Address, time.Now())
}

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

// probeTimeout bounds the check whether a server is still the same process. The retry of
// the request waits for it.
const probeTimeout = 250 * time.Millisecond

// connectionFailed records that the connection to a server failed with work in flight, and
// finds out whether the server crashed.
func (l *LocalDispatcher) connectionFailed(ctx context.Context, w *Work, server servers.Server, begun bool, err error) {
	r := refusal.FromError(err)
	if ctx.Err() != nil || r.Code != refusal.CodeBackendFailed {
		return
	}
	l.Servers.RecordCallFailure(w.Service, server.ID, maxConsecutiveFailures)
	if r.RunState != refusal.RunUnknown {
		return
	}
	l.detectCrash(ctx, w, server, begun)
}

// detectCrash distinguishes a crash from a broken connection. The package comment of
// quarantine gives the reasons.
func (l *LocalDispatcher) detectCrash(ctx context.Context, w *Work, server servers.Server, begun bool) {
	failedAt := time.Now() // answers that come while the crash is still to be confirmed count against it
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	bootID := server.Load.BootID
	load, err := l.fetchLoad(ctx, w, server)
	now := time.Now()
	fingerprint, parts := w.quarantineKey(), w.parts()
	blame := func() {
		if begun {
			l.Parts.RecordRequestCrash(fingerprint, server.ID, bootID, failedAt)
			return
		}
		l.Parts.RecordEarlyRequestCrash(fingerprint, server.ID, bootID, failedAt)
		l.Parts.RecordCrash(parts, server.ID, bootID, false, failedAt)
	}
	switch {
	case err == nil && load.BootID == bootID:
		return
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		l.Quarantine.RecordCrash(fingerprint, server.ID, bootID, now)
		blame()
	default:
		l.Quarantine.PresumeCrash(fingerprint, server.ID, bootID, now, blame)
	}
}

func (l *LocalDispatcher) fetchLoad(ctx context.Context, w *Work, server servers.Server) (servers.Load, error) {
	svc := l.Catalog.Service(w.Service)
	if svc != nil && svc.Type == service.TypePlain {
		return l.Backend.PlainLoad(ctx, server.Address, time.Now())
	}
	return l.Backend.EngineLoad(ctx, server.Address, time.Now())
}

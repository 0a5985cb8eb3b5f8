package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
	"github.com/basilroute/basilroute/transport/metrics"
)

const (
	failureLimit  = 3 // failures in a row after which a server gets no new work
	noServerRetry = time.Second
)

// Local runs work on the backend servers of the own failure domain.
type Local struct {
	Catalog    *catalog.Catalog
	Servers    *servers.Table
	Backend    *backend.Client
	Quarantine *quarantine.List
	Metrics    *metrics.Recorder // may be nil
}

// Run sends the work to one server. The error is a *refusal.Refusal, or the
// sink's own error.
func (l *Local) Run(ctx context.Context, w *Work, sink Sink) error {
	svc := l.Catalog.Service(w.Service)
	if svc == nil {
		return refusal.New(refusal.CodeNotFound, "service %q is not known here", w.Service)
	}
	server, refused := l.choose(w, svc)
	if refused != nil {
		return refused
	}
	l.Servers.Begin(w.Service, server.ID)
	defer l.Servers.End(w.Service, server.ID)
	if w.Generation != nil {
		return l.generate(ctx, w, server, sink)
	}
	return l.operate(ctx, w, server, sink)
}

func (l *Local) choose(w *Work, svc *service.Service) (servers.Server, *refusal.Refusal) {
	list := l.Servers.Of(w.Service)
	i := routing.ChooseServer(&routing.Request{Service: svc, Home: w.Home, Hop: w.Hop}, list, newRand())
	if i < 0 {
		return servers.Server{}, refusal.New(refusal.CodeNoServer, "no backend server of %s can take the request", w.Service).After(noServerRetry)
	}
	return list[i], nil
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (l *Local) failed(ctx context.Context, w *Work, server servers.Server, err error) {
	r := refusal.From(err)
	if ctx.Err() != nil || r.Code != refusal.CodeBackendFailed {
		return
	}
	l.Servers.Failed(w.Service, server.ID, failureLimit)
	if r.Run == refusal.Unknown {
		l.Quarantine.Crashed(quarantine.Fingerprint(w.Account, w.Service, w.body()), time.Now())
	}
}

func (l *Local) countDropped(stats *backend.StreamStats) {
	l.Metrics.Dropped(metrics.DropForeign, stats.Foreign)
	l.Metrics.Dropped(metrics.DropRepeated, stats.Repeated)
}

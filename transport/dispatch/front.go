package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/transport/metrics"
)

// Domains tells what is known of the failure domains for a service.
type Domains interface {
	Domains(service string) []routing.Domain
}

// Front runs the requests of callers: it charges them, chooses the failure
// domain, and is the only one that retries.
type Front struct {
	Region, Domain string
	Catalog        *catalog.Catalog
	Ledger         *quota.Ledger
	Retries        *retry.Budget
	Quarantine     *quarantine.List
	Known          Domains
	Local          *Local
	Forwarder      Forwarder
	Log            *slog.Logger
	Metrics        *metrics.Recorder // may be nil
}

// usage watches an answer on its way to the caller.
type usage struct {
	Sink
	frames int
	output int
	prompt int
	done   bool
}

func (u *usage) Frame(server string, f *frame.Frame) error {
	u.frames++
	u.output += f.Tokens
	if f.Finish != "" {
		u.prompt = f.PromptTokens
		u.done = true
	}
	return u.Sink.Frame(server, f)
}

// Run carries the work to a backend server and its answer to the sink. The
// error is a *refusal.Refusal, or the sink's own error.
func (f *Front) Run(ctx context.Context, account *service.Account, w *Work, sink Sink) error {
	svc := f.Catalog.Service(w.Service)
	if svc == nil {
		return refusal.New(refusal.CodeNotFound, "no service %q", w.Service)
	}
	fingerprint := quarantine.Fingerprint(w.Account, w.Service, w.body())
	if until, refused := f.Quarantine.Refused(fingerprint, time.Now()); refused {
		return refusal.New(refusal.CodeQuarantined, "this request crashed backend servers").After(time.Until(until))
	}
	cost := w.Cost(svc)
	if refused := f.charge(account, cost); refused != nil {
		return refused
	}
	watched := &usage{Sink: sink}
	err := f.attempts(ctx, svc, w, watched)
	f.settle(account, w, watched, cost, err)
	return err
}

func (f *Front) attempts(ctx context.Context, svc *service.Service, w *Work, u *usage) error {
	f.Retries.Request(svc)
	rng := newRand()
	request := &routing.Request{Service: svc, Home: w.Home, Hop: w.Hop, Exclude: make(map[string]bool)}
	for w.Attempt = 1; ; w.Attempt++ {
		err := f.attempt(ctx, request, w, u)
		if err == nil || ctx.Err() != nil {
			return f.final(ctx, err)
		}
		refused := refusal.From(err)
		if u.frames > 0 {
			return refused.WithRun(refusal.Ran)
		}
		if !retry.Retryable(refused, w.Repeatable(svc)) {
			return err
		}
		wait, ok := f.Retries.Take(svc, w.Attempt, time.Until(w.Deadline), rng)
		if !ok {
			return err
		}
		f.Metrics.Retried(w.Service)
		time.Sleep(wait)
	}
}

// final prefers the reason for which the request was cut, such as a withdrawn key.
func (f *Front) final(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if cause := context.Cause(ctx); cause != nil && cause != ctx.Err() {
		return refusal.From(cause)
	}
	return refusal.New(refusal.CodeDeadline, "the request ran out of time").WithRun(refusal.Unknown)
}

func (f *Front) attempt(ctx context.Context, request *routing.Request, w *Work, sink Sink) error {
	domains := f.Known.Domains(w.Service)
	i := routing.ChooseDomain(request, f.Region, f.Domain, domains)
	if i < 0 {
		return refusal.New(refusal.CodeNoServer, "no failure domain can take the request").After(noServerRetry)
	}
	chosen := domains[i]
	if chosen.Name == f.Domain {
		return f.Local.Run(ctx, w, sink)
	}
	f.countForward(w, chosen)
	next := *w
	next.Hop = w.Hop + 1
	err := f.Forwarder.Forward(ctx, chosen.Peer, &next, sink)
	if err != nil && refusal.From(err).Code == refusal.CodePeerUnreachable {
		request.Exclude[chosen.PeerID] = true
	}
	return err
}

func (f *Front) countForward(w *Work, chosen routing.Domain) {
	scope := metrics.ScopeRegion
	if chosen.Region != f.Region {
		scope = metrics.ScopeSpill
	}
	f.Metrics.Forwarded(w.Service, scope)
}

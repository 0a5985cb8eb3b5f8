package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/transport/metrics"
)

// Domains tells what is known of the failure domains for a service.
type Domains interface {
	// Local returns the own failure domain as it is now.
	Local(service string) routing.Domain
	// Peers returns the other live instances, those of the own failure domain
	// included. The slice is shared and not to be changed.
	Peers(service string) []routing.Domain
}

// Front runs the requests of callers: it charges them, chooses the failure
// domain, and is the only one that retries.
type Front struct {
	Region, Domain string
	Catalog        *catalog.Catalog
	Ledger         *quota.Ledger
	Retries        *retry.Budget
	Quarantine     *quarantine.List
	Domains        Domains
	Router         *routing.Router
	Local          *LocalDispatcher
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

// restart tells whether the answer may begin anew: nothing of it has reached the
// caller.
func (u *usage) restart() bool {
	if u.frames == 0 {
		return true
	}
	sink, ok := u.Sink.(Restarter)
	if !ok || !sink.Restart() {
		return false
	}
	*u = usage{Sink: u.Sink}
	return true
}

// Run carries the work to a backend server and its answer to the sink. The
// error is a *refusal.Refusal, or the sink's own error.
func (f *Front) Run(ctx context.Context, account *service.Account, w *Work, sink Sink) error {
	svc := f.Catalog.Service(w.Service)
	if svc == nil {
		return refusal.New(refusal.CodeNotFound, "no service %q", w.Service)
	}
	if until, refused := f.Quarantine.Quarantined(w.identity(), time.Now()); refused {
		return quarantined(until)
	}
	cost := w.Cost(svc)
	charge, refused := f.charge(ctx, account, w, cost)
	if refused != nil {
		return refused
	}
	watched := &usage{Sink: sink}
	err := f.attempts(ctx, svc, w, watched)
	f.settle(charge, w, watched, err)
	return err
}

func (f *Front) attempts(ctx context.Context, svc *service.Service, w *Work, u *usage) error {
	f.Retries.RecordRequest(svc)
	rng := newRand()
	request := f.request(svc, w)
	run := refusal.NotRun
	var last *refusal.Refusal
	for w.Attempt = 1; ; w.Attempt++ {
		sent := time.Now()
		err := f.attempt(ctx, request, w, u)
		if err == nil {
			return nil
		}
		own := refusal.From(err)
		if own.Code == refusal.CodeNoServer && last != nil {
			return last // nowhere else to go: the first reason and its time to come back stand
		}
		run = worse(run, own.Run)
		if u.frames > 0 {
			run = refusal.Ran
		}
		refused := own.WithRun(run)
		if ctx.Err() != nil {
			return f.cut(ctx, refused)
		}
		if !u.restart() || !retry.Retryable(own, w.Repeatable(svc)) {
			return refused
		}
		wait, ok := f.Retries.Take(svc, refused.Code, w.Attempt, time.Until(w.Deadline), rng)
		if !ok {
			return refused
		}
		if refused.Code == refusal.CodeOverloaded {
			w.MaxWait = max(w.MaxWait-time.Since(sent), 0)
		}
		f.Metrics.RecordRetry(w.Service)
		if !pause(ctx, wait) {
			return f.cut(ctx, refused)
		}
		last = refused
	}
}

// request is what routing needs to know of the work.
func (f *Front) request(svc *service.Service, w *Work) *routing.Request {
	r := &routing.Request{
		Service: svc, Account: xxhash.Sum64String(w.Account), HomeRegion: w.Home, Hop: w.Hop,
		Bulk: w.Class == service.ClassBulk, Exclude: make(map[string]bool),
	}
	if w.Generation != nil {
		r.PromptTokens = tokens.Estimate(w.Generation.Prompt)
	}
	return r
}

// worse returns what is known after two attempts. Without it a request that may
// have run in its first attempt and was refused in the second would be reported
// as not run, and its caller would send it again.
func worse(a, b refusal.Run) refusal.Run {
	switch {
	case a == refusal.Ran || b == refusal.Ran:
		return refusal.Ran
	case a == refusal.Unknown || b == refusal.Unknown:
		return refusal.Unknown
	}
	return refusal.NotRun
}

// cut prefers the reason for which the request was cut, such as a withdrawn key.
func (f *Front) cut(ctx context.Context, refused *refusal.Refusal) error {
	if cause := context.Cause(ctx); cause != nil && cause != ctx.Err() {
		return refusal.From(cause)
	}
	return refusal.New(refusal.CodeDeadline, "the request ran out of time").WithRun(refused.Run)
}

// pause waits, and tells whether the request goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Front) attempt(ctx context.Context, request *routing.Request, w *Work, sink Sink) error {
	chosen := f.choose(request, w)
	if chosen == nil {
		return refusal.New(refusal.CodeNoServer, "no failure domain can take the request").After(noServerRetry)
	}
	if chosen.PeerAddress == "" {
		err := f.Local.Run(ctx, w, sink)
		f.exclude(request, chosen, err)
		return err
	}
	f.countForward(w, chosen)
	next := *w
	next.Hop = w.Hop + 1
	err := f.Forwarder.Forward(ctx, chosen.PeerAddress, &next, sink)
	f.exclude(request, chosen, err)
	return err
}

func (f *Front) countForward(w *Work, chosen *routing.Domain) {
	scope := metrics.ScopeRegion
	if chosen.Region != f.Region {
		scope = metrics.ScopeSpill
	}
	f.Metrics.RecordForward(w.Service, scope)
}

func (f *Front) choose(request *routing.Request, w *Work) *routing.Domain {
	own, others := f.Domains.Local(w.Service), f.Domains.Peers(w.Service)
	fingerprint := w.identity()
	w.designated = f.Quarantine.Suspected(fingerprint, time.Now())
	if w.designated {
		return routing.Designate(request, xxhash.Sum64String(fingerprint), &own, others)
	}
	return f.Router.ChooseDomain(request, &own, others)
}

// exclude keeps the request's next attempt from a domain that refused it or an
// instance that cannot be reached.
func (f *Front) exclude(request *routing.Request, d *routing.Domain, err error) {
	if err == nil {
		return
	}
	switch refusal.From(err).Code {
	case refusal.CodePeerUnreachable, refusal.CodeLeaving:
		request.Exclude[d.PeerID] = true
	case refusal.CodeOverloaded, refusal.CodeNoServer:
		request.Exclude[d.Name] = true
	}
}

package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

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

// Domains provides the known state of the failure domains for a service.
type Domains interface {
	// Local returns the current state of the local failure domain.
	Local(service string) routing.Domain
	// Peers returns the other live instances, including those of the local failure domain.
	// The slice is shared and must not be modified.
	Peers(service string) []routing.Domain
}

// Front runs the requests of callers: it charges them, chooses the failure domain, and
// retries. No other component retries.
type Front struct {
	Region, Domain string
	Catalog        *catalog.Catalog
	Ledger         *quota.Ledger
	Retries        *retry.Budget
	Quarantine     *quarantine.List  // of suspects
	Parts          *quarantine.Parts // may be nil
	Domains        Domains
	Router         *routing.Router
	Local          *LocalDispatcher
	Forwarder      Forwarder
	Log            *slog.Logger
	Metrics        *metrics.Recorder // may be nil
	Ending         *Ending           // may be nil
}

// usage counts the tokens of an answer on its way to the caller.
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

// restart reports whether the answer may start over, because nothing of it has reached the
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

// Run sends the work to a backend server and its answer to the sink. The error is a
// *refusal.Refusal or the error of the sink.
func (f *Front) Run(ctx context.Context, account *service.Account, w *Work, sink Sink) error {
	svc := f.Catalog.Service(w.Service)
	if svc == nil {
		return refusal.New(refusal.CodeNotFound, "no service %q", w.Service)
	}
	if refused := f.checkQuarantine(w); refused != nil {
		return refused
	}
	cost := w.Cost(svc)
	charge, refused := f.charge(ctx, account, w, cost)
	if refused != nil {
		return refused
	}
	counted := &usage{Sink: sink}
	err := f.runAttempts(ctx, svc, w, counted)
	f.settle(charge, w, counted, err)
	if w.Trial && err != nil && refusal.FromError(err).RunState == refusal.NotRun {
		f.Parts.AbandonTrial(w.suspects())
	}
	return err
}

func (f *Front) runAttempts(ctx context.Context, svc *service.Service, w *Work, u *usage) error {
	if refused := f.Ending.check(w); refused != nil {
		return refused
	}
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
		current := refusal.FromError(err)
		if current.Code == refusal.CodeNoServer && last != nil {
			return f.withoutAlternative(ctx, svc, w, last)
		}
		run = combineRun(run, current.RunState)
		if u.frames > 0 {
			run = refusal.Ran
		}
		refused := current.WithRunState(run)
		if ctx.Err() != nil {
			return f.cancelError(ctx, refused)
		}
		if leaving := f.Ending.check(w); leaving != nil && run == refusal.NotRun {
			return leaving
		}
		if w.Trial || f.Parts.Banned(w.suspects(), time.Now()) {
			return refused
		}
		if !u.restart() || !retry.Retryable(current, repeatable(svc, w, current)) {
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
		if !sleep(ctx, wait) {
			return f.cancelError(ctx, refused)
		}
		if leaving := f.Ending.check(w); leaving != nil && run == refusal.NotRun { // the instance began to leave meanwhile
			return leaving
		}
		last = refused
	}
}

// withoutAlternative returns the refusal of work for which no other server is left: the previous reason with its retry time, or that the
// lost peer has claimed it.
func (f *Front) withoutAlternative(ctx context.Context, svc *service.Service, w *Work, last *refusal.Refusal) *refusal.Refusal {
	if last.Code == refusal.CodePeerUnreachable && w.Claimed(svc) {
		if standing := f.Local.standingClaim(ctx, w); standing != nil {
			return standing.WithRunState(combineRun(last.RunState, standing.RunState))
		}
	}
	return last
}

// repeatable reports whether a refused attempt may be followed by another one although it may have run. Claimed work whose peer was lost
// may: if the peer had claimed it, another one refuses it as a duplicate.
func repeatable(svc *service.Service, w *Work, refused *refusal.Refusal) bool {
	return w.Repeatable(svc) || refused.Code == refusal.CodePeerUnreachable && w.Claimed(svc)
}

// checkQuarantine refuses work that crashes servers, or with a part in its prompt that does.
func (f *Front) checkQuarantine(w *Work) *refusal.Refusal {
	verdict, wait := f.Parts.Admit(w.suspects(), time.Now())
	w.Trial = verdict == quarantine.Trial
	if verdict == quarantine.Refused {
		return quarantined(wait)
	}
	return nil
}

func quarantined(wait time.Duration) *refusal.Refusal {
	return refusal.New(refusal.CodeQuarantined, "this request, or requests with a part of its prompt, crashed backend servers").WithRetryAfter(wait)
}

// request returns the inputs of routing for the work.
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

// combineRun returns the run state of a request after two attempts. Without it a request
// that may have run in its first attempt and was refused in the second would be reported
// as not run, and its caller would send it again.
func combineRun(a, b refusal.RunState) refusal.RunState {
	switch {
	case a == refusal.Ran || b == refusal.Ran:
		return refusal.Ran
	case a == refusal.RunUnknown || b == refusal.RunUnknown:
		return refusal.RunUnknown
	}
	return refusal.NotRun
}

// cancelError prefers the cause for which the request was cancelled, such as a withdrawn
// key. The cause does not know whether the request ran, the refusal does.
func (f *Front) cancelError(ctx context.Context, refused *refusal.Refusal) error {
	if cause := context.Cause(ctx); cause != nil && cause != ctx.Err() {
		return refusal.FromError(cause).WithRunState(refused.RunState)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return refusal.New(refusal.CodeIncomplete, "the caller closed its connection").WithRunState(refused.RunState)
	}
	return refusal.New(refusal.CodeDeadline, "the request ran out of time").WithRunState(refused.RunState)
}

// sleep waits for d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
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
	chosen := f.chooseOrAwait(ctx, request, w)
	if chosen == nil {
		return refusal.New(refusal.CodeNoServer, "no failure domain can take the request").WithRetryAfter(noServerRetry)
	}
	if chosen.PeerAddress == "" {
		err := f.Local.Run(ctx, w, sink)
		f.exclude(request, chosen, err)
		return err
	}
	f.countForward(w, chosen)
	next := *w
	next.Hop = w.Hop + 1
	next.domain = chosen.Name
	err := f.Forwarder.Forward(ctx, chosen.PeerAddress, &next, sink)
	f.exclude(request, chosen, err)
	if err == nil && w.Trial {
		f.Parts.RecordWholeAnswer(w.quarantineKey(), time.Now()) // the next trial waits for it here
	}
	return err
}

func (f *Front) countForward(w *Work, chosen *routing.Domain) {
	scope := metrics.ScopeRegion
	if chosen.Region != f.Region {
		scope = metrics.ScopeSpill
	}
	f.Metrics.RecordForward(w.Service, scope)
}

// chooseOrAwait chooses a failure domain. If there is none, it waits for the first poll of a listed server of the local one:
// to an instance that has just started the service has no server anywhere, as it forwards nothing within its domain.
func (f *Front) chooseOrAwait(ctx context.Context, request *routing.Request, w *Work) *routing.Domain {
	chosen := f.choose(request, w)
	if chosen != nil || f.Local.hasServer(request.Service) || !f.Local.awaitServer(ctx, request.Service) {
		return chosen
	}
	return f.choose(request, w)
}

func (f *Front) choose(request *routing.Request, w *Work) *routing.Domain {
	local, peers := f.Domains.Local(w.Service), f.Domains.Peers(w.Service)
	fingerprint := w.quarantineKey()
	w.designated = f.Quarantine.Suspected(fingerprint, time.Now())
	if w.designated {
		return routing.Designate(request, xxhash.Sum64String(fingerprint), &local, peers)
	}
	return f.Router.ChooseDomain(request, &local, peers)
}

// exclude excludes from the request's further attempts a domain that refused it or an
// instance that is unreachable.
func (f *Front) exclude(request *routing.Request, d *routing.Domain, err error) {
	if err == nil {
		return
	}
	switch refusal.FromError(err).Code {
	case refusal.CodePeerUnreachable, refusal.CodeLeaving:
		request.Exclude[d.PeerID] = true
	case refusal.CodeOverloaded, refusal.CodeNoServer:
		request.Exclude[d.Name] = true
	}
}

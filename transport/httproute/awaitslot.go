package httproute

import (
	"context"
	"net/url"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/waitqueue"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/routes"
)

const (
	// onTimeFraction is the fraction of the objective after which a waiting request starts too late
	// to be on time: the rest is for its way and its prompt.
	onTimeFraction = 0.8
	// maxWaitFraction is the maximum fraction of the time until its deadline that a request may
	// wait: the rest is for the response.
	maxWaitFraction = 0.5
	// maxWaitObjectives times the objective is the longest wait. Callers give up a stream that has
	// not begun after four objectives; the rest is for its first event.
	maxWaitObjectives = 3
	// firstAttemptFraction is the fraction of the route's timeout that callers have left at least
	// when they come for the first time.
	firstAttemptFraction = 0.8
	// honoredFraction is the fraction of the time that callers have left up to which they honor a
	// Retry-After.
	honoredFraction = 1.0 / 3
)

// mayWait reports whether requests of a service and urgency wait for a slot.
func mayWait(config *routes.Config, set features.Set, service string, urgency int) bool {
	if config == nil || !set.On(features.WaitForSlot) || !set.On(features.UrgentFirst) {
		return false
	}
	precedence := config.Precedence(service)
	return precedence.Enforced && !precedence.Urgent(urgency)
}

// waitBounds returns how long a request may wait.
func waitBounds(work *placement.Request, body []byte) waitqueue.Request {
	wait := min(scale(work.Deadline.Sub(work.Arrived), maxWaitFraction), maxWaitObjectives*work.Objective)
	return waitqueue.Request{
		Cost: float64(work.Tokens), Bytes: len(body),
		OnTime: work.Arrived.Add(scale(work.Objective, onTimeFraction)), Latest: work.Arrived.Add(wait),
	}
}

func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// elapsed returns for how long the caller of a request has been trying, as far as that shows in what
// it has left of the route's timeout; 0 for a first attempt.
func (r *request) elapsed() time.Duration {
	timeout := r.route.Timeout
	if r.CallerTimeout <= 0 || timeout <= 0 || r.CallerTimeout >= scale(timeout, firstAttemptFraction) {
		return 0
	}
	return timeout - r.CallerTimeout
}

// awaitSlot lets a request wait that no server takes now. refused says why. It returns what choose returns.
func (f *Front) awaitSlot(ctx context.Context, r *request, refused *failure) (placement.Choice, *Remote, *failure) {
	r.triedRegions = nil // a region that was full may have room by now
	var choice placement.Choice
	var remote *Remote
	waiting := f.waitBounds(r)
	joined := time.Now()
	steps := len(r.trace)
	try := func(now time.Time, o tryOptions) (tryResult, *failure) {
		if outdated := f.applyConfig(r); outdated != nil {
			return notPlaced, outdated
		}
		if f.partsBanned(r, now) {
			return notPlaced, &failure{run: runNotRun, reason: reasonQuarantine, retryAfter: quarantine.TrialInterval}
		}
		var unplaced *failure
		choice, remote, unplaced = f.choose(r, now, chooseOptions{acceptLate: o.late || r.begun(), skipLocal: !o.local})
		switch {
		case unplaced == nil && remote != nil:
			return placedRemotely, nil
		case unplaced == nil:
			return placedLocally, nil
		}
		r.trace = r.trace[:steps] // there are tries by the thousand
		if unplaced.worthWaiting() {
			return notPlaced, nil
		}
		return notPlaced, unplaced
	}
	failed := f.Local.Waiting.awaitAs(ctx, r.service, waiting, &waiter{try: try, begun: r.begun()})
	r.record(eventWaited, "waited_ms", time.Since(joined).Milliseconds(), "placed", failed == nil, "returned", waiting.Returned,
		"late", time.Now().After(waiting.OnTime))
	f.Metrics.returned(r.service, waiting.Returned, failed == nil)
	if failed == nil {
		return choice, remote, nil
	}
	if failed.reason == reasonLoad && refused.reason != reasonLoad {
		failed.reason = refused.reason
	}
	return placement.Choice{}, nil, failed
}

// worthWaiting reports whether a request that was refused may be placed as soon as a slot is free.
func (f *failure) worthWaiting() bool { return f.reason == reasonLoad || f.reason == reasonCold }

// applyConfig applies the configuration in force to a waiting request. It returns the failure of a
// request that may not run by it. A stream of which the caller has events ends under the version under
// which it began: what follows has to come from the same service.
func (f *Front) applyConfig(r *request) *failure {
	config := f.Routes.Current()
	if config == r.config || r.begun() {
		return nil
	}
	target, err := url.ParseRequestURI(r.target)
	if err != nil {
		return &failure{run: runNotRun, reason: reasonNoRoute}
	}
	route := config.Match(r.host, target.Path)
	if route == nil {
		return &failure{run: runNotRun, reason: reasonNoRoute}
	}
	var account *routes.Account
	if len(config.Accounts) > 0 && !route.Public {
		if account = config.Authenticate(r.Key); account == nil {
			return &failure{run: runNotRun, reason: reasonKey}
		}
	}
	if !slices.ContainsFunc(route.Targets, func(t routes.Target) bool { return t.Service == r.service }) {
		return &failure{run: runNotRun, reason: reasonNoServer}
	}
	if homes, anywhere := routes.AllowedRegions(route, account); !anywhere && len(homes) == 0 {
		return &failure{run: runNotRun, reason: reasonResidency, retryAfter: residencyRetryAfter}
	}
	r.config, r.route, r.account = config, route, account
	r.work.Urgency = f.precedence(r).Rank(route, account)
	return nil
}

// begun reports whether the caller has events of the response.
func (r *request) begun() bool { return r.gaps.events > 0 }

// waitBounds returns how long the request of a caller may wait. A caller that returns has used its objective
// already, and waits for a late response. It has been told when to return if it returns before it
// would come in any case. A stream that has begun may wait until its deadline, because a refusal would cut it.
func (f *Front) waitBounds(r *request) waitqueue.Request {
	out := waitBounds(&r.work, r.body)
	if r.account != nil {
		out.Account, out.Weight = r.account.Name, r.account.Rate
	}
	if r.begun() {
		out.OnTime, out.Latest = r.deadline, r.deadline
		return out
	}
	timeout := r.route.Timeout
	if r.CallerTimeout <= 0 || timeout <= 0 {
		return out
	}
	begun := r.arrived.Add(r.CallerTimeout - timeout)
	out.ReturnFrom = begun.Add(scale(timeout, 1-firstAttemptFraction))
	out.ReturnUntil = begun.Add(scale(timeout, honoredFraction))
	if elapsed := r.elapsed(); elapsed > 0 {
		out.Returned = r.arrived.Before(out.ReturnUntil)
		out.OnTime = out.OnTime.Add(-elapsed)
	}
	return out
}

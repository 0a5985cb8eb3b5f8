package httproute

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/state/routes"
)

// maxTries bounds the attempts of one request, including those that reached no server and
// are not counted as sends.
const maxTries = 4

// attemptAll runs attempts until the caller has a response or no attempt is left. Only the
// instance that the caller is connected to retries.
func (f *Front) attemptAll(ctx context.Context, w http.ResponseWriter, r *request) *failure {
	out := newDelivery(w, f.Memory, r)
	out.onFirstEvents = func(rep *reply) { f.recordBuild(r, rep) }
	out.handover.enable(ctx, f)
	defer out.close()
	var last *failure
	for {
		reply, failed := f.attempt(ctx, r, out)
		if failed == nil {
			failed = f.deliver(ctx, r, out, reply)
		}
		if failed == nil {
			f.streamEnded(ctx, r)
			return nil
		}
		if failed.reason == reasonNoServer && last != nil {
			failed = last // no alternative is left: keep the previous reason
		}
		failed.run = combineRun(last, failed)
		last = failed
		if ctx.Err() != nil {
			return f.endCancelled(ctx, out, failed)
		}
		if !f.mayRetry(r, out, failed) {
			f.shortenRetryAfter(r, failed)
			return f.endFailed(out, failed)
		}
		f.Metrics.retried(r.service)
		r.record(eventRetried, "reason", string(failed.reason), "run", string(failed.run), "server", failed.server,
			"attempts", r.sends, "last_event", out.events.lastID)
	}
}

// combineRun returns the run state of a request after another attempt. A previous state
// other than not run takes precedence.
func combineRun(previous, latest *failure) runState {
	if previous != nil && previous.run != runNotRun {
		return previous.run
	}
	return latest.run
}

// mayRetry reports whether another attempt may follow.
func (f *Front) mayRetry(r *request, out *delivery, failed *failure) bool {
	switch {
	case r.tries >= maxTries, r.trial && failed.sent, failed.reason == reasonQuarantine, failed.reason == reasonDeadline:
		return false
	case failed.reason == reasonNoRoute, failed.reason == reasonKey, failed.reason == reasonResidency:
		return false // a new configuration excludes it
	case failed.run != runNotRun && !r.route.Repeatable():
		return false
	case !out.started && f.mayOutlastInstance(r):
		return false // its caller can go to another instance
	case out.started && !(r.route.Resumable && r.requiredBuild().Known):
		return false
	case failed.reason == reasonNoServer, failed.reason == reasonLoad, failed.reason == reasonCold:
		return failed.remote // another region may have capacity
	case !failed.sent:
		return true // it reached no server, so nothing runs twice
	case r.sends >= max(r.route.MaxAttempts, 1):
		return false
	}
	return f.reserveRetry(r)
}

// reserveRetry takes a retry from the fleet's budget.
func (f *Front) reserveRetry(r *request) bool {
	fleet, _ := f.Remotes.InstanceCounts()
	return f.Retries.Take(r.service, fleet, time.Now())
}

// hasAlternative reports whether a server other than those tried can be used.
func (f *Front) hasAlternative(r *request, work *placement.Request, tried []string) bool {
	homes, anywhere := routes.AllowedRegions(r.route, r.account)
	if anywhere || slices.Contains(homes, f.Region) {
		if _, ok := f.Local.Pool(r.service).ExpectedFirstByte(work, time.Now()); ok {
			return true
		}
	}
	return f.bestRemote(r, tried, homes, anywhere) != nil
}

// endFailed ends a request that cannot be retried, with the server's own error response if
// there is one and with one of this instance otherwise. A response that has started is
// aborted, so that it does not look complete.
func (f *Front) endFailed(out *delivery, failed *failure) *failure {
	if out.started {
		failed.responseStarted = true
		return failed
	}
	if out.held != nil {
		out.writeHeld()
		return nil
	}
	return failed
}

// endCancelled ends a request whose caller has disconnected or whose deadline has passed.
func (f *Front) endCancelled(ctx context.Context, out *delivery, failed *failure) *failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failed.reason = reasonDeadline
	}
	return f.endFailed(out, failed)
}

// attempt sends the request to one server, in the local region or through a peer in
// another one.
func (f *Front) attempt(ctx context.Context, r *request, out *delivery) (*reply, *failure) {
	r.tries++
	r.work.Build = r.requiredBuild()
	now := time.Now()
	if r.tries == 1 {
		f.Metrics.stepEnded(r.service, stepAdmission, now.Sub(r.arrived))
	}
	if r.tries > 1 && f.partsBanned(r, now) {
		return nil, &failure{run: runNotRun, reason: reasonQuarantine, retryAfter: quarantine.TrialInterval}
	}
	choice, remote, refused := f.chooseOrWait(ctx, r, now)
	if refused != nil {
		return nil, refused
	}
	s := f.newSend(ctx, r, choice, remote, out.events.lastID)
	s.out.shouldAbort = out.handover.check()
	rep, failed := s.exchange()
	if failed == nil && !r.usable(rep) {
		r.recordServer(rep)
		return rep, nil // deliver settles: a try that runs may still respond
	}
	next, tried := out.handover.settle(failed != nil)
	s.finish(failed)
	if failed != nil {
		failed = combine(tried, failed)
		if next == nil {
			return nil, failed
		}
		rep = next
	}
	r.recordReply(out, rep)
	return rep, nil
}

// deliver writes the response of a server, and of those that take its place while it is silent.
func (f *Front) deliver(ctx context.Context, r *request, out *delivery, rep *reply) *failure {
	for {
		failed := out.deliver(ctx, rep)
		next, tried := out.handover.settle(failed != nil)
		if failed == nil {
			return nil
		}
		if next == nil {
			return combine(tried, failed)
		}
		r.recordReply(out, next)
		rep = next
	}
}

// recordReply records the server whose response the caller gets next. No try may run.
func (r *request) recordReply(out *delivery, rep *reply) {
	r.recordServer(rep)
	if out.started {
		r.record(eventResumed, "server", rep.server, "after_event", out.events.lastID)
	}
}

// recordServer records the server that has responded.
func (r *request) recordServer(rep *reply) {
	r.server = rep.server
	if r.firstByte == 0 {
		r.firstByte = time.Since(r.arrived)
	}
}

// chooseOrWait chooses where a request is sent. One that no server takes now may wait for a slot, and a stream that has begun
// always does.
func (f *Front) chooseOrWait(ctx context.Context, r *request, now time.Time) (placement.Choice, *Remote, *failure) {
	resumes := r.begun() && f.Local.Waiting != nil // a refusal would cut it
	if !resumes && !mayWait(r.config, f.Features, r.service, r.work.Urgency) {
		return f.choose(r, now, chooseOptions{acceptLate: true})
	}
	r.work.Waits = true
	choice, remote, refused := f.choose(r, now, chooseOptions{acceptLate: true, skipLocal: !f.Local.Waiting.mayStart(r.service, now)})
	switch {
	case refused == nil:
		f.Local.Waiting.recordStart(r.service, remote == nil, now)
		return choice, remote, nil
	case !resumes && (r.hasWaited || f.Leaving()), !refused.worthWaiting():
		return choice, remote, refused
	}
	r.hasWaited = true
	return f.awaitSlot(ctx, r, refused)
}

// attemptContext returns the context of one attempt. A request that may not be retried
// runs to completion after its caller has disconnected: it may have taken effect, and
// nobody would know its outcome if it were aborted.
func (f *Front) attemptContext(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	if r.route.Kind == routes.KindNonIdempotent {
		ctx, endDeadline := context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
		ctx, cancel := f.untilExit(ctx)
		return ctx, func() {
			cancel()
			endDeadline()
		}
	}
	return context.WithCancel(ctx)
}

func (r *request) outbound(lastEventID string) *outbound {
	if lastEventID == "" {
		lastEventID = r.LastEventID
	}
	work := r.work // changes when another server is tried while this one is silent
	return &outbound{
		id: r.RequestID, service: r.service, account: r.accountName(), method: r.method, target: r.target, host: r.host,
		header: r.header, body: r.body, work: &work, deadline: r.deadline, repeatable: r.route.Repeatable(),
		print: r.print, parts: r.parts, trial: r.trial, lastEventID: lastEventID, config: r.config.Version,
	}
}

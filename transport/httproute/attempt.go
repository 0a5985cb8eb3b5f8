package httproute

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/routes"
)

// maxTries bounds the attempts of one request, those included that reached no
// server and so do not count as sent.
const maxTries = 4

// attemptAll runs a request until its caller has an answer or nothing is left to
// try. Only the instance that the caller talks to retries.
func (f *Front) attemptAll(ctx context.Context, w http.ResponseWriter, r *request) *failure {
	out := newDelivery(w, r)
	var last *failure
	for {
		reply, failed := f.attempt(ctx, r, out)
		if failed == nil {
			failed = out.take(ctx, reply)
		}
		if failed == nil {
			return nil
		}
		if failed.reason == reasonNoServer && last != nil {
			failed = last // nowhere else to go: the first reason stands
		}
		failed.run = worse(last, failed)
		last = failed
		if ctx.Err() != nil {
			return f.abandon(ctx, out, failed)
		}
		if !f.again(r, out, failed) {
			return f.giveUp(out, failed)
		}
		f.Metrics.retried(r.service)
		r.note(eventRetried, "reason", string(failed.reason), "run", string(failed.run), "server", failed.server,
			"attempts", r.attempts, "last_event", out.events.lastID)
	}
}

// worse returns what is known of a request after two attempts.
func worse(before, now *failure) run {
	if before != nil && before.run != notRun {
		return before.run
	}
	return now.run
}

// again tells whether another attempt may follow.
func (f *Front) again(r *request, out *delivery, failed *failure) bool {
	switch {
	case r.tries >= maxTries, failed.reason == reasonQuarantine, failed.reason == reasonDeadline:
		return false
	case failed.run != notRun && !r.route.Repeatable():
		return false
	case out.begun && !r.route.Resumable:
		return false
	case failed.reason == reasonNoServer, failed.reason == reasonLoad, failed.reason == reasonCold:
		return failed.remote // another region may have room
	case !failed.sent:
		return true // it reached no server: nothing is repeated
	case r.paid.Swap(false):
		return true
	case r.attempts >= max(r.route.MaxAttempts, 1):
		return false
	}
	return f.pay(r)
}

// pay takes a repeat from the fleet's budget.
func (f *Front) pay(r *request) bool {
	fleet, _ := f.Remotes.InstanceCounts()
	return f.Retries.Take(r.service, fleet, time.Now())
}

// mayLeave returns what tells whether a silent server may be left for another: only
// when there is another one, within the route's attempts and the fleet's budget of
// repeats. Silence alone ends no answer: the server may still be at work. The repeat is
// paid for then. It is called from another goroutine than the request's.
func (f *Front) mayLeave(r *request) func() bool {
	if !r.route.Repeatable() || r.attempts+1 >= r.route.MaxAttempts {
		return func() bool { return false }
	}
	work, tried := r.work, slices.Clone(r.tried)
	work.Exclude = slices.Clone(work.Exclude)
	return func() bool {
		if !f.elsewhere(r, &work, tried) {
			return false
		}
		paid := f.pay(r)
		r.paid.Store(paid)
		return paid
	}
}

// elsewhere tells whether another server than those tried can be used.
func (f *Front) elsewhere(r *request, work *placement.Request, tried []string) bool {
	homes, anywhere := routes.AllowedRegions(r.route, r.account)
	if anywhere || slices.Contains(homes, f.Region) {
		if _, ok := f.Local.Pool(r.service).ExpectedFirstByte(work, time.Now()); ok {
			return true
		}
	}
	return f.bestRemote(r, tried, homes, anywhere) != nil
}

// giveUp ends a request that cannot be tried again: with the server's own error if
// it gave one, with ours otherwise. An answer that has begun is broken off, so that
// it does not look complete.
func (f *Front) giveUp(out *delivery, failed *failure) *failure {
	if out.begun {
		failed.begun = true
		return failed
	}
	if out.kept != nil {
		out.handOver()
		return nil
	}
	return failed
}

// abandon ends a request whose caller has gone or whose time is up.
func (f *Front) abandon(ctx context.Context, out *delivery, failed *failure) *failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failed.reason = reasonDeadline
	}
	return f.giveUp(out, failed)
}

// attempt sends the request to one server, here or through a peer.
func (f *Front) attempt(ctx context.Context, r *request, out *delivery) (*reply, *failure) {
	r.tries++
	now := time.Now()
	choice, remote, refused := f.choose(r, now)
	if refused != nil {
		return nil, refused
	}
	run, cancel := f.lifetime(ctx, r)
	o := r.outbound(out.events.lastID)
	var answer *reply
	var failed *failure
	if remote != nil {
		r.tried = append(r.tried, remote.Region)
		r.note(eventForwarded, "peer", remote.Instance, "region", remote.Region, "servers", remote.Servers,
			"expected_ms", remote.arrives().Milliseconds(), "heard_ms_ago", now.Sub(remote.ReportedAt).Milliseconds())
		f.sent.add(remote, r.service, r.PromptTokens)
		r.mayLeave = f.mayLeave(r)
		o.giveUp = r.mayLeave
		answer, failed = f.forward(run, r, o, remote)
		if failed != nil && !failed.sent && !failed.remote {
			r.tried = r.tried[:len(r.tried)-1] // another instance of the region may be there
		}
	} else {
		r.work.Exclude = append(r.work.Exclude, choice.Placement.Server.ID)
		r.note(eventPlaced, "server", choice.Placement.Server.ID, "expected_ms", choice.ExpectedFirstByte.Milliseconds(),
			"cached", choice.CachedTokens, "late", choice.Late, "fetch_from", choice.FetchFrom,
			"running", choice.Running, "backlog", choice.BacklogTokens, "pause_ms", choice.ExpectedEventGap.Milliseconds())
		r.mayLeave = f.mayLeave(r)
		o.giveUp = r.mayLeave
		answer, failed = f.Local.send(run, o, choice)
	}
	if failed == nil || failed.sent {
		r.attempts++
	}
	if failed != nil {
		cancel()
		return nil, failed
	}
	r.server = answer.server
	if r.firstByte == 0 {
		r.firstByte = time.Since(r.arrived)
	}
	if out.begun {
		r.note(eventResumed, "server", answer.server, "after_event", out.events.lastID)
	}
	ended := answer.ended
	answer.ended = func(outcome placement.Outcome) {
		cancel()
		ended(outcome)
	}
	return answer, nil
}

// lifetime returns the context of one attempt. A request that may not be repeated
// runs to its end when the caller has gone: it may have taken effect, and breaking
// it off leaves nobody who knows.
func (f *Front) lifetime(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	if r.route.Kind == routes.KindNonIdempotent {
		return context.WithDeadline(context.WithoutCancel(ctx), r.deadline)
	}
	return context.WithCancel(ctx)
}

func (r *request) outbound(lastEventID string) *outbound {
	if lastEventID == "" {
		lastEventID = r.LastEventID
	}
	return &outbound{
		id: r.RequestID, service: r.service, account: r.accountName(), method: r.method, target: r.target, host: r.host,
		header: r.header, body: r.body, work: &r.work, deadline: r.deadline, repeatable: r.route.Repeatable(),
		print: r.print, lastEventID: lastEventID, config: r.config.Version,
	}
}

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
		f.Log.Info("request_retried", "request", r.RequestID, "reason", string(failed.reason), "run", string(failed.run),
			"server", failed.server, "attempts", r.attempts, "last_event", out.events.lastID)
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
		return false
	case !failed.sent:
		return true // it reached no server: nothing is repeated
	case r.attempts >= max(r.route.MaxAttempts, 1):
		return false
	}
	fleet, _ := f.Remotes.Instances()
	return f.Retries.Take(r.service, fleet, time.Now())
}

// giveUp ends a request that cannot be tried again: with the server's own error if
// it gave one, with ours otherwise. An answer that has begun is broken off, so that
// it does not look complete.
func (f *Front) giveUp(out *delivery, failed *failure) *failure {
	if out.begun {
		failed.begun = true
		return failed
	}
	if out.kept != nil && out.handOver() {
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
		answer, failed = f.forward(run, r, o, remote)
	} else {
		r.work.Exclude = append(r.work.Exclude, choice.Placement.Server.ID)
		answer, failed = f.Local.send(run, o, choice)
	}
	if failed == nil || failed.sent {
		r.attempts++
	}
	if failed != nil {
		cancel()
		return nil, failed
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
		header: r.header, body: r.body, work: &r.work, deadline: r.deadline, repeatable: r.route.Repeatable(), last: r.attempts+1 >= max(r.route.MaxAttempts, 1),
		print: r.print, lastEventID: lastEventID, config: r.config.Version,
	}
}

// choose places the request: on a server of the own region that answers within the
// objective; else in another region that does; else late in the own, or in another.
func (f *Front) choose(r *request, now time.Time) (placement.Choice, *Remote, *failure) {
	homes, anywhere := routes.AllowedRegions(r.route, r.account)
	pool := f.Local.Pool(r.service)
	here := (anywhere || slices.Contains(homes, f.Region)) && !slices.Contains(r.tried, f.Region)
	var own placement.Choice
	own.Reason = placement.ReasonNoServer
	if here {
		r.work.OnTime = true
		if own = pool.Place(&r.work, now); own.Placement != nil {
			return own, nil, nil
		}
	}
	remote := f.bestRemote(r, homes, anywhere)
	left := r.work.Objective - now.Sub(r.arrived)
	if remote != nil && (r.work.Objective == 0 || remote.arrives() <= left || own.Reason == placement.ReasonNoServer) {
		return placement.Choice{}, remote, nil
	}
	if here && own.Reason != placement.ReasonNoServer {
		r.work.OnTime = false
		if late := pool.Place(&r.work, now); late.Placement != nil {
			return late, nil, nil
		}
	}
	return placement.Choice{}, nil, refusalOf(own)
}

func refusalOf(c placement.Choice) *failure {
	f := &failure{run: notRun, retryAfter: c.RetryAfter}
	switch c.Reason {
	case placement.ReasonCold:
		f.reason = reasonCold
	case placement.ReasonFull:
		f.reason = reasonLoad
	default:
		f.reason = reasonNoServer
	}
	return f
}

// arrives is the expected time to the first byte by way of the region.
func (r *Remote) arrives() time.Duration { return r.RoundTrip + r.Expected }

// bestRemote returns the permitted region that should answer first, or nil.
func (f *Front) bestRemote(r *request, homes []string, anywhere bool) *Remote {
	var best *Remote
	list := f.Remotes.Remotes(r.service)
	for i := range list {
		candidate := &list[i]
		permitted := anywhere || slices.Contains(homes, candidate.Region)
		if !permitted || candidate.Servers == 0 || slices.Contains(r.tried, candidate.Region) {
			continue
		}
		if best == nil || candidate.arrives() < best.arrives() {
			best = candidate
		}
	}
	return best
}

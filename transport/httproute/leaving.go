package httproute

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/durations"
)

// finalResponseTime is how long it takes at most to refuse a request whose deadline has passed.
const finalResponseTime = 100 * time.Millisecond

// mayOutlastInstance reports whether this instance is leaving and may exit before the end of a
// request that has not been sent yet.
func (f *Front) mayOutlastInstance(r *request) bool {
	left := f.TimeToShutdown()
	return left > 0 && left < f.maxDuration(r, time.Now())
}

// run sends a request that has waited for all that it needs, and measures how long it takes.
func (f *Front) run(ctx context.Context, w http.ResponseWriter, r *request) *failure {
	if f.mayOutlastInstance(r) { // it may have begun to leave meanwhile
		return stoppingFailure()
	}
	ctx, cancel := f.untilExit(ctx)
	defer cancel()
	refused := f.attemptAll(ctx, w, r)
	if refused != nil && f.exiting() {
		refused.reason = reasonStopping
	}
	f.recordDuration(ctx, r, refused)
	return refused
}

var errExit = errors.New("the instance exits")

// exiting reports whether the requests in flight are being cut. The context of an attempt may end by it before that of its
// request.
func (f *Front) exiting() bool { return f.Exit != nil && f.Exit.Err() != nil }

// untilExit returns a context that also ends when the instance exits.
func (f *Front) untilExit(ctx context.Context) (context.Context, context.CancelFunc) {
	if f.Exit == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.Exit, func() { cancel(errExit) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// maxDuration returns how long a request that is sent now takes at most: until its deadline, or
// for as long as requests of its kind have been measured to take.
func (f *Front) maxDuration(r *request, now time.Time) time.Duration {
	untilDeadline := r.arrived.Add(r.wait()).Sub(now) + finalResponseTime
	if measured, ok := f.durations.Upper(r.kind(), now); ok {
		return min(untilDeadline, measured)
	}
	return untilDeadline
}

// recordDuration records how long a request took from its first attempt. One that failed or
// whose caller disconnected does not show how long requests take to complete, but that they
// take that long at least.
func (f *Front) recordDuration(ctx context.Context, r *request, refused *failure) {
	if r.firstSent.IsZero() {
		return
	}
	now := time.Now()
	complete := refused == nil && ctx.Err() == nil
	f.durations.Record(r.kind(), now.Sub(r.firstSent), complete, now)
}

// kind returns the kind by which the duration of a request is measured.
func (r *request) kind() durations.Kind {
	return durations.KindOf(r.route.Name, r.service, r.OutputTokens)
}

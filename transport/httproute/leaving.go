package httproute

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// finalResponseTime is how long it takes at most to refuse a request whose deadline has passed.
const finalResponseTime = 100 * time.Millisecond

// mayOutlastInstance reports whether this instance is leaving and may exit before the end of a
// request that has not been sent yet. Only its deadline bounds a request: how long those before it took
// proves nothing, and a request that the exit cuts off may have taken effect.
func (f *Front) mayOutlastInstance(r *request) bool {
	left := f.TimeToShutdown()
	return left > 0 && left < time.Until(r.end())+finalResponseTime
}

// end returns the request's deadline, which a later configuration doesn't move, also before it is set.
func (r *request) end() time.Time {
	if r.deadline.IsZero() {
		return r.arrived.Add(r.wait())
	}
	return r.deadline
}

// run sends a request that has waited for all that it needs.
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

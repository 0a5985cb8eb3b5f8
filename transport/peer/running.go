package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// attemptRetention is the minimum time that a forwarded attempt is remembered. grpc resends a
// request within moments, if at all.
const attemptRetention = time.Minute

// attempt identifies one attempt of a request.
type attempt struct {
	requestID string
	number    int
}

// runningForward is a forwarded request that runs on this instance.
type runningForward struct {
	attempt attempt
	ctx     context.Context // of the run
	cancel  context.CancelCauseFunc
}

// forwardTable holds the forwarded requests that run on this instance, so that they can be
// cancelled, and the attempts received recently, so that none runs twice.
type forwardTable struct {
	mu        sync.Mutex
	current   map[attempt]*runningForward
	seen      map[attempt]struct{} // received since rotatedAt
	previous  map[attempt]struct{} // received in the period before rotatedAt
	rotatedAt time.Time
}

// begin registers work.
//
// It refuses an attempt that it has already received: grpc may resend a request when a
// connection ends, even with retries disabled, and a purchase order would run twice.
// Remembering recent attempts suffices because such a resend is immediate and goes to the
// same peer. Resuming a stream does not run the request again, so it is admitted.
func (r *forwardTable) begin(ctx context.Context, w *dispatch.Work, cancel context.CancelCauseFunc, now time.Time) (*runningForward, *refusal.Refusal) {
	f := &runningForward{attempt{w.RequestID, w.Attempt}, ctx, cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	_, seen := r.seen[f.attempt]
	_, seenEarlier := r.previous[f.attempt]
	if (seen || seenEarlier) && !isResume(w) {
		return nil, refusal.New(refusal.CodeConflict, "this attempt was sent here before").WithRunState(refusal.RunUnknown)
	}
	r.seen[f.attempt] = struct{}{}
	r.current[f.attempt] = f
	return f, nil
}

func isResume(w *dispatch.Work) bool {
	return w.Generation != nil && w.Generation.FromSeq > 0
}

func (r *forwardTable) rotate(now time.Time) {
	if r.current == nil {
		r.current = make(map[attempt]*runningForward)
	}
	if r.seen == nil || now.Sub(r.rotatedAt) > attemptRetention {
		r.previous, r.seen, r.rotatedAt = r.seen, make(map[attempt]struct{}), now
	}
}

// end removes a request. If its attempt has been resumed on this instance in the meantime, the
// newer entry stays.
func (r *forwardTable) end(f *runningForward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current[f.attempt] == f {
		delete(r.current, f.attempt)
	}
}

// cancel cancels a running request and reports whether there was one. A run that was detached
// before ends without cancelling its generation, so it does not count.
func (r *forwardTable) cancel(requestID string, number int, cause error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.current[attempt{requestID, number}]
	if !ok {
		return false
	}
	f.cancel(cause)
	return !errors.Is(context.Cause(f.ctx), dispatch.ErrDetached)
}

package peer

import (
	"context"
	"sync"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// rememberFor is at least how long a forwarded request is remembered. grpc
// sends a request again within moments, if at all.
const rememberFor = time.Minute

// attempt identifies one attempt of a request.
type attempt struct {
	requestID string
	number    int
}

// forwarded is one forwarded request that runs here.
type forwarded struct {
	attempt attempt
	cancel  context.CancelCauseFunc
}

// running holds the forwarded requests that run here, so that they can be
// cancelled, and the newest ones that ran, so that none runs twice.
type running struct {
	mu      sync.Mutex
	current map[attempt]*forwarded
	seen    map[attempt]struct{} // since turned
	before  map[attempt]struct{} // of the time before
	turned  time.Time
}

// begin registers work.
//
// It refuses an attempt that it has seen: grpc may send a request again by
// itself when a connection ends, also with retries switched off, and a purchase
// order would run twice. Remembering suffices because such a resend is at once
// and to the same peer. Resuming is no second run, so it is let through.
func (r *running) begin(w *dispatch.Work, cancel context.CancelCauseFunc, now time.Time) (*forwarded, *refusal.Refusal) {
	f := &forwarded{attempt{w.RequestID, w.Attempt}, cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	_, seen := r.seen[f.attempt]
	_, before := r.before[f.attempt]
	if (seen || before) && !resumes(w) {
		return nil, refusal.New(refusal.CodeConflict, "this attempt was sent here before").WithRun(refusal.Unknown)
	}
	r.seen[f.attempt] = struct{}{}
	r.current[f.attempt] = f
	return f, nil
}

func resumes(w *dispatch.Work) bool {
	return w.Generation != nil && w.Generation.FromSeq > 0
}

func (r *running) turn(now time.Time) {
	if r.current == nil {
		r.current = make(map[attempt]*forwarded)
	}
	if r.seen == nil || now.Sub(r.turned) > rememberFor {
		r.before, r.seen, r.turned = r.seen, make(map[attempt]struct{}), now
	}
}

// end takes a request off. Its attempt may have been resumed here in the
// meantime; then the newer one stays.
func (r *running) end(f *forwarded) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current[f.attempt] == f {
		delete(r.current, f.attempt)
	}
}

// cancel ends a request that runs here; false when none does.
func (r *running) cancel(requestID string, number int, cause error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.current[attempt{requestID, number}]
	if ok {
		f.cancel(cause)
	}
	return ok
}

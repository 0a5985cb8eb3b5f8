package httproute

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// handover tries other servers for a request whose server is silent. The silent server, the holder, keeps the request
// until another one has begun to respond: it may be sound and go on, while the other one may turn the request away.
//
// Tries run in the goroutine of the holder's idle timeout, while the request's own goroutine waits for the holder. That one
// calls settle before it touches what a try changes.
type handover struct {
	front *Front
	r     *request
	ctx   context.Context

	mu          sync.Mutex
	turn        int       // rises with each holder, so that an idle timeout of an earlier one has no effect
	current     *takeover // nil if none runs and none has succeeded
	failed      *failure  // of the tries in this turn
	lastEventID string    // of the last event that the caller gets
}

// takeover is one try to find a server that takes the holder's place.
type takeover struct {
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{} // closed when the fields below are set
	reply  *reply        // nil if no server has begun to respond
	failed *failure
}

// enable lets silent servers be replaced while ctx lasts. Before, none is.
func (h *handover) enable(ctx context.Context, f *Front) { h.ctx, h.front = ctx, f }

// check returns the function for the holder's idle timeout. It reports whether another server has begun to respond. It is
// nil for requests that may not be repeated.
func (h *handover) check() backendhttp.IdleCheck {
	if h.front == nil || !h.r.route.Repeatable() {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	turn := h.turn
	return func(stillIdle func() bool) bool { return h.tryInstead(turn, stillIdle) }
}

func (h *handover) tryInstead(turn int, stillIdle func() bool) bool {
	t, lastEventID := h.begin(turn, stillIdle)
	if t == nil {
		return false
	}
	t.reply, t.failed = h.sendInstead(t.ctx, lastEventID)
	return h.end(t)
}

// sendInstead recovers from a panic, which in the goroutine of a timer would end the process with all its requests.
func (h *handover) sendInstead(ctx context.Context, lastEventID string) (rep *reply, failed *failure) {
	defer func() {
		if cause := recover(); cause != nil {
			logPanic(h.front.Log, h.r.RequestID, cause)
			rep, failed = nil, &failure{run: runUnknown, reason: reasonPanic, sent: true, cause: errors.Newf("panic: %v", cause)}
		}
	}()
	return h.front.sendInstead(ctx, h.r, lastEventID)
}

// begin returns nil if the turn is over, a try has not been settled, or the holder goes on. It asks for the latter under the
// lock: keep, which follows on the data of the holder, finds the try then.
func (h *handover) begin(turn int, stillIdle func() bool) (t *takeover, lastEventID string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if turn != h.turn || h.current != nil || h.ctx.Err() != nil || !stillIdle() {
		return nil, ""
	}
	h.current = &takeover{done: make(chan struct{})}
	h.current.ctx, h.current.cancel = context.WithCancel(h.ctx)
	return h.current, h.lastEventID
}

// end reports whether the try has succeeded.
func (h *handover) end(t *takeover) bool {
	defer close(t.done)
	if t.reply != nil {
		ended := t.reply.onEnd
		t.reply.onEnd = func(outcome placement.Outcome) {
			t.cancel()
			ended(outcome)
		}
		return true
	}
	t.cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current == t {
		h.current = nil
		h.failed = combine(h.failed, t.failed)
	}
	return false
}

// combine returns the later failure with the run state of both.
func combine(previous, latest *failure) *failure {
	if latest == nil {
		return previous
	}
	latest.run = combineRun(previous, latest)
	return latest
}

// recordEvent records the last event that the caller gets: another server goes on after it.
func (h *handover) recordEvent(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastEventID = id
}

// keep cancels a try, as the holder goes on: otherwise both would work on the request.
func (h *handover) keep() {
	h.mu.Lock()
	t := h.current
	h.current = nil
	h.mu.Unlock()
	if t != nil {
		t.discard()
	}
}

// trying reports whether another server is tried or has begun to respond.
func (h *handover) trying() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current != nil
}

// discard cancels the try and waits for its end.
func (t *takeover) discard() {
	t.cancel()
	<-t.done
	if t.reply != nil {
		t.reply.end(placement.OutcomeCancelled)
	}
}

// settle ends the holder's turn. If the holder has failed, settle waits for a try that runs, which is then the only one
// that has the request, and returns its reply. It returns the failure of the tries that did not succeed.
func (h *handover) settle(holderFailed bool) (*reply, *failure) {
	h.mu.Lock()
	h.turn++
	t, failed := h.current, h.failed
	h.current, h.failed = nil, nil
	h.mu.Unlock()
	switch {
	case t == nil:
		return nil, failed
	case !holderFailed:
		t.discard()
		return nil, failed
	}
	<-t.done
	return t.reply, combine(failed, t.failed)
}

// Outcomes of the tries in one idle period of a holder.
const (
	handoverMoved = "moved" // another server has begun to respond
	handoverKept  = "kept"
)

// sendInstead sends the request of a silent server to others until one begins to respond. One of these that is silent itself
// is kept in the same way: the first server may have failed meanwhile.
func (f *Front) sendInstead(ctx context.Context, r *request, lastEventID string) (*reply, *failure) {
	var last *failure
	for ctx.Err() == nil && f.mayHandOver(r) && f.reserveRetry(r) {
		r.tries++
		r.work.Build = r.requiredBuild()
		choice, remote, refused := f.choose(r, time.Now(), chooseOptions{acceptLate: true})
		if refused != nil {
			return nil, combine(last, refused)
		}
		f.Metrics.retried(r.service)
		s := f.newSend(ctx, r, choice, remote, lastEventID)
		own := &handover{front: f, r: r, ctx: ctx, lastEventID: lastEventID}
		s.out.shouldAbort = own.check()
		rep, failed := s.exchange()
		if failed == nil {
			failed = r.checkTakeover(rep)
		}
		next, tried := own.settle(failed != nil)
		s.finish(failed)
		if next != nil {
			return next, nil
		}
		if failed == nil {
			r.record(eventHandover, "outcome", handoverMoved, "server", rep.server, "last_event", lastEventID)
			f.Metrics.handedOver(r.service, handoverMoved)
			return rep, nil
		}
		failed = combine(tried, failed)
		last = combine(last, failed)
		r.record(eventHandover, "outcome", handoverKept, "reason", string(failed.reason), "run", string(failed.run), "server", failed.server,
			"attempts", r.sends)
		f.Metrics.handedOver(r.service, handoverKept)
	}
	return nil, last
}

// mayHandOver reports whether the request of a silent server may be sent to another one.
func (f *Front) mayHandOver(r *request) bool {
	now := time.Now()
	begunAt := r.build.Load()
	switch {
	case r.tries >= maxTries, r.sends >= r.route.MaxAttempts, r.trial:
		return false
	case begunAt != nil && !begunAt.Known: // nobody knows where the stream may go on
		return false
	case f.partsBanned(r, now):
		return false
	}
	work := r.work
	work.Build = r.requiredBuild()
	return f.hasAlternative(r, &work, r.triedRegions)
}

// usable reports whether a server's response is one that the caller may get although other servers could be tried.
func (r *request) usable(rep *reply) bool {
	if r.route.Kind == routes.KindStreaming {
		return rep.Status == http.StatusOK
	}
	return rep.Status < http.StatusInternalServerError
}

// checkTakeover checks that a server has begun to respond in another one's place.
func (r *request) checkTakeover(rep *reply) *failure {
	if r.usable(rep) {
		return nil
	}
	rep.end(placement.OutcomeErrorCode)
	return &failure{run: runRan, reason: reasonShed, server: rep.server, sent: true}
}

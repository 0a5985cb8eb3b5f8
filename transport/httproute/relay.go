package httproute

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

const (
	// maxBuffered is the size up to which a response that is not a stream is buffered
	// until it is complete. A buffered response that is cut off can still be retried.
	maxBuffered = 1 << 20
	relayBuffer = 16 << 10
	// gapTimeoutFactor times the gap objective is the idle timeout of a stream that can be
	// resumed at another server.
	gapTimeoutFactor = 4
	// minGapTimeout is the minimum of that idle timeout.
	minGapTimeout = 1200 * time.Millisecond
)

// delivery writes the response of one request to its caller, from one server or, for
// streams that may be resumed, from several.
type delivery struct {
	w       http.ResponseWriter
	caller  *callerWriter
	budget  *Budget
	r       *request
	started bool // the head of the response has been written
	events  eventBuffer
	taken   int // bytes of the budget for an incomplete event
	// onFirstEvents is called before the first events are passed on.
	onFirstEvents func(rep *reply)
	held          *heldResponse
	handover      *handover // tries other servers while the one that responds is silent
}

// heldResponse is a buffered response. A server's own error is held while another server
// is tried.
type heldResponse struct {
	status int
	header http.Header
	body   []byte // taken from the budget
}

func newDelivery(w http.ResponseWriter, budget *Budget, r *request) *delivery {
	return &delivery{
		w: w, caller: newCallerWriter(w, budget), budget: budget, r: r, handover: &handover{r: r},
		events: eventBuffer{ordered: r.route.Resumable},
	}
}

// close waits until the caller has read what was passed on, and returns the memory that was held.
func (d *delivery) close() {
	d.caller.close()
	d.hold(nil)
	d.budget.Release(d.taken)
	d.taken = 0
}

// hold replaces the held response.
func (d *delivery) hold(next *heldResponse) {
	if d.held != nil {
		d.budget.Release(len(d.held.body))
	}
	d.held = next
}

// deliver writes the response to the caller. It returns nil if the caller has received it.
func (d *delivery) deliver(ctx context.Context, rep *reply) *failure {
	if d.r.usable(rep) {
		rep.handover = d.handover
	}
	if rep.Status == http.StatusOK && d.r.route.Kind == routes.KindStreaming {
		return d.deliverStream(ctx, rep)
	}
	if d.started { // the server that was to resume the stream did not
		rep.end(placement.OutcomeErrorCode)
		return &failure{run: runRan, reason: reasonShed, server: rep.server, sent: true}
	}
	return d.deliverBuffered(ctx, rep)
}

// deliverBuffered handles a response that is not a stream.
func (d *delivery) deliverBuffered(ctx context.Context, rep *reply) *failure {
	rep.SetIdleCheck(d.handover.check())
	reader := &budgetReader{body: io.LimitReader(rep, maxBuffered), budget: d.budget}
	body, err := io.ReadAll(reader)
	if err != nil || len(body) == maxBuffered {
		defer d.budget.Release(reader.taken)
	}
	if errors.Is(err, errBudgetSpent) || err == nil && len(body) == maxBuffered {
		return d.deliverLarge(ctx, rep, body)
	}
	if err != nil {
		return d.interrupted(ctx, rep, err)
	}
	outcome := placement.OutcomeServed
	if rep.Status >= http.StatusInternalServerError {
		outcome = placement.OutcomeErrorCode
	}
	rep.end(outcome)
	d.hold(&heldResponse{status: rep.Status, header: rep.Header, body: body})
	if outcome == placement.OutcomeErrorCode && d.r.route.Repeatable() {
		return &failure{run: runRan, reason: reasonShed, server: rep.server, sent: true}
	}
	d.writeHeld()
	return nil
}

// writeHeld writes the held response.
func (d *delivery) writeHeld() {
	d.copyHeader(d.held.header)
	d.w.Header().Set("Content-Length", strconv.Itoa(len(d.held.body)))
	d.w.WriteHeader(d.held.status)
	_ = writeChunks(d.w, d.caller.control, d.held.body) // an error means that the caller has disconnected
	_ = d.caller.control.SetWriteDeadline(time.Time{})  // fails only on a connection that has failed
}

// deliverLarge relays a response that is too large to be buffered. No other server can go on with it.
func (d *delivery) deliverLarge(ctx context.Context, rep *reply, body []byte) *failure {
	rep.SetIdleCheck(nil)
	d.handover.keep()
	d.writeHead(rep)
	part, buffer := body, make([]byte, relayBuffer)
	for {
		if err := d.caller.write(ctx, part, rep.Response); err != nil {
			return d.unwritten(ctx, rep, err)
		}
		n, err := rep.Read(buffer)
		part = buffer[:n]
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			rep.end(placement.OutcomeServed)
			return nil
		case err != nil && !errors.Is(err, io.EOF):
			return d.interrupted(ctx, rep, err)
		}
	}
}

// copyHeader copies a response's end-to-end headers.
func (d *delivery) copyHeader(header http.Header) {
	h := d.w.Header()
	for name, values := range EndToEnd(header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
}

// writeHead writes the head of the response, once.
func (d *delivery) writeHead(rep *reply) {
	if d.started {
		return
	}
	d.started = true
	if d.r.route.Kind == routes.KindStreaming {
		d.onFirstEvents(rep)
	}
	d.copyHeader(rep.Header)
	d.w.WriteHeader(rep.Status)
}

// deliverStream relays events as they arrive.
func (d *delivery) deliverStream(ctx context.Context, rep *reply) *failure {
	buffer := make([]byte, relayBuffer)
	d.events.order.resume()
	rep.SetIdleCheck(nil)
	if gap := d.gapTimeout(); gap > 0 {
		rep.SetIdleTimeout(gap, d.handover.check())
	}
	for {
		n, err := rep.Read(buffer)
		completed := d.events.push(buffer[:n])
		if err := d.takeEvent(); err != nil {
			return d.interrupted(ctx, rep, err)
		}
		if err := d.sendEvents(ctx, rep, completed); err != nil {
			return d.unwritten(ctx, rep, err)
		}
		switch {
		case d.events.outOfOrder:
			return d.interrupted(ctx, rep, errOutOfOrder)
		case errors.Is(err, io.EOF):
			return d.endStream(ctx, rep)
		case err != nil:
			return d.interrupted(ctx, rep, err)
		}
	}
}

// takeEvent takes the memory for an incomplete event from the budget, or returns what is left of it.
func (d *delivery) takeEvent() error {
	if len(d.events.partial) > maxEvent {
		return errLongEvent
	}
	need := max(len(d.events.partial)-freeEventBytes, 0)
	if need > d.taken && !d.budget.Take(need-d.taken) {
		return errBudgetSpent
	}
	if need < d.taken {
		d.budget.Release(d.taken - need)
	}
	d.taken = need
	return nil
}

var (
	errOutOfOrder      = errors.New("an event does not follow the last one")
	errLongEvent       = errors.Wrapf(backendhttp.ErrMalformed, "event of over %d bytes", maxEvent)
	errIncompleteEvent = errors.New("the response ends within an event")
	errNoEvent         = errors.New("the connection ended before the first event")
)

// gapTimeout returns the idle timeout of the server during the stream, or 0 for no limit
// besides the deadline.
func (d *delivery) gapTimeout() time.Duration {
	if !d.r.route.Resumable {
		return 0
	}
	return max(gapTimeoutFactor*d.r.route.GapObjective, minGapTimeout)
}

// eventGaps records the gaps between the events of a response as they were passed on to its
// caller.
type eventGaps struct {
	events  int
	longest time.Duration // longest gap between two events
	last    time.Time     // when the last event was passed on
}

// record records that events were passed on. count is the total so far.
func (p *eventGaps) record(count int, now time.Time) {
	if p.events > 0 {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.events, p.last = count, now
}

// sendEvents passes complete events on to the caller.
func (d *delivery) sendEvents(ctx context.Context, rep *reply, completed []byte) error {
	if len(completed) == 0 {
		return nil
	}
	d.writeHead(rep)
	err := d.caller.write(ctx, completed, rep.Response)
	d.events.consume(completed)
	d.handover.recordEvent(d.events.lastID)
	now := time.Now()
	d.r.gaps.record(d.events.count, now)
	rep.events = d.events.count
	rep.reportProgress(now)
	rep.markBegun()
	return err
}

// unwritten ends a response of which the caller does not get the rest. It returns nil if nothing more can
// be written, and the failure if the request has ended before the caller read enough.
func (d *delivery) unwritten(ctx context.Context, rep *reply, err error) *failure {
	if ctx.Err() != nil {
		return d.interrupted(ctx, rep, err)
	}
	d.r.callerLeft = true
	rep.end(placement.OutcomeCancelled)
	return nil
}

// endStream ends a stream whose last byte has arrived.
func (d *delivery) endStream(ctx context.Context, rep *reply) *failure {
	if len(d.events.partial) > 0 {
		return d.interrupted(ctx, rep, errIncompleteEvent)
	}
	if rep.EndsWithConn && !rep.begun {
		return d.interrupted(ctx, rep, errNoEvent)
	}
	d.writeHead(rep)
	rep.end(placement.OutcomeServed)
	return nil
}

// interrupted records that a response was cut off.
func (d *delivery) interrupted(ctx context.Context, rep *reply, err error) *failure {
	d.events.reset()
	outcome := placement.OutcomeFailed
	f := &failure{run: runRan, reason: reasonBroken, server: rep.server, sent: true, cause: err}
	if errors.Is(err, backendhttp.ErrIdleTimeout) {
		f.reason = reasonSilent
	}
	if ctx.Err() == nil && rep.report.checkMalformed(err) {
		f.reason = reasonMalformed
	}
	if ctx.Err() != nil {
		outcome = placement.OutcomeCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.reason = reasonDeadline
		}
	}
	d.r.recordInterruption(f, rep)
	rep.endPartial(outcome, err)
	return f
}

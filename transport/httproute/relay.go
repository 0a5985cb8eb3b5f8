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
	// maxBuffered is the size up to which an answer that is no stream is held until
	// it is whole. One that breaks off before can still be asked for again.
	maxBuffered = 1 << 20
	relayBuffer = 16 << 10
	// gapFactor times the longest pause that is on time is how long a stream that may
	// go on elsewhere may say nothing.
	gapFactor = 4
	// leastGap is the least such pause.
	leastGap = 1200 * time.Millisecond
)

// delivery hands the answer of one request to its caller, from one server or, for
// streams that may be resumed, from several.
type delivery struct {
	w       http.ResponseWriter
	control *http.ResponseController
	r       *request
	begun   bool // the caller has the head of the answer
	events  events
	kept    *keptAnswer
}

// keptAnswer is a server's own error, held while another server is tried.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

func newDelivery(w http.ResponseWriter, r *request) *delivery {
	return &delivery{w: w, control: http.NewResponseController(w), r: r}
}

// take hands the answer to the caller. The failure is nil when the caller has it.
func (d *delivery) take(ctx context.Context, rep *reply) *failure {
	if rep.Status == http.StatusOK && d.r.route.Kind == routes.KindStreaming {
		return d.stream(ctx, rep)
	}
	if d.begun { // the server that was to go on with a stream did not
		rep.end(placement.OutcomeErrorCode)
		return &failure{run: hasRun, reason: reasonShed, server: rep.server, sent: true}
	}
	return d.whole(ctx, rep)
}

// whole takes an answer that is no stream.
func (d *delivery) whole(ctx context.Context, rep *reply) *failure {
	body, err := io.ReadAll(io.LimitReader(rep, maxBuffered))
	if err != nil {
		return d.broken(ctx, rep, err)
	}
	if len(body) == maxBuffered {
		return d.long(ctx, rep, body)
	}
	outcome := placement.OutcomeServed
	if rep.Status >= http.StatusInternalServerError {
		outcome = placement.OutcomeErrorCode
	}
	rep.end(outcome)
	d.kept = &keptAnswer{status: rep.Status, header: rep.Header, body: body}
	if outcome == placement.OutcomeErrorCode && d.r.route.Repeatable() {
		return &failure{run: hasRun, reason: reasonShed, server: rep.server, sent: true}
	}
	d.handOver()
	return nil
}

// handOver writes the answer that is held.
func (d *delivery) handOver() {
	d.head(d.kept.header)
	d.w.Header().Set("Content-Length", strconv.Itoa(len(d.kept.body)))
	d.w.WriteHeader(d.kept.status)
	_, _ = d.w.Write(d.kept.body) // a caller that has gone needs no answer
}

// long hands on an answer that is too large to be held.
func (d *delivery) long(ctx context.Context, rep *reply, body []byte) *failure {
	d.begin(rep)
	if _, err := d.w.Write(body); err != nil {
		rep.end(placement.OutcomeCancelled)
		return nil // the caller has gone
	}
	if _, err := io.Copy(d.w, rep); err != nil {
		return d.broken(ctx, rep, err)
	}
	rep.end(placement.OutcomeServed)
	return nil
}

// head copies an answer's end-to-end headers.
func (d *delivery) head(header http.Header) {
	h := d.w.Header()
	for name, values := range EndToEnd(header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
}

// begin writes the head of the answer.
func (d *delivery) begin(rep *reply) {
	if d.begun {
		return
	}
	d.begun = true
	d.head(rep.Header)
	d.w.WriteHeader(rep.Status)
}

// stream hands on events as they arrive.
func (d *delivery) stream(ctx context.Context, rep *reply) *failure {
	buffer := make([]byte, relayBuffer)
	resumedAfter := d.events.lastID
	checked := resumedAfter == ""
	if gap := d.gap(); gap > 0 {
		rep.SetIdleTimeout(gap, d.r.mayLeave)
	}
	for {
		n, err := rep.Read(buffer)
		whole := d.events.take(buffer[:n])
		if !checked && len(whole) > 0 {
			checked = true
			if !follows(firstID(whole), resumedAfter) {
				return d.broken(ctx, rep, errOutOfOrder)
			}
		}
		if len(d.events.partial) > maxEvent {
			return d.broken(ctx, rep, errLongEvent)
		}
		if failed := d.pass(rep, whole); failed {
			rep.end(placement.OutcomeCancelled)
			return nil
		}
		switch {
		case errors.Is(err, io.EOF):
			return d.complete(ctx, rep)
		case err != nil:
			return d.broken(ctx, rep, err)
		}
	}
}

var (
	errOutOfOrder = errors.New("the server did not go on behind the last event")
	errLongEvent  = errors.New("an event is too long")
	errHalfEvent  = errors.New("the answer ends within an event")
)

// gap returns how long the server may say nothing; 0 for as long as there is time.
func (d *delivery) gap() time.Duration {
	if !d.r.route.Resumable {
		return 0
	}
	return max(gapFactor*d.r.route.GapObjective, leastGap)
}

// pauses tells how evenly the events of an answer went to its caller.
type pauses struct {
	events  int
	longest time.Duration // between two events
	last    time.Time     // when the last one went
}

// passed takes in that events went to the caller; count are all so far.
func (p *pauses) passed(count int, now time.Time) {
	if p.events > 0 {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.events, p.last = count, now
}

// pass hands whole events to the caller.
func (d *delivery) pass(rep *reply, whole []byte) (gone bool) {
	if len(whole) == 0 {
		return false
	}
	d.begin(rep)
	_, err := d.w.Write(whole)
	if err == nil {
		err = d.control.Flush()
	}
	d.events.drop(whole)
	now := time.Now()
	d.r.pauses.passed(d.events.count, now)
	rep.wentOn(now)
	return err != nil
}

// complete ends a stream whose last byte has come.
func (d *delivery) complete(ctx context.Context, rep *reply) *failure {
	if len(d.events.partial) > 0 {
		return d.broken(ctx, rep, errHalfEvent)
	}
	d.begin(rep)
	rep.end(placement.OutcomeServed)
	return nil
}

// broken takes in that an answer broke off.
func (d *delivery) broken(ctx context.Context, rep *reply, err error) *failure {
	d.events.reset()
	outcome := placement.OutcomeFailed
	f := &failure{run: hasRun, reason: reasonBroken, server: rep.server, sent: true, cause: err}
	if errors.Is(err, backendhttp.ErrIdleTimeout) {
		f.reason = reasonSilent
	}
	if ctx.Err() != nil {
		outcome = placement.OutcomeCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.reason = reasonDeadline
		}
	}
	rep.end(outcome)
	return f
}

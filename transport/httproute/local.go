package httproute

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// LocalDispatcher sends requests to the backend servers of the local region.
type LocalDispatcher struct {
	Codec    Codec
	Backends *backends.Table
	Client   *backendhttp.Client
	Parts    *quarantine.Parts
	Log      *slog.Logger
	Metrics  *Metrics
	Waiting  *Waiting // requests that wait for a slot; nil if none does

	mu    sync.Mutex
	pools map[string]*placement.Pool
}

// Pool returns the pool of a service. It is created on first use.
func (l *LocalDispatcher) Pool(service string) *placement.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pools == nil {
		l.pools = make(map[string]*placement.Pool)
	}
	p := l.pools[service]
	if p == nil {
		p = placement.New()
		l.pools[service] = p
	}
	return p
}

// outbound is a request to a backend server, received from a caller or from a peer.
type outbound struct {
	id          string
	service     string
	account     string
	method      string
	target      string
	host        string
	header      http.Header
	body        []byte
	work        *placement.Request
	deadline    time.Time
	repeatable  bool
	stream      bool                  // set at a peer: the first instance expects a stream of events
	shouldAbort backendhttp.IdleCheck // reports whether to abandon an idle server, see handover; nil for never
	print       string                // fingerprint of the request
	parts       []quarantine.PartKey  // parts of the prompt that may be blamed for a crash
	trial       bool                  // it finds out whether its parts still crash servers
	lastEventID string
	config      int64
	ranked      bool // the urgency is a rank, see routes.Precedence
}

// reply is the head of a response whose body has not been read yet.
type reply struct {
	*backendhttp.Response
	meta       ResponseMeta
	server     string
	build      placement.Build // of the server's software
	forwarded  bool            // it came by way of a peer
	begun      bool            // an event has been passed on
	events     int             // number of events that the caller of this instance has got
	body       bodyEnd
	onBegin    func() // called when the first event has been passed on; nil if not needed
	onEnd      func(placement.Outcome)
	onProgress func(time.Time) // called when more of the body has been passed on; nil if not needed
	handover   *handover       // may replace the server while it is silent; nil if nothing does
	report     responseReporter
}

// Read implements io.Reader.
func (r *reply) Read(b []byte) (int, error) {
	n, err := r.Response.Read(b)
	r.body.record(n, err)
	switch {
	case r.handover == nil || n == 0:
	case err == nil:
		r.handover.keep()
	case !errors.Is(err, io.EOF) && r.handover.trying():
		n = 0 // the other server goes on before this part
	}
	return n, err
}

// reportProgress records that more of the body has been passed on.
func (r *reply) reportProgress(now time.Time) {
	if r.onProgress != nil {
		r.onProgress(now)
	}
}

// markBegun records that an event has been passed on: the server has begun to answer and did not crash by that.
func (r *reply) markBegun() {
	if !r.begun && r.onBegin != nil {
		r.onBegin()
	}
	r.begun = true
}

// end closes the response and reports its outcome.
func (r *reply) end(outcome placement.Outcome) {
	if outcome == placement.OutcomeServed {
		r.markBegun()
	}
	r.report.ended(r.Response, &r.body, outcome, r.events)
	r.Close()
	r.onEnd(outcome)
}

// endPartial closes a response that is not whole.
func (r *reply) endPartial(outcome placement.Outcome, cause error) {
	r.body.cause = cause
	r.end(outcome)
}

const (
	// idleTimeoutFactor times the expected time to the first byte is the idle timeout of a
	// server that may be replaced.
	idleTimeoutFactor = 3
	// minIdleTimeout is the minimum idle timeout. A healthy server with a full batch takes
	// this long to respond.
	minIdleTimeout = 1200 * time.Millisecond
	// maxIdleFraction is the maximum fraction of the remaining time that one idle server
	// may use, so that another server still has time.
	maxIdleFraction = 0.5
)

// idleTimeout returns the idle timeout of the server, or 0 for no limit besides the
// deadline. A request that may not be retried gains nothing from an idle timeout.
func (o *outbound) idleTimeout(expected time.Duration, now time.Time) time.Duration {
	if o.shouldAbort == nil {
		return 0
	}
	limit := max(minIdleTimeout, idleTimeoutFactor*expected)
	return min(limit, time.Duration(maxIdleFraction*float64(o.deadline.Sub(now))))
}

// send sends a request to the chosen server and reads the head of the response.
func (l *LocalDispatcher) send(ctx context.Context, o *outbound, choice placement.Choice) (*reply, *failure) {
	pool, placed := l.Pool(o.service), choice.Placement
	now := time.Now()
	server := placed.Server
	l.countAgainstNotice(o.service, &server.Server, now)
	out := l.Codec.Outbound(o.header, Outbound{
		Server: server.ID, Account: o.account, Timeout: o.deadline.Sub(now), Urgency: o.urgency(), LastEventID: o.lastEventID,
		FetchFrom: choice.FetchFrom,
	})
	response, err := l.Client.Do(ctx, server.Address, &backendhttp.Request{
		Method: o.method, Target: o.target, Host: o.host, Header: out, Body: o.body,
	}, backendhttp.Options{
		FreshConn: !o.repeatable, IdleTimeout: o.idleTimeout(choice.ExpectedFirstByte, now), ShouldAbort: o.shouldAbort,
		MatchResponse: func(resp *http.Response) bool {
			id := l.Codec.DecodeResponse(resp.StatusCode, resp.Header).RequestID
			return id == o.id
		},
	})
	if err != nil {
		return nil, l.attemptFailed(ctx, o, placed, err)
	}
	return l.checkResponse(o, pool, placed, response)
}

const (
	// urgencyStep maps the urgencies of routes to those of engines, which range from 0 to
	// 9. Engines use 5 for a request that specifies none.
	urgencyStep   = 2
	lowestUrgency = 8
)

// urgency does not depend on whether a request will miss its objective. If such requests
// got a lower urgency, engines would preempt them in the middle of their generation for
// each more urgent request that finds the batch full, and recompute their whole prompt.
func (o *outbound) urgency() int {
	if o.ranked {
		return min(1+o.work.Urgency, lowestUrgency)
	}
	return min(1+urgencyStep*o.work.Urgency, lowestUrgency)
}

// checkResponse evaluates the response headers of the server.
func (l *LocalDispatcher) checkResponse(o *outbound, pool *placement.Pool, placed *placement.Placement, resp *backendhttp.Response) (*reply, *failure) {
	now := time.Now()
	meta := l.Codec.DecodeResponse(resp.Status, resp.Header)
	l.recordNotices(o, placed, &meta, now)
	if meta.Load != nil {
		pool.RecordLoad(placed, *meta.Load, now)
	}
	r := &reply{Response: resp, meta: meta, server: placed.Server.ID, build: pool.Build(placed, now), report: l.responseReporter(o, placed)}
	r.onEnd = func(outcome placement.Outcome) {
		pool.Done(placed, outcome, time.Now())
		l.Waiting.Wake(o.service)
		switch outcome {
		case placement.OutcomeServed:
			l.Parts.RecordWholeAnswer(o.print, time.Now())
		case placement.OutcomeFailed:
			if errors.Is(r.body.cause, backendhttp.ErrProcessEnded) {
				pool.RecordDown(placed, time.Now()) // at once: the request is sent elsewhere next
			}
			l.checkCrash(o, placed, blame{headReceived: true, begun: r.begun})
		}
	}
	r.onBegin = func() { l.Parts.RecordAnswer(o.parts, time.Now()) }
	switch {
	case meta.Misdirected:
		l.Backends.RemoveReplaced(placed.Server.ID, placed.Server.Incarnation)
		l.Log.Info("server_gone", "server", placed.Server.ID, "request", o.id, "why", "another server answers at its address")
		r.end(placement.OutcomeDown)
		return nil, &failure{run: runNotRun, reason: reasonShed, server: r.server, sent: true}
	case meta.NotRun:
		r.end(placement.OutcomeRefused)
		return nil, l.turnedAway(o, r.server, &meta, now)
	case meta.Unproven:
		r.report.checkMalformed(errUnproven)
		resp.Close()
		pool.Done(placed, placement.OutcomeFailed, now)
		return nil, &failure{run: runUnknown, reason: reasonMalformed, server: r.server, sent: true, cause: errUnproven}
	case resp.Header.Get("Content-Encoding") != "":
		// No encoding was requested, so the body is not what the server wrote.
		resp.Close()
		pool.Done(placed, placement.OutcomeFailed, now)
		return nil, &failure{run: runUnknown, reason: reasonMalformed, server: r.server, sent: true}
	}
	pool.RecordFirstByte(placed, now)
	var last time.Time
	r.onProgress = func(now time.Time) {
		if !last.IsZero() {
			pool.RecordEvent(placed, now.Sub(last), now)
		}
		last = now
	}
	return r, nil
}

// errUnproven is the fault of a success that does not come from the server's software.
var errUnproven = errors.Wrap(backendhttp.ErrMalformed, "a success without the server's proof")

func (l *LocalDispatcher) responseReporter(o *outbound, placed *placement.Placement) responseReporter {
	return responseReporter{
		log: l.Log, metrics: l.Metrics, service: o.service, request: o.id,
		sender: senderServer, name: placed.Server.ID, address: placed.Server.Address,
	}
}

// attemptFailed records that a request got no response.
func (l *LocalDispatcher) attemptFailed(ctx context.Context, o *outbound, placed *placement.Placement, err error) *failure {
	pool := l.Pool(o.service)
	f := &failure{run: runUnknown, reason: reasonBroken, server: placed.Server.ID, sent: true, cause: err}
	outcome := placement.OutcomeFailed
	switch {
	case errors.Is(err, backendhttp.ErrRefused):
		f.run, f.reason, f.sent, outcome = runNotRun, reasonUnreachable, false, placement.OutcomeDown
	case errors.Is(err, backendhttp.ErrNotSent):
		f.run, f.reason, f.sent = runNotRun, reasonUnreachable, false
	case errors.Is(err, backendhttp.ErrMalformed):
		f.reason = reasonMalformed
		reporter := l.responseReporter(o, placed)
		reporter.checkMalformed(err)
	case errors.Is(err, backendhttp.ErrIdleTimeout):
		f.reason = reasonSilent
	}
	if ctx.Err() != nil {
		outcome = placement.OutcomeCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.reason = reasonDeadline
			if time.Since(placed.Sent) > minIdleTimeout { // a shorter time says nothing about the server
				outcome = placement.OutcomeFailed
			}
		}
	}
	pool.Done(placed, outcome, time.Now())
	if f.reason == reasonBroken {
		l.checkCrash(o, placed, blame{})
	}
	l.Log.Info("attempt_failed", "request", o.id, "service", o.service, "server", f.server, "reason", string(f.reason),
		"run", string(f.run), "error", err.Error(), "config", o.config)
	return f
}

// blame is how far a request had come when its server failed.
type blame struct {
	headReceived bool // the server had begun the response
	begun        bool // an event has been passed on
}

// checkCrash detects in the background whether the server's process ended while the
// request was in flight, in which case connections to its address are refused. The request
// was at the crash, which counts against it if it is at more of them than others. If it had
// no event yet, it is one of few, and its parts are blamed as well.
func (l *LocalDispatcher) checkCrash(o *outbound, placed *placement.Placement, b blame) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if !l.Client.ConnectionRefused(ctx, placed.Server.Address) {
			return
		}
		now := time.Now()
		l.Pool(o.service).RecordDown(placed, now)
		if b.begun {
			l.Parts.RecordRequestCrash(o.print, placed.Server.ID, incarnationName(placed), now)
		} else {
			l.Parts.RecordEarlyRequestCrash(o.print, placed.Server.ID, incarnationName(placed), now)
			l.Parts.RecordCrash(o.parts, placed.Server.ID, incarnationName(placed), b.headReceived, now)
		}
		l.Log.Info("server_crashed", "request", o.id, "server", placed.Server.ID, "fingerprint", o.print, "blamed", !b.begun,
			"head", b.headReceived, "parts", o.parts, "trial", o.trial)
	}()
}

// probeTimeout bounds the check whether a server still accepts connections.
const probeTimeout = 250 * time.Millisecond

// incarnationName returns a name for the incarnation of a server that is the same at all
// instances.
func incarnationName(placed *placement.Placement) string {
	return time.UnixMilli(placed.Server.StartUnixMs).UTC().Format(time.RFC3339Nano)
}

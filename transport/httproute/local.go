package httproute

import (
	"context"
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

// LocalDispatcher sends requests to the backend servers of the own region.
type LocalDispatcher struct {
	Codec      Codec
	Backends   *backends.Table
	Client     *backendhttp.Client
	Quarantine *quarantine.List
	Log        *slog.Logger
	Metrics    *Metrics

	mu    sync.Mutex
	pools map[string]*placement.Pool
}

// Pool returns the pool of a service, made at its first use.
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

// outbound is a request to a backend server, from a caller here or from a peer.
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
	giveUp      func() bool // tells whether another server may be asked instead; nil for never
	print       string
	lastEventID string
	config      int64
}

// reply is the head of an answer, whose body is still to be read.
type reply struct {
	*backendhttp.Response
	verdict ResponseMeta
	server  string
	ended   func(placement.Outcome)
	went    func(time.Time) // more of the body went on; nil where nobody asks
}

// wentOn takes in that more of the body was handed on.
func (r *reply) wentOn(now time.Time) {
	if r.went != nil {
		r.went(now)
	}
}

// end closes the answer and says how it ended.
func (r *reply) end(outcome placement.Outcome) {
	r.Close()
	r.ended(outcome)
}

const (
	// silenceFactor times the expected time to the first byte is how long a server
	// that may be replaced may say nothing.
	silenceFactor = 3
	// leastSilence is the least such time: answers of a good server take so long
	// when a batch is full.
	leastSilence = 1200 * time.Millisecond
	// silenceShare is the most of the time left that one silent server may take, so
	// that another one still has time.
	silenceShare = 0.5
)

// silence returns how long the server may say nothing; 0 for as long as there is
// time. A request that may not be repeated gains nothing by giving up.
func (o *outbound) silence(expected time.Duration, now time.Time) time.Duration {
	if o.giveUp == nil {
		return 0
	}
	limit := max(leastSilence, silenceFactor*expected)
	return min(limit, time.Duration(silenceShare*float64(o.deadline.Sub(now))))
}

// send sends a request to the server that was chosen and reads the answer's head.
func (l *LocalDispatcher) send(ctx context.Context, o *outbound, choice placement.Choice) (*reply, *failure) {
	pool, placed := l.Pool(o.service), choice.Placement
	now := time.Now()
	server := placed.Server
	out := l.Codec.Outbound(o.header, Outbound{
		Server: server.ID, Account: o.account, Timeout: o.deadline.Sub(now), Urgency: o.urgency(), LastEventID: o.lastEventID,
		FetchFrom: choice.FetchFrom,
	})
	answer, err := l.Client.Do(ctx, server.Address, &backendhttp.Request{
		Method: o.method, Target: o.target, Host: o.host, Header: out, Body: o.body,
	}, backendhttp.Options{
		FreshConn: !o.repeatable, IdleTimeout: o.silence(choice.ExpectedFirstByte, now), ShouldAbort: o.giveUp,
		MatchResponse: func(resp *http.Response) bool {
			id := l.Codec.DecodeResponse(resp.StatusCode, resp.Header).RequestID
			return id == o.id
		},
	})
	if err != nil {
		return nil, l.failed(ctx, o, placed, err)
	}
	return l.judge(o, pool, placed, answer)
}

const (
	// urgencyStep spreads the urgencies of routes over those of engines, 0 to 9; one
	// that names none has 5.
	urgencyStep  = 2
	leastUrgency = 8
)

// urgency is the same for requests that will miss their objective. With a lower one
// engines put them back, in the middle of their answer, for each more urgent request that
// finds the batch full, and read their whole prompt again.
func (o *outbound) urgency() int { return min(1+urgencyStep*o.work.Urgency, leastUrgency) }

// judge reads what the server says beside its answer.
func (l *LocalDispatcher) judge(o *outbound, pool *placement.Pool, placed *placement.Placement, answer *backendhttp.Response) (*reply, *failure) {
	now := time.Now()
	verdict := l.Codec.DecodeResponse(answer.Status, answer.Header)
	if verdict.Load != nil {
		pool.RecordLoad(placed, *verdict.Load, now)
	}
	r := &reply{Response: answer, verdict: verdict, server: placed.Server.ID}
	r.ended = func(outcome placement.Outcome) {
		pool.Done(placed, outcome, time.Now())
		if outcome == placement.OutcomeFailed {
			l.suspect(o, placed)
		}
	}
	switch {
	case verdict.Misdirected:
		l.Backends.RemoveReplaced(placed.Server.ID, placed.Server.Incarnation)
		l.Log.Info("server_gone", "server", placed.Server.ID, "request", o.id, "why", "another server answers at its address")
		r.end(placement.OutcomeDown)
		return nil, &failure{run: notRun, reason: reasonShed, server: r.server, sent: true}
	case verdict.NotRun:
		r.end(placement.OutcomeRefused)
		return nil, &failure{run: notRun, reason: reasonShed, server: r.server, sent: true}
	case answer.Header.Get("Content-Encoding") != "":
		// Nobody asked for an encoding: these are not the server's bytes.
		answer.Close()
		pool.Done(placed, placement.OutcomeFailed, now)
		return nil, &failure{run: unknown, reason: reasonMalformed, server: r.server, sent: true}
	}
	pool.RecordFirstByte(placed, now)
	var last time.Time
	r.went = func(now time.Time) {
		if !last.IsZero() {
			pool.RecordEvent(placed, now.Sub(last), now)
		}
		last = now
	}
	return r, nil
}

// failed takes in that a request got no answer.
func (l *LocalDispatcher) failed(ctx context.Context, o *outbound, placed *placement.Placement, err error) *failure {
	pool := l.Pool(o.service)
	f := &failure{run: unknown, reason: reasonBroken, server: placed.Server.ID, sent: true, cause: err}
	outcome := placement.OutcomeFailed
	switch {
	case errors.Is(err, backendhttp.ErrRefused):
		f.run, f.reason, f.sent, outcome = notRun, reasonUnreachable, false, placement.OutcomeDown
	case errors.Is(err, backendhttp.ErrNotSent):
		f.run, f.reason, f.sent = notRun, reasonUnreachable, false
	case errors.Is(err, backendhttp.ErrMalformed):
		f.reason = reasonMalformed
	case errors.Is(err, backendhttp.ErrIdleTimeout):
		f.reason = reasonSilent
	}
	if ctx.Err() != nil {
		outcome = placement.OutcomeCancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			f.reason = reasonDeadline
			if time.Since(placed.Sent) > leastSilence { // a shorter time says nothing of the server
				outcome = placement.OutcomeFailed
			}
		}
	}
	pool.Done(placed, outcome, time.Now())
	if f.reason == reasonBroken {
		l.suspect(o, placed)
	}
	l.Log.Info("attempt_failed", "request", o.id, "service", o.service, "server", f.server, "reason", string(f.reason),
		"run", string(f.run), "error", err.Error(), "config", o.config)
	return f
}

// suspect finds out whether the server's process ended with the request in flight:
// then nothing listens any more. The news is held against the request's fingerprint.
func (l *LocalDispatcher) suspect(o *outbound, placed *placement.Placement) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		if !l.Client.ConnectionRefused(ctx, placed.Server.Address) {
			return
		}
		now := time.Now()
		l.Pool(o.service).RecordDown(placed, now)
		l.Quarantine.RecordCrash(o.print, placed.Server.ID, lifetimeName(placed), now)
		l.Log.Info("server_crashed", "request", o.id, "server", placed.Server.ID, "fingerprint", o.print)
	}()
}

// probeTimeout bounds the question whether a server still listens.
const probeTimeout = 250 * time.Millisecond

// lifetimeName names a lifetime alike at all instances.
func lifetimeName(placed *placement.Placement) string {
	return time.UnixMilli(placed.Server.StartUnixMs).UTC().Format(time.RFC3339Nano)
}

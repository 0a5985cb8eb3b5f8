package httproute

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/outcome"
)

// Headers between instances. A forwarded request makes one hop: the receiving instance
// sends it to a server of its region or reports why it did not.
const (
	headerForward = "Basilroute-Forward" // a forwardInfo in JSON
	headerRequest = "Basilroute-Request" // id of the request that a response belongs to
	headerServer  = "Basilroute-Server"  // server that responded
	headerFailure = "Basilroute-Failure" // a forwardFailure in JSON; the response comes from no server
)

// forwardInfo is what the first instance sends with a forwarded request.
type forwardInfo struct {
	Service     string `json:"service"`
	Account     string `json:"account,omitempty"`
	Urgency     int    `json:"urgency"`
	Ranked      bool   `json:"ranked,omitempty"` // the urgency is a rank, see routes.Precedence
	LeftMs      int64  `json:"left_ms"`          // time until the deadline
	ObjectiveMs int64  `json:"objective_ms"`     // remaining time of the objective; 0 for none
	Repeatable  bool   `json:"repeatable"`
	Stream      bool   `json:"stream,omitempty"` // its answer is a stream of events
	Last        bool   `json:"last"`             // no other attempt may follow
	Detached    bool   `json:"detached"`         // once sent, runs to completion after the caller has disconnected
	Fingerprint string `json:"print"`
	LastEventID string `json:"last_event_id,omitempty"`
	Config      int64  `json:"config"`
	Trial       bool   `json:"trial,omitempty"` // it finds out whether its parts still crash servers
	// Build is the version of the servers' software that the stream has to go on at; nil for any.
	Build *string `json:"build,omitempty"`
	// HolderAddress is the address of a server of the first region that has HolderTokens
	// of the prompt cached.
	HolderAddress string `json:"holder_address,omitempty"`
	HolderTokens  int    `json:"holder_tokens,omitempty"`
}

// forwardFailure is a failure as sent to the first instance.
type forwardFailure struct {
	Run          runState `json:"run"`
	Reason       reason   `json:"reason"`
	Sent         bool     `json:"sent"`
	Server       string   `json:"server,omitempty"`
	RetryAfterMs int64    `json:"retry_after_ms"`
}

// forward sends the request to a peer of another region and reads the head of the
// response.
func (f *Front) forward(ctx context.Context, r *request, o *outbound, remote *Remote) (*reply, *failure) {
	now := time.Now()
	holder := f.localFetchSource(r, now)
	encoded, err := json.Marshal(forwardInfo{
		HolderAddress: holder.Address, HolderTokens: holder.Tokens,
		Service: o.service, Account: o.account, Urgency: o.work.Urgency, Ranked: o.ranked, LeftMs: wholeMs(o.deadline.Sub(now)),
		ObjectiveMs: max(r.work.Objective-now.Sub(r.arrived), 0).Milliseconds(), Repeatable: o.repeatable, Stream: r.route.Kind == routes.KindStreaming,
		Detached: r.route.Kind == routes.KindNonIdempotent, Fingerprint: o.print, LastEventID: o.lastEventID, Config: o.config,
		Build: encodeRequired(o.work.Build), Trial: o.trial,
	})
	if err != nil {
		return nil, &failure{run: runNotRun, reason: reasonPeer, cause: err}
	}
	header := f.Codec.Outbound(o.header, Outbound{Account: o.account, Timeout: o.deadline.Sub(now), Urgency: -1, LastEventID: o.lastEventID})
	header.Set(headerForward, string(encoded))
	idleTimeout := o.idleTimeout(remote.Wait+remote.ExpectedFirstByte, now)
	if idleTimeout > 0 {
		idleTimeout += remote.RoundTrip
	}
	response, err := f.peerClient(r).Do(ctx, remote.Address, &backendhttp.Request{
		Method: o.method, Target: o.target, Host: o.host, Header: header, Body: o.body,
	}, backendhttp.Options{
		FreshConn: !o.repeatable, IdleTimeout: idleTimeout, ShouldAbort: o.shouldAbort,
		MatchResponse: func(resp *http.Response) bool { return resp.Header.Get(headerRequest) == o.id },
	})
	f.Metrics.forwarded(o.service)
	if err == nil && response.EndsWithConn {
		response.Close()
		err = errUnframed
	}
	if err != nil {
		return nil, f.forwardFailed(ctx, o, remote, err)
	}
	f.rooms.recordResponse(remote, o.service, response.Header, time.Now())
	if encodedFailure := response.Header.Get(headerFailure); encodedFailure != "" {
		return nil, decodeForwardFailure(response, encodedFailure, remote)
	}
	out := &reply{
		Response: response, meta: f.Codec.DecodeResponse(response.Status, response.Header),
		server: response.Header.Get(headerServer), build: decodeBuild(response.Header), forwarded: true,
		report: f.responseReporter(o, remote),
		onEnd: func(outcome placement.Outcome) {
			switch {
			case outcome == placement.OutcomeFailed:
				r.broken.record(remote.Region)
			case outcome == placement.OutcomeServed && r.trial:
				f.Local.Parts.RecordWholeAnswer(r.print, time.Now()) // the next trial waits for it here
			}
		},
	}
	if out.meta.Leaving {
		f.Local.Backends.RecordRemoteLeaving(out.server, time.Now()) // nothing is fetched from it any more
	}
	delete(response.Header, headerRequest)
	delete(response.Header, headerServer)
	return out, nil
}

// errUnframed is the fault of a peer's response whose end nothing shows. Instances send a length or chunks.
var errUnframed = errors.Wrap(backendhttp.ErrMalformed, "a response of an instance with neither a length nor chunks")

// wholeMs returns a time in milliseconds, rounded up: a request that is given less time ends before its deadline.
func wholeMs(left time.Duration) int64 { return (left + time.Millisecond - 1).Milliseconds() }

// peerClient returns the client that forwards a request.
func (f *Front) peerClient(r *request) *backendhttp.Client {
	if f.WarmPeers != nil && (f.forwardsByRoom(r) || f.Local.Pool(r.service).SharedMachines()) {
		return f.WarmPeers
	}
	return f.Peers
}

// avoidRefusing avoids a peer that refused a request for itself only. Another instance of its region may then be tried, once
// for each region: the whole region may be shutting down.
func (f *Front) avoidRefusing(r *request, failed *failure, remote *Remote) {
	if !failed.remote || !failed.ofInstance() || slices.Contains(r.refusedOnce, remote.Region) {
		return
	}
	f.Remotes.MarkUnreachable(remote.Instance)
	r.refusedOnce = append(r.refusedOnce, remote.Region)
	failed.remote = false
}

// ofInstance reports whether an instance refused a request for a reason that other instances of its region need not have.
func (f *failure) ofInstance() bool {
	return f.run == runNotRun && !f.sent && (f.reason == reasonStopping || f.reason == reasonMemory)
}

// maxFailureBody bounds what is read of the body of a forwardFailure, in bytes. It has none.
const maxFailureBody = 1 << 10

// decodeForwardFailure decodes why a peer did not serve the request.
func decodeForwardFailure(resp *backendhttp.Response, encoded string, remote *Remote) *failure {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxFailureBody)) // an incomplete body means that the connection is not reused
	resp.Close()
	var decoded forwardFailure
	if err := json.Unmarshal([]byte(encoded), &decoded); err != nil {
		return &failure{run: runUnknown, reason: reasonPeer, sent: true, cause: err}
	}
	return &failure{
		run: decoded.Run, reason: decoded.Reason, sent: decoded.Sent, server: remote.Instance + "/" + decoded.Server,
		retryAfter: time.Duration(decoded.RetryAfterMs) * time.Millisecond, remote: true,
	}
}

func (f *Front) responseReporter(o *outbound, remote *Remote) responseReporter {
	return responseReporter{
		log: f.Log, metrics: f.Metrics, service: o.service, request: o.id,
		sender: senderPeer, name: remote.Instance, address: remote.Address,
	}
}

// forwardFailed records that a forwarded request got no response.
func (f *Front) forwardFailed(ctx context.Context, o *outbound, remote *Remote, err error) *failure {
	failed := &failure{run: runUnknown, reason: reasonPeer, sent: true, server: remote.Instance, cause: err}
	switch {
	case errors.Is(err, backendhttp.ErrNotSent):
		failed.run, failed.sent = runNotRun, false
	case errors.Is(err, backendhttp.ErrMalformed):
		failed.reason = reasonMalformed
		reporter := f.responseReporter(o, remote)
		reporter.checkMalformed(err)
	case errors.Is(err, backendhttp.ErrIdleTimeout):
		failed.reason = reasonSilent
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		failed.reason = reasonDeadline
	}
	if ctx.Err() == nil {
		f.Remotes.MarkUnreachable(remote.Instance)
	}
	f.Log.Info("forward_failed", "request", o.id, "service", o.service, "peer", remote.Instance, "region", remote.Region,
		"run", string(failed.run), "error", err.Error())
	return failed
}

// Peer serves the requests that other instances forward.
type Peer struct {
	Codec    Codec
	Local    *LocalDispatcher
	Routes   *routes.Table
	Stopping func() bool
	Features features.Set
	Memory   *Budget // for bodies; nil for no limit

	summaries summaries
}

// ServeHTTP implements http.Handler.
func (p *Peer) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	var info forwardInfo
	if err := json.Unmarshal([]byte(hr.Header.Get(headerForward)), &info); err != nil {
		http.Error(w, "not a forwarded request", http.StatusBadRequest)
		return
	}
	watched, counted := outcome.Watch(w, hr), p.Local.Metrics.peers.Request()
	defer counted.End(cutByPanic) // counts only if nothing else has ended the request
	defer func() {
		if cause := recover(); cause != nil {
			p.endPanicked(watched, hr, info.Service, cause, counted)
		}
	}()
	call := p.Codec.DecodeCall(hr.Header)
	body, err := p.Memory.readAll(hr.Body)
	switch {
	case errors.Is(err, errBudgetSpent):
		p.refuse(w, &outbound{id: call.RequestID, service: info.Service}, &failure{run: runNotRun, reason: reasonMemory})
		return
	case err != nil:
		panic(http.ErrAbortHandler) // the peer closed the connection early; no response is possible
	}
	counted.Read()
	defer p.Memory.Release(len(body))
	o := p.outbound(hr, &info, &call, body, arrived)
	ctx, cancel := context.WithDeadline(hr.Context(), o.deadline)
	defer cancel()
	failed := p.run(ctx, watched, o, info.Detached)
	if failed != nil && !failed.responseStarted {
		p.refuse(watched, o, failed)
	}
	counted.End(endingOf(watched, nil, failed))
	if failed != nil && failed.responseStarted {
		panic(http.ErrAbortHandler) // the peer has to see that the response is incomplete
	}
}

// refuse responds to the first instance that the request was not served.
func (p *Peer) refuse(w http.ResponseWriter, o *outbound, failed *failure) {
	p.Local.Log.Info("forwarded_refused", "request", o.id, "service", o.service, "reason", string(failed.reason),
		"run", string(failed.run), "server", failed.server, "sent", failed.sent)
	encoded, _ := json.Marshal(forwardFailure{ // strings and numbers always marshal
		Run: failed.run, Reason: failed.reason, Sent: failed.sent, Server: failed.server, RetryAfterMs: failed.retryAfter.Milliseconds(),
	})
	w.Header().Set(headerRequest, o.id)
	p.reportRoom(w.Header(), o.service)
	w.Header().Set(headerFailure, string(encoded))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// precedence returns the precedence among the requests of a service.
func (p *Peer) precedence(service string) routes.Precedence {
	config := p.config()
	if config == nil || !p.Features.On(features.UrgentFirst) {
		return routes.Precedence{}
	}
	return config.Precedence(service)
}

func (p *Peer) config() *routes.Config {
	if p.Routes == nil {
		return nil
	}
	return p.Routes.Current()
}

// reportRoom adds the room of the local region to a response.
func (p *Peer) reportRoom(h http.Header, service string) {
	if pool := p.Local.Pool(service); p.precedence(service).Enforced || pool.SharedMachines() {
		now := time.Now()
		h.Set(headerRoom, p.summaries.encoded(service, pool, p.Local.Waiting.expectedWait(service, now), now))
	}
}

// sendContext returns the context of a request from its sending on.
func sendContext(ctx context.Context, deadline time.Time, detached bool) (context.Context, context.CancelFunc) {
	if detached {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func (p *Peer) outbound(hr *http.Request, info *forwardInfo, call *Call, body []byte, arrived time.Time) *outbound {
	header := EndToEnd(hr.Header)
	delete(header, headerForward)
	deadline := arrived.Add(time.Duration(info.LeftMs) * time.Millisecond)
	precedence := p.precedence(info.Service)
	var holder placement.FetchSource
	if info.HolderAddress != "" && p.Local.Backends.AddressAcceptsWork(info.HolderAddress, arrived) {
		holder = placement.FetchSource{Address: info.HolderAddress, Tokens: info.HolderTokens}
	}
	return &outbound{
		id: call.RequestID, service: info.Service, account: info.Account, method: hr.Method, target: hr.RequestURI,
		host: hr.Host, header: header, body: body, deadline: deadline, repeatable: info.Repeatable, stream: info.Stream, print: info.Fingerprint,
		parts: partsOf(info.Service, call.Segments), trial: info.Trial,
		lastEventID: info.LastEventID, config: info.Config, ranked: precedence.Enforced,
		work: &placement.Request{
			Segments: call.Segments, Tokens: call.PromptTokens, Urgency: precedence.FromPeer(info.Urgency, info.Ranked), Probe: info.Repeatable,
			AllowEjected: !info.Detached,
			RemoteSource: holder, Build: info.build(),
			Objective: time.Duration(info.ObjectiveMs) * time.Millisecond, Arrived: arrived, Deadline: deadline,
		},
	}
}

// run sends the request to a server of the local region and copies the response.
// A detached one runs on after the first instance has ended, once it has been sent.
func (p *Peer) run(ctx context.Context, w http.ResponseWriter, o *outbound, detached bool) *failure {
	if p.Stopping() || p.Routes.Current() == nil {
		return &failure{run: runNotRun, reason: reasonStopping}
	}
	if !o.trial && p.Local.Parts.Banned(suspectsOf(o.print, o.parts), time.Now()) {
		return &failure{run: runNotRun, reason: reasonQuarantine, retryAfter: quarantine.TrialInterval}
	}
	choice, failed := p.place(ctx, o)
	if failed != nil {
		return failed
	}
	ctx, cancel := sendContext(ctx, o.deadline, detached)
	defer cancel()
	rep, failed := p.Local.send(ctx, o, choice)
	if failed != nil {
		return failed
	}
	return p.copy(ctx, w, o, rep)
}

// place places the request. One that no server takes now may wait for a slot while it can be on time.
func (p *Peer) place(ctx context.Context, o *outbound) (placement.Choice, *failure) {
	pool, now := p.Local.Pool(o.service), time.Now()
	o.work.Waits = mayWait(p.config(), p.Features, o.service, o.work.Urgency)
	if !o.work.Waits {
		return placed(pool.Place(o.work, now))
	}
	if !p.Local.Waiting.mayStart(o.service, now) {
		return p.awaitSlot(ctx, o)
	}
	choice, refused := placed(pool.Place(o.work, now))
	switch {
	case refused == nil:
		p.Local.Waiting.recordStart(o.service, true, now)
		return choice, nil
	case !refused.worthWaiting():
		return choice, refused
	}
	return p.awaitSlot(ctx, o)
}

func placed(choice placement.Choice) (placement.Choice, *failure) {
	if choice.Placement == nil {
		return choice, refusalOf(choice)
	}
	return choice, nil
}

// awaitSlot lets a forwarded request wait while it can be on time.
func (p *Peer) awaitSlot(ctx context.Context, o *outbound) (choice placement.Choice, failed *failure) {
	waiting := waitBounds(o.work, o.body)
	waiting.Account, waiting.Latest = o.account, waiting.OnTime
	if account := p.config().Accounts[o.account]; account != nil {
		waiting.Weight = account.Rate
	}
	failed = p.Local.Waiting.await(ctx, o.service, waiting, func(now time.Time, options tryOptions) (tryResult, *failure) {
		if !options.local {
			return notPlaced, nil
		}
		if !o.trial && p.Local.Parts.Banned(suspectsOf(o.print, o.parts), now) {
			return notPlaced, &failure{run: runNotRun, reason: reasonQuarantine, retryAfter: quarantine.TrialInterval}
		}
		var refused *failure
		choice, refused = placed(p.Local.Pool(o.service).Place(o.work, now))
		switch {
		case refused == nil:
			return placedLocally, nil
		case refused.worthWaiting():
			return notPlaced, nil
		}
		return notPlaced, refused
	})
	return choice, failed
}

// writeHead writes the head of a server's response.
func (p *Peer) writeHead(w http.ResponseWriter, o *outbound, rep *reply) {
	h := w.Header()
	for name, values := range EndToEnd(rep.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
	h.Set(headerRequest, o.id)
	p.reportRoom(h, o.service)
	h.Set(headerServer, rep.server)
	encodeBuild(h, rep.build)
	if rep.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(rep.Length, 10))
	}
	w.WriteHeader(rep.Status)
}

// copy relays the response as it arrives. It returns the failure of a response that was cut off, and nil if the first
// instance has got all of it or has disconnected. The head is written with the first byte of the body: until then the
// failure can still be reported.
func (p *Peer) copy(ctx context.Context, w http.ResponseWriter, o *outbound, rep *reply) *failure {
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBuffer)
	var tail streamTail
	for started := false; ; started = true {
		n, err := rep.Read(buffer)
		tail.push(buffer[:n])
		aborted := isAborted(o, rep, tail, err)
		if aborted && !started && n == 0 {
			return cutOff(ctx, rep, err, false)
		}
		if !started {
			p.writeHead(w, o, rep)
		}
		if n > 0 {
			rep.reportProgress(time.Now())
			if lastBoundary(buffer[:n]) > 0 {
				rep.markBegun()
			}
			_, failed := w.Write(buffer[:n])
			if failed == nil {
				failed = control.Flush()
			}
			if failed != nil {
				rep.end(placement.OutcomeCancelled)
				return nil
			}
		}
		switch {
		case aborted:
			return cutOff(ctx, rep, err, true)
		case err != nil:
			rep.end(outcomeOf(rep.Status))
			return nil
		}
	}
}

// isAborted reports whether a response ended early, by the error of its last read and the end of what has arrived.
func isAborted(o *outbound, rep *reply, tail streamTail, err error) bool {
	if errors.Is(err, io.EOF) {
		stream := isEventStream(rep.Header) || o.stream && rep.Status == http.StatusOK
		return rep.EndsWithConn && stream && !tail.endsEvent()
	}
	return err != nil
}

// cutOff ends a response that ended early. started says whether the first instance has got a part of it.
func cutOff(ctx context.Context, rep *reply, err error, started bool) *failure {
	if errors.Is(err, io.EOF) {
		err = errIncompleteEvent
	}
	rep.endPartial(interruptedOutcome(ctx), err)
	f := &failure{run: runRan, reason: reasonBroken, server: rep.server, sent: true, responseStarted: started, cause: err}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		f.reason = reasonDeadline
	case rep.report.checkMalformed(err):
		f.reason = reasonMalformed
	case errors.Is(err, backendhttp.ErrIdleTimeout):
		f.reason = reasonSilent
	}
	return f
}

// interruptedOutcome returns the outcome of a response that ended early. One whose context has ended says nothing about
// its server: the first instance has closed the connection.
func interruptedOutcome(ctx context.Context) placement.Outcome {
	if ctx.Err() != nil {
		return placement.OutcomeCancelled
	}
	return placement.OutcomeFailed
}

func outcomeOf(status int) placement.Outcome {
	if status >= http.StatusInternalServerError {
		return placement.OutcomeErrorCode
	}
	return placement.OutcomeServed
}

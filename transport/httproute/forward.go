package httproute

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// Headers between instances. A forwarded request makes one hop: the instance that
// takes it sends it to a server of its own region or says why not.
const (
	headerForward = "Basilroute-Forward" // a forwarded, in JSON
	headerRequest = "Basilroute-Request" // id of the request that an answer belongs to
	headerServer  = "Basilroute-Server"  // that answered
	headerFailure = "Basilroute-Failure" // a refused, in JSON; the answer is no server's
)

// forwarded is what the first instance says of a request.
type forwarded struct {
	Service     string `json:"service"`
	Account     string `json:"account,omitempty"`
	Urgency     int    `json:"urgency"`
	LeftMs      int64  `json:"left_ms"`      // until its deadline
	ObjectiveMs int64  `json:"objective_ms"` // left of its objective; 0 for none
	Repeatable  bool   `json:"repeatable"`
	Last        bool   `json:"last"`     // no other attempt may follow
	Detached    bool   `json:"detached"` // runs to its end when the caller has gone
	Print       string `json:"print"`
	LastEventID string `json:"last_event_id,omitempty"`
	Config      int64  `json:"config"`
	// HolderAddress is of a server of the first region that holds HolderTokens of the prompt.
	HolderAddress string `json:"holder_address,omitempty"`
	HolderTokens  int    `json:"holder_tokens,omitempty"`
}

// refused is a failure on its way to the first instance.
type refused struct {
	Run          run    `json:"run"`
	Reason       reason `json:"reason"`
	Sent         bool   `json:"sent"`
	Server       string `json:"server,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// forward sends the request to a peer of another region and reads the answer's head.
func (f *Front) forward(ctx context.Context, r *request, o *outbound, remote *Remote) (*reply, *failure) {
	now := time.Now()
	holder := f.holder(r, now)
	note, err := json.Marshal(forwarded{
		HolderAddress: holder.Address, HolderTokens: holder.Tokens,
		Service: o.service, Account: o.account, Urgency: o.work.Urgency, LeftMs: o.deadline.Sub(now).Milliseconds(),
		ObjectiveMs: max(r.work.Objective-now.Sub(r.arrived), 0).Milliseconds(), Repeatable: o.repeatable,
		Detached: r.route.Kind == routes.KindNonIdempotent, Print: o.print, LastEventID: o.lastEventID, Config: o.config,
	})
	if err != nil {
		return nil, &failure{run: notRun, reason: reasonPeer, cause: err}
	}
	header := f.Codec.Outbound(o.header, Outbound{Account: o.account, Timeout: o.deadline.Sub(now), Urgency: -1, LastEventID: o.lastEventID})
	header.Set(headerForward, string(note))
	silence := o.silence(remote.ExpectedFirstByte, now)
	if silence > 0 {
		silence += remote.RoundTrip
	}
	answer, err := f.Peers.Do(ctx, remote.Address, &backendhttp.Request{
		Method: o.method, Target: o.target, Host: o.host, Header: header, Body: o.body,
	}, backendhttp.Options{
		FreshConn: !o.repeatable, IdleTimeout: silence, ShouldAbort: o.giveUp,
		MatchResponse: func(resp *http.Response) bool { return resp.Header.Get(headerRequest) == o.id },
	})
	f.Metrics.forwarded(o.service)
	if err != nil {
		return nil, f.peerFailed(ctx, o, remote, err)
	}
	if note := answer.Header.Get(headerFailure); note != "" {
		return nil, refusedBy(answer, note, remote)
	}
	rep := &reply{
		Response: answer, verdict: f.Codec.DecodeResponse(answer.Status, answer.Header),
		server: answer.Header.Get(headerServer), ended: func(placement.Outcome) {},
	}
	delete(answer.Header, headerRequest)
	delete(answer.Header, headerServer)
	return rep, nil
}

// refusedBy reads why a peer did not serve the request.
func refusedBy(answer *backendhttp.Response, note string, remote *Remote) *failure {
	_, _ = io.Copy(io.Discard, answer) // the end of the answer; a broken one is not used again
	answer.Close()
	var said refused
	if err := json.Unmarshal([]byte(note), &said); err != nil {
		return &failure{run: unknown, reason: reasonPeer, sent: true, cause: err}
	}
	return &failure{
		run: said.Run, reason: said.Reason, sent: said.Sent, server: remote.Instance + "/" + said.Server,
		retryAfter: time.Duration(said.RetryAfterMs) * time.Millisecond, remote: true,
	}
}

// peerFailed takes in that a peer gave no answer.
func (f *Front) peerFailed(ctx context.Context, o *outbound, remote *Remote, err error) *failure {
	failed := &failure{run: unknown, reason: reasonPeer, sent: true, server: remote.Instance, cause: err}
	switch {
	case errors.Is(err, backendhttp.ErrNotSent):
		failed.run, failed.sent = notRun, false
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

// Peer takes the requests that other instances forward.
type Peer struct {
	Codec    Codec
	Local    *LocalDispatcher
	Routes   *routes.Table
	Stopping func() bool
}

// ServeHTTP implements http.Handler.
func (p *Peer) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	arrived := time.Now()
	var said forwarded
	if err := json.Unmarshal([]byte(hr.Header.Get(headerForward)), &said); err != nil {
		http.Error(w, "not a forwarded request", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(hr.Body)
	if err != nil {
		panic(http.ErrAbortHandler) // the peer broke off: there is nobody to answer
	}
	call := p.Codec.DecodeCall(hr.Header)
	o := p.outbound(hr, &said, &call, body, arrived)
	ctx, cancel := p.lifetime(hr.Context(), &said, o.deadline)
	defer cancel()
	failed := p.run(ctx, w, o)
	if failed == nil {
		return
	}
	p.Local.Log.Info("forwarded_refused", "request", o.id, "service", o.service, "reason", string(failed.reason),
		"run", string(failed.run), "server", failed.server, "sent", failed.sent)
	note, _ := json.Marshal(refused{ // strings and numbers always encode
		Run: failed.run, Reason: failed.reason, Sent: failed.sent, Server: failed.server, RetryAfterMs: failed.retryAfter.Milliseconds(),
	})
	w.Header().Set(headerRequest, o.id)
	w.Header().Set(headerFailure, string(note))
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (p *Peer) lifetime(ctx context.Context, said *forwarded, deadline time.Time) (context.Context, context.CancelFunc) {
	if said.Detached {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func (p *Peer) outbound(hr *http.Request, said *forwarded, call *Call, body []byte, arrived time.Time) *outbound {
	header := EndToEnd(hr.Header)
	delete(header, headerForward)
	deadline := arrived.Add(time.Duration(said.LeftMs) * time.Millisecond)
	return &outbound{
		id: call.RequestID, service: said.Service, account: said.Account, method: hr.Method, target: hr.RequestURI,
		host: hr.Host, header: header, body: body, deadline: deadline, repeatable: said.Repeatable, print: said.Print,
		lastEventID: said.LastEventID, config: said.Config,
		work: &placement.Request{
			Segments: call.Segments, Tokens: call.PromptTokens, Urgency: said.Urgency, Probe: said.Repeatable,
			AllowEjected: !said.Detached,
			RemoteSource: placement.FetchSource{Address: said.HolderAddress, Tokens: said.HolderTokens},
			Objective:    time.Duration(said.ObjectiveMs) * time.Millisecond, Arrived: arrived, Deadline: deadline,
		},
	}
}

// run sends the request to a server of the own region and copies the answer.
func (p *Peer) run(ctx context.Context, w http.ResponseWriter, o *outbound) *failure {
	if p.Stopping() || p.Routes.Current() == nil {
		return &failure{run: notRun, reason: reasonStopping}
	}
	if until, bad := p.Local.Quarantine.Quarantined(o.print, time.Now()); bad {
		return &failure{run: notRun, reason: reasonQuarantine, retryAfter: time.Until(until)}
	}
	choice := p.Local.Pool(o.service).Place(o.work, time.Now())
	if choice.Placement == nil {
		return refusalOf(choice)
	}
	rep, failed := p.Local.send(ctx, o, choice)
	if failed != nil {
		return failed
	}
	h := w.Header()
	for name, values := range EndToEnd(rep.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // net/http would guess one
	}
	h.Set(headerRequest, o.id)
	h.Set(headerServer, rep.server)
	if rep.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(rep.Length, 10))
	}
	w.WriteHeader(rep.Status)
	p.copy(w, rep)
	return nil
}

// copy hands on the answer as it comes. One that breaks off breaks this one off too.
func (p *Peer) copy(w http.ResponseWriter, rep *reply) {
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := rep.Read(buffer)
		if n > 0 {
			rep.wentOn(time.Now())
			_, failed := w.Write(buffer[:n])
			if failed == nil {
				failed = control.Flush()
			}
			if failed != nil {
				rep.end(placement.OutcomeCancelled)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			rep.end(outcomeOf(rep.Status))
			return
		case err != nil:
			rep.end(placement.OutcomeFailed)
			panic(http.ErrAbortHandler)
		}
	}
}

func outcomeOf(status int) placement.Outcome {
	if status >= http.StatusInternalServerError {
		return placement.OutcomeErrorCode
	}
	return placement.OutcomeServed
}

package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// Target is a destination of requests.
type Target interface {
	// Send sends one request, reads its response and fills in the outcome.
	Send(ctx context.Context, p *PlannedRequest, out *Outcome)
}

const (
	idlePerHost      = 1024
	idleLimit        = time.Minute
	maxResponseBytes = 16 << 20
)

// Transport is an HTTP transport with keep-alive connections.
type Transport = *backendhttp.RoundTripper

// NewTransport returns a transport for many concurrent requests.
func NewTransport() Transport {
	return backendhttp.NewRoundTripper(backendhttp.Settings{MaxIdle: idlePerHost, IdleLimit: idleLimit}, nil)
}

// Gateway sends requests to entry instances as a well-behaved caller does: each account
// uses the instances that /v1/entries lists for it.
type Gateway struct {
	client     *http.Client
	entryLists map[string]*entryList // by account
	retries    int64
}

// NewGateway fetches the list of instances for every account of the mix from one of the
// seeds, and refreshes the lists until ctx is done.
func NewGateway(ctx context.Context, m *Mix, seeds []string, transport Transport) *Gateway {
	g := &Gateway{client: &http.Client{Transport: transport}, entryLists: make(map[string]*entryList), retries: m.Retries}
	for i := range m.Accounts {
		a := &m.Accounts[i]
		e := &entryList{client: g.client, key: a.Key, seeds: seeds, spread: int(m.Spread)}
		g.entryLists[a.Name] = e
		e.refresh(ctx)
		go e.refreshLoop(ctx)
	}
	return g
}

// NewFixedGateway returns a Gateway that sends all requests to one instance.
func NewFixedGateway(m *Mix, address string, transport Transport) *Gateway {
	g := &Gateway{client: &http.Client{Transport: transport}, entryLists: make(map[string]*entryList), retries: m.Retries}
	for _, a := range m.Accounts {
		g.entryLists[a.Name] = &entryList{seeds: []string{address}, spread: 1}
	}
	return g
}

// Send implements Target.
func (g *Gateway) Send(ctx context.Context, p *PlannedRequest, out *Outcome) {
	e := g.entryLists[p.Account.Name]
	for attempt := 0; ; attempt++ {
		*out = Outcome{Attempts: attempt + 1}
		address := e.pick(p.Number + attempt)
		g.sendOnce(ctx, address, p, out)
		if out.Code == CodeConnection {
			e.moveToEnd(address)
		}
		if len(out.Entries) > 0 {
			e.replace(out.Entries)
		}
		if int64(attempt) >= g.retries || out.Run != string(gatewayapi.RefusalRunNotRun) || out.RetryAfter == 0 {
			return
		}
		select {
		case <-time.After(out.RetryAfter):
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gateway) sendOnce(ctx context.Context, address string, p *PlannedRequest, out *Outcome) {
	req, err := gatewayRequest(ctx, address, p)
	if err != nil {
		out.Code = CodeConnection
		return
	}
	resp, err := g.client.Do(req)
	if err != nil {
		out.Code = CodeConnection
		if ctx.Err() != nil {
			out.Code = CodeClientTimeout
		}
		return
	}
	defer resp.Body.Close()
	out.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		readRefusal(resp.Body, out)
	case p.Kind.Operation != "":
		readOperation(resp.Body, p, out)
	case p.Kind.NonStreaming:
		readCompletion(resp.Body, p, out)
	default:
		readEvents(resp.Body, p, out)
	}
	if ctx.Err() != nil && out.Code == CodeCut {
		out.Code = CodeClientTimeout
	}
}

func gatewayRequest(ctx context.Context, address string, p *PlannedRequest) (*http.Request, error) {
	path, body := "/v1/completions", p.Body
	if p.Kind.Operation != "" {
		path = "/v1/services/" + p.Kind.Service + "/operations/" + p.Kind.Operation
	} else {
		var err error
		body, err = (&gatewayapi.CompletionRequest{
			Model: p.Kind.Service, Prompt: p.Prompt,
			MaxTokens: gatewayapi.NewOptInt(p.MaxTokens), Stream: gatewayapi.NewOptBool(!p.Kind.NonStreaming),
		}).MarshalJSON()
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+p.Account.Key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Class", p.Kind.Class)
	if p.Key != "" {
		req.Header.Set("Idempotency-Key", p.Key)
	}
	return req, nil
}

func readRefusal(body io.Reader, out *Outcome) {
	var r gatewayapi.Refusal
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil || r.UnmarshalJSON(data) != nil {
		out.Code = CodeConnection
		return
	}
	out.Code, out.Run = r.Code, string(r.Run)
	out.RetryAfter = time.Duration(r.RetryAfterMs.Or(0)) * time.Millisecond
	for _, e := range r.Entries {
		out.Entries = append(out.Entries, "http://"+e.Address)
	}
}

func readOperation(body io.Reader, p *PlannedRequest, out *Outcome) {
	var sent, got struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(p.Body, &sent) // the planner wrote it
	if err := json.NewDecoder(body).Decode(&got); err != nil {
		out.Code = CodeCut
		return
	}
	out.Code = CodeDone
	if got.ID != sent.ID {
		out.Code = CodeWrongAnswer
	}
}

func readCompletion(body io.Reader, p *PlannedRequest, out *Outcome) {
	var answer gatewayapi.Completion
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil || answer.UnmarshalJSON(data) != nil || len(answer.Choices) != 1 {
		out.Code = CodeCut
		return
	}
	check := newResponseChecker(p.Prompt)
	check.add(answer.Choices[0].Text)
	out.Code, out.Tokens = check.resultCode(p.MaxTokens), check.nextToken
}

// Engine sends generations directly to an engine, bypassing the gateway.
type Engine struct {
	Client *http.Client
	URL    string
}

// Send implements Target.
func (e *Engine) Send(ctx context.Context, p *PlannedRequest, out *Outcome) {
	out.Attempts = 1
	body, err := (&engineapi.GenerateRequest{
		RequestID: uuid.NewString(), Attempt: 1, Account: p.Account.Name, Prompt: p.Prompt, MaxTokens: p.MaxTokens,
	}).MarshalJSON()
	if err != nil {
		out.Code = CodeConnection
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		out.Code = CodeConnection
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := e.Client.Do(req)
	if err != nil {
		out.Code = CodeConnection
		return
	}
	defer resp.Body.Close()
	out.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		out.Code = CodeConnection
		return
	}
	readFrames(resp.Body, p, out)
}

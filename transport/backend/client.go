// Package backend talks to backend servers: it dispatches generations and
// operations, polls load, and cancels.
//
// A request is sent once. The HTTP client's own resending is off, because on a
// kept-alive connection that dies it would send a request again that the server
// may have run already.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/plainapi"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/state/servers"
)

const (
	idlePerHost    = 64
	dialTimeout    = time.Second
	controlTimeout = 2 * time.Second
	maxAnswerBytes = 16 << 20
	// RequestIDHeader carries the request id to plain services.
	RequestIDHeader = "X-Request-Id"
	accountHeader   = "X-Account"
	viaHeader       = "X-Via"
	keyHeader       = "Idempotency-Key"
	maxErrorBytes   = 64 << 10
)

// Client is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client with its own connections.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{http: &http.Client{
		CheckRedirect: noRedirect,
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
	}}
}

// noRedirect hands a redirect back as the answer. Following it would send the
// request a second time, and its data to a server that routing did not choose.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// once hides the body's type from net/http, so that it cannot rewind the body
// and send the request again. Symptom without it: a purchase order with an
// idempotency key runs twice when the server resets a kept-alive connection
// after reading it. It suffices because net/http resends only requests without
// a body or with GetBody set.
type once struct{ io.Reader }

func post(ctx context.Context, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, once{bytes.NewReader(body)})
	if err != nil {
		return nil, errors.Wrap(err, "backend request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// failure turns an error of the connection into a refusal. Only an error of
// dialing proves that the server never saw the request.
func failure(err error) *refusal.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return refusal.New(refusal.CodeBackendFailed, "backend server not reached")
	}
	return refusal.New(refusal.CodeBackendFailed, "connection to the backend server broke").WithRun(refusal.Unknown)
}

// Operation is one call of a plain service.
type Operation struct {
	Name      string
	RequestID string
	Account   string
	Via       string
	Body      []byte

	IdempotencyKey string // empty for none
}

// Run sends an operation to a server, once. The error is a *refusal.Refusal.
func (c *Client) Run(ctx context.Context, address string, op Operation) ([]byte, error) {
	req, err := post(ctx, address+"/v1/operations/"+op.Name, op.Body)
	if err != nil {
		return nil, refusal.New(refusal.CodeInternal, "%v", err)
	}
	req.Header.Set(accountHeader, op.Account)
	req.Header.Set(RequestIDHeader, op.RequestID)
	if op.Via != "" {
		req.Header.Set(viaHeader, op.Via)
	}
	if op.IdempotencyKey != "" {
		req.Header.Set(keyHeader, op.IdempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, failure(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, answerRefusal(resp)
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(answer) > maxAnswerBytes {
		return nil, refusal.New(refusal.CodeBackendFailed, "the answer was cut").WithRun(refusal.Ran)
	}
	return answer, nil
}

// answerRefusal is what an error status of a backend server becomes. Only an
// error code of the server's API proves that it did not begin: a bare 503 may
// come from something in between, after the server began.
func answerRefusal(resp *http.Response) *refusal.Refusal {
	if didNotBegin(resp) {
		return refusal.New(refusal.CodeBackendFailed, "the backend server takes no work")
	}
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return refusal.New(refusal.CodeInvalid, "the backend server refused the body").WithRun(refusal.Unknown)
	}
	return refusal.New(refusal.CodeBackendFailed, "the backend server answered %d", resp.StatusCode).WithRun(refusal.Unknown)
}

// didNotBegin reads the code that engine.yaml and plain.yaml give to a request
// that was not begun.
func didNotBegin(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return false
	}
	var refused engineapi.Error
	if err := refused.UnmarshalJSON(data); err != nil {
		return false
	}
	return refused.Code == engineapi.ErrorCodeLeaving || refused.Code == engineapi.ErrorCodeOverloaded
}

// EngineLoad asks an engine for its load.
func (c *Client) EngineLoad(ctx context.Context, address string, now time.Time) (servers.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	api, err := engineapi.NewClient(address, engineapi.WithClient(c.http))
	if err != nil {
		return servers.Load{}, errors.Wrap(err, "engine load")
	}
	load, err := api.GetLoad(ctx)
	if err != nil {
		return servers.Load{}, errors.Wrap(err, "engine load")
	}
	return servers.Load{
		At: now, BootID: load.BootID, Running: load.Running, Waiting: load.Waiting,
		WaitingTokens: load.WaitingTokens, PrefillRate: load.PrefillRate,
		DecodeRate: load.DecodeRate, CacheUsed: load.CacheUsed, Leaving: load.Leaving,
	}, nil
}

// PlainLoad asks a plain service for its load.
func (c *Client) PlainLoad(ctx context.Context, address string, now time.Time) (servers.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	api, err := plainapi.NewClient(address, plainapi.WithClient(c.http))
	if err != nil {
		return servers.Load{}, errors.Wrap(err, "plain service health")
	}
	health, err := api.GetHealth(ctx)
	if err != nil {
		return servers.Load{}, errors.Wrap(err, "plain service health")
	}
	return servers.Load{At: now, BootID: health.BootID, Running: health.Running, Leaving: health.Leaving}, nil
}

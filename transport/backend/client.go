// Package backend is the client of backend servers: it sends generations, operations and
// orders, polls load and cache events, and cancels generations.
//
// A request that a server may have run is not sent again; polls are.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-faster/jx"
	"golang.org/x/sync/semaphore"

	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/plainapi"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/httpbound"
)

const (
	maxIdleConnsPerHost = 64
	idleLimit           = 30 * time.Second
	dialTimeout         = time.Second
	controlTimeout      = 2 * time.Second
	maxResponseBytes    = 16 << 20
	// maxLargeAnswers bounds how many answers of operations above smallAnswerBytes are read at a time.
	maxLargeAnswers  = 2
	smallAnswerBytes = 256 << 10
	// maxControlBytes bounds the response to a poll, an order or a cancel. The largest is a page of
	// cache events.
	maxControlBytes = 1 << 20
	// RequestIDHeader carries the request id to plain services.
	RequestIDHeader      = "X-Request-Id"
	accountHeader        = "X-Account"
	viaHeader            = "X-Via"
	idempotencyKeyHeader = "Idempotency-Key"
	maxErrorBytes        = 64 << 10
)

// Client is safe for concurrent use.
type Client struct {
	http    *http.Client
	control *http.Client // for polls, orders and cancels, whose responses are decoded as a whole
	answers *http.Client // for operations, whose answers are read as a whole
}

// New returns a client with its own connections.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := backendhttp.NewRoundTripper(backendhttp.Settings{
		Dial: dialer.DialContext, MaxIdle: maxIdleConnsPerHost, IdleLimit: idleLimit, MaxHead: httpbound.MaxHead,
	}, nil)
	return &Client{
		http:    &http.Client{CheckRedirect: noRedirect, Transport: transport},
		control: &http.Client{CheckRedirect: noRedirect, Transport: httpbound.Transport{Next: transport, MaxBody: maxControlBytes}},
		answers: &http.Client{CheckRedirect: noRedirect, Transport: httpbound.Transport{
			Next: transport, MaxBody: maxResponseBytes,
			Large: semaphore.NewWeighted(maxLargeAnswers), SmallBody: smallAnswerBytes,
		}},
	}
}

// noRedirect returns a redirect as the response. Following it would send the request a
// second time, and its data to a server that routing did not choose.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func post(ctx context.Context, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "backend request")
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// connectionRefusal converts a connection error to a refusal. The server never received a request of
// which no byte was sent.
func connectionRefusal(err error) *refusal.Refusal {
	if errors.Is(err, backendhttp.ErrNotSent) {
		return refusal.New(refusal.CodeBackendFailed, "backend server not reached")
	}
	return refusal.New(refusal.CodeBackendFailed, "connection to the backend server broke").WithRunState(refusal.RunUnknown)
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
		req.Header.Set(idempotencyKeyHeader, op.IdempotencyKey)
	}
	resp, err := c.answers.Do(req)
	if err != nil {
		return nil, connectionRefusal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusRefusal(resp)
	}
	body, err := httpbound.ReadAll(resp.Body)
	if err != nil {
		return nil, refusal.New(refusal.CodeBackendFailed, "the answer was cut").WithRunState(refusal.Ran)
	}
	if !jx.Valid(body) { // an answer without a length may end with the server's process
		return nil, refusal.New(refusal.CodeBackendFailed, "the answer is no JSON value").WithRunState(refusal.Ran)
	}
	return body, nil
}

// statusRefusal converts an error status of a backend server to a refusal. Only an error code
// of the server's API proves that the request was not started: a bare 503 may come from an
// intermediary after the server started it.
func statusRefusal(resp *http.Response) *refusal.Refusal {
	if notStarted(resp) {
		return refusal.New(refusal.CodeBackendFailed, "the backend server takes no work")
	}
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return refusal.New(refusal.CodeInvalid, "the backend server refused the body").WithRunState(refusal.RunUnknown)
	}
	return refusal.New(refusal.CodeBackendFailed, "the backend server answered %d", resp.StatusCode).WithRunState(refusal.RunUnknown)
}

// notStarted reports whether the response has one of the error codes that engine.yaml and
// plain.yaml define for a request that was not started.
func notStarted(resp *http.Response) bool {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return false
	}
	var apiError engineapi.Error
	if err := apiError.UnmarshalJSON(data); err != nil {
		return false
	}
	return apiError.Code == engineapi.ErrorCodeLeaving || apiError.Code == engineapi.ErrorCodeOverloaded
}

// EngineLoad polls the load of an engine.
func (c *Client) EngineLoad(ctx context.Context, address string, now time.Time) (servers.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	api, err := engineapi.NewClient(address, engineapi.WithClient(c.control))
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

// PlainLoad polls the load of a plain service.
func (c *Client) PlainLoad(ctx context.Context, address string, now time.Time) (servers.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	api, err := plainapi.NewClient(address, plainapi.WithClient(c.control))
	if err != nil {
		return servers.Load{}, errors.Wrap(err, "plain service health")
	}
	health, err := api.GetHealth(ctx)
	if err != nil {
		return servers.Load{}, errors.Wrap(err, "plain service health")
	}
	return servers.Load{At: now, BootID: health.BootID, Running: health.Running, Leaving: health.Leaving}, nil
}

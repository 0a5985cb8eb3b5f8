package backendhttp

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/responsehead"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// RoundTripper is an http.RoundTripper on Clients, for callers that need an http.Client. Unlike http.Transport it refuses
// responses with an invalid head, speaks HTTP/1.1 without compression or a proxy, and takes the body of a request into
// memory. A request that may have reached its server is sent again only if it is a GET or HEAD, its connection was reused,
// and broke before a byte of the response.
type RoundTripper struct {
	plain, secured *Client

	mu      sync.Mutex
	sweeper *time.Timer // nil while no connection is idle
}

const (
	defaultMaxIdle = 2
	schemeHTTP     = "http"
	schemeHTTPS    = "https"
)

// NewRoundTripper returns a RoundTripper without open connections. dialTLS opens connections for https URLs; nil to verify
// servers with the system's CAs.
func NewRoundTripper(settings Settings, dialTLS DialFunc) *RoundTripper {
	if settings.MaxIdle == 0 {
		settings.MaxIdle = defaultMaxIdle
	}
	t := &RoundTripper{plain: New(settings)}
	settings.Dial = dialTLS
	if dialTLS == nil {
		settings.Dial = (&tls.Dialer{NetDialer: &t.plain.dialer}).DialContext
	}
	t.secured = New(settings)
	return t
}

// RoundTrip implements http.RoundTripper.
func (t *RoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	r, err := encodeRequest(req)
	if err != nil {
		return nil, err
	}
	client, address, err := t.target(req)
	if err != nil {
		return nil, err
	}
	for {
		a, err := client.Do(req.Context(), address, r, Options{MatchResponse: func(*http.Response) bool { return true }})
		switch {
		case err == nil:
			return t.response(req, a), nil
		case !errors.Is(err, errUnanswered) || !isSafe(r.Method) || req.Context().Err() != nil:
			return nil, causeOf(req.Context(), err)
		}
	}
}

// isSafe reports whether a request changes nothing, and may be sent again.
func isSafe(method string) bool { return method == http.MethodGet || method == http.MethodHead }

// causeOf returns why a context ended as the error of its request.
func causeOf(ctx context.Context, err error) error {
	switch {
	case ctx.Err() == nil:
		return err
	case errors.Is(err, ErrNotSent):
		return errors.Mark(context.Cause(ctx), ErrNotSent)
	}
	return context.Cause(ctx)
}

// encodeRequest returns the request to be sent. It closes the body.
func encodeRequest(req *http.Request) (*Request, error) {
	r := &Request{Method: req.Method, Target: req.URL.RequestURI(), Host: req.Host, Header: make(http.Header, len(req.Header))}
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	if r.Host == "" {
		r.Host = req.URL.Host
	}
	for name, values := range req.Header {
		if !isFraming(name) {
			r.Header[name] = values
		}
	}
	var err error
	if r.Body, err = readBody(req); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "request body"), ErrNotSent)
	}
	return r, errors.Mark(r.validate(), ErrNotSent)
}

// isFraming reports whether a header field is written by the connection itself.
func isFraming(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer":
		return true
	}
	return false
}

func readBody(req *http.Request) ([]byte, error) {
	if req.Body == nil {
		return nil, nil
	}
	defer func() { _ = req.Body.Close() }() // it was read, or the request fails
	if req.ContentLength <= 0 {
		return io.ReadAll(req.Body)
	}
	body := make([]byte, req.ContentLength)
	_, err := io.ReadFull(req.Body, body)
	return body, err
}

// ErrInvalidRequest means that a request has bytes that would end one of its lines.
var ErrInvalidRequest = errors.New("invalid request")

func (r *Request) validate() error {
	if !responsehead.IsName(r.Method) || !responsehead.IsWord(r.Target) || !responsehead.IsWord(r.Host) {
		return errors.Wrapf(ErrInvalidRequest, "%q %q to %q", r.Method, r.Target, r.Host)
	}
	for name, values := range r.Header {
		for _, value := range values {
			if !responsehead.IsName(name) || !responsehead.IsValue(value) {
				return errors.Wrapf(ErrInvalidRequest, "header field %q", name) // without the value, which may be a secret
			}
		}
	}
	return nil
}

// target returns the client and the address for a URL.
func (t *RoundTripper) target(req *http.Request) (client *Client, address string, err error) {
	port := req.URL.Port()
	switch {
	case req.URL.Hostname() == "":
		return nil, "", errors.Mark(errors.Wrap(ErrInvalidRequest, "no host"), ErrNotSent)
	case req.URL.Scheme == schemeHTTP:
		client = t.plain
	case req.URL.Scheme == schemeHTTPS:
		client = t.secured
	default:
		return nil, "", errors.Mark(errors.Wrapf(ErrInvalidRequest, "scheme %q", req.URL.Scheme), ErrNotSent)
	}
	if port == "" {
		port = req.URL.Scheme // a name of the port
	}
	return client, net.JoinHostPort(req.URL.Hostname(), port), nil
}

// response passes on a response. One without a body frees its connection at once: not all callers close such bodies.
func (t *RoundTripper) response(req *http.Request, a *Response) *http.Response {
	out := *a.resp
	out.Request = req
	if out.Body == http.NoBody {
		a.complete = true
		t.release(a)
		return &out
	}
	out.Body = &responseBody{response: a, transport: t}
	return &out
}

// release ends a response, and has its connection closed once that has been idle for too long.
func (t *RoundTripper) release(a *Response) {
	a.Close()
	t.sweepLater()
}

func (t *RoundTripper) sweepLater() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sweeper == nil {
		t.sweeper = time.AfterFunc(sweepInterval, t.sweep)
	}
}

// sweepInterval is how often idle connections are looked through.
const sweepInterval = time.Second

func (t *RoundTripper) sweep() {
	t.plain.Sweep()
	t.secured.Sweep()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.plain.hasIdle() || t.secured.hasIdle() {
		t.sweeper.Reset(sweepInterval)
		return
	}
	t.sweeper = nil
}

// CloseIdleConnections closes the connections without a request.
func (t *RoundTripper) CloseIdleConnections() {
	t.plain.dropIdle()
	t.secured.dropIdle()
}

func (c *Client) hasIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle) > 0
}

func (c *Client) dropIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address := range c.idle {
		c.keepIdle(address, func(*conn) bool { return false })
	}
}

// responseBody is the body of a response. Like that of http.Transport it may be closed more than once, and during a read.
type responseBody struct {
	response  *Response
	transport *RoundTripper
	reading   sync.Mutex // held during a read
	closed    atomic.Bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if b.response.complete {
		return 0, io.EOF
	}
	n, err := b.response.Read(p)
	if err == nil || b.response.complete {
		return n, err
	}
	return n, causeOf(b.response.ctx, err)
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if !b.reading.TryLock() {
		_ = b.response.conn.Close() // ends the read
		b.reading.Lock()
	}
	defer b.reading.Unlock()
	b.transport.release(b.response)
	return nil
}

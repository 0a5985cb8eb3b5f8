// Package backendhttp sends HTTP/1.1 requests to backend servers and peers, and
// tells for each whether it may have run.
//
// net/http's own client is not used: it sends a request again by itself when a kept
// connection turns out dead, follows redirects, asks for compressed answers, and
// hands an answer that arrives unasked to the next request of the connection. Each
// of these can run a request twice or answer a caller with another's answer.
package backendhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Errors of Do and of reading an answer. Every other error leaves open whether the
// request ran.
var (
	// ErrRefused means that nothing listens at the address; nothing was sent.
	ErrRefused = errors.New("connection refused")
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = errors.New("the request was not sent")
	// ErrIdleTimeout means that the server said nothing for too long.
	ErrIdleTimeout = errors.New("the server is silent")
	// ErrMalformed means that what arrived is no answer to the request.
	ErrMalformed = errors.New("malformed answer")
)

// Settings of a Client.
type Settings struct {
	DialTimeout time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged. A link that is cut
	// never resets a connection; without the limit a request hangs until the
	// caller's deadline.
	UserTimeout time.Duration
	MaxIdle     int // kept connections for each address
}

const (
	// defaultKeep is how long an idle connection is kept when the server does not
	// say: the shortest idle timeout that is usual.
	defaultKeep = 4 * time.Second
	// keepMargin is how long before its timeout a connection is given up, so that a
	// request does not cross the server's close.
	keepMargin = 600 * time.Millisecond
	// freshFor is how recently a connection must have been used for a request that
	// may not be repeated. A server may drop an idle connection without notice, and
	// what is sent on it then is lost with its outcome unknown.
	freshFor = time.Second

	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Client keeps connections by address. It is safe for concurrent use.
type Client struct {
	settings Settings
	dialer   net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn // the most recently used last
}

// New returns a client without connections.
func New(settings Settings) *Client {
	c := &Client{settings: settings, idle: make(map[string][]*conn)}
	c.dialer = net.Dialer{
		Timeout: settings.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			control := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(settings.UserTimeout.Milliseconds()))
			})
			return errors.CombineErrors(control, err)
		},
	}
	return c
}

// Options of one request.
type Options struct {
	FreshConn     bool                      // only a new or just used connection: the request may not be repeated
	MatchResponse func(*http.Response) bool // tells whether an answer is this request's
	// IdleTimeout is how long the head of the answer is waited for before GiveUp is asked
	// whether to close the connection; 0 for as long as the context lasts.
	IdleTimeout time.Duration
	ShouldAbort func() bool
}

// Response is an answer whose body is still to be read. Close has to be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, -1 when it is not known beforehand.
	Length int64

	client  *Client
	address string
	conn    *conn
	resp    *http.Response
	writing <-chan error
	stop    func() bool
	whole   bool

	patience time.Duration
	silence  *time.Timer
	hearing  sync.Mutex
	heard    int  // times that something came
	silent   bool // the connection was closed for silence
	Reused   bool // the connection had carried a request before
}

// Do sends a request and reads the head of the answer. ctx covers the answer's body
// too: when it ends the connection is closed.
func (c *Client) Do(ctx context.Context, address string, r *Request, o Options) (*Response, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	}
	for {
		cn, err := c.take(ctx, address, o.FreshConn)
		if err != nil {
			return nil, err
		}
		a, err := c.on(ctx, cn, address, r, o)
		if err != nil && cn.reused && cn.written == 0 && ctx.Err() == nil {
			continue // closed while it was idle: nothing left
		}
		return a, err
	}
}

// on runs a request on a connection.
func (c *Client) on(ctx context.Context, cn *conn, address string, r *Request, o Options) (*Response, error) {
	a := &Response{client: c, address: address, conn: cn, Reused: cn.reused}
	cn.written = 0
	a.stop = cn.watch(ctx)
	var err error
	if a.writing, err = cn.send(r); err != nil {
		a.discard()
		if cn.written == 0 {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Wrap(err, "send")
	}
	if o.IdleTimeout > 0 {
		a.SetIdleTimeout(o.IdleTimeout, o.ShouldAbort)
	}
	a.resp, err = cn.answer(r.Method, o.MatchResponse)
	if err != nil {
		a.discard()
		return nil, a.ended(errors.Wrap(err, "answer"))
	}
	if !a.ResetIdleTimer() {
		a.discard()
		return nil, errors.Mark(errors.New("answer: came as its connection was closed"), ErrIdleTimeout)
	}
	a.Status, a.Header, a.Length = a.resp.StatusCode, a.resp.Header, a.resp.ContentLength
	return a, nil
}

func (c *Client) take(ctx context.Context, address string, fresh bool) (*conn, error) {
	for {
		cn := c.pop(address)
		if cn == nil {
			return c.dial(ctx, address)
		}
		idle := time.Since(cn.idle)
		if idle >= cn.keep || fresh && idle >= freshFor || !cn.clean() {
			_ = cn.Close() // of no more use
			continue
		}
		cn.reused = true
		return cn, nil
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		return newConn(raw), nil
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return nil, errors.Mark(errors.Mark(err, ErrRefused), ErrNotSent)
	}
	return nil, errors.Mark(err, ErrNotSent)
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return cn
}

func (c *Client) put(address string, cn *conn) {
	cn.idle = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) >= c.settings.MaxIdle {
		_ = list[0].Close() // the one that was idle longest
		list = list[1:]
	}
	c.idle[address] = append(list, cn)
}

// Sweep closes connections that were idle too long.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, cn := range list {
			if time.Since(cn.idle) >= cn.keep {
				_ = cn.Close() // nothing is under way on it
				continue
			}
			kept = append(kept, cn)
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(c.idle, address)
			continue
		}
		c.idle[address] = kept
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, cn := range list {
			_ = cn.Close() // the process ends
		}
	}
	c.idle = make(map[string][]*conn)
}

// Read reads the body. It returns io.EOF only when the body was whole: one that is
// delimited by the connection's end is whole unless the connection was reset.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	switch {
	case err == io.EOF: // never wrapped here; io.ErrUnexpectedEOF is another error
		a.whole = true
	case err != nil:
		return n, a.ended(err)
	}
	if n > 0 {
		a.ResetIdleTimer()
	}
	return n, err
}

// SetIdleTimeout asks giveUp whether to close the connection when nothing was heard for a
// time. Reads then fail with ErrSilent. It is asked once; when it says no, the answer is
// waited for as long as the context lasts.
func (a *Response) SetIdleTimeout(d time.Duration, giveUp func() bool) {
	if a.silence != nil {
		a.silence.Stop()
	}
	a.patience = d
	a.silence = time.AfterFunc(d, func() {
		before := a.timesHeard()
		if giveUp() {
			a.cutUnlessHeard(before)
		}
	})
}

func (a *Response) timesHeard() int {
	a.hearing.Lock()
	defer a.hearing.Unlock()
	return a.heard
}

// cutUnlessHeard closes the connection, unless something came while giveUp was asked: the
// caller may have the beginning of the answer by then.
func (a *Response) cutUnlessHeard(before int) {
	a.hearing.Lock()
	defer a.hearing.Unlock()
	if a.heard != before {
		return
	}
	a.silent = true
	_ = a.conn.Close() // ends the read that waits
}

// ResetIdleTimer begins the time of CutAfter anew. It returns false when the connection has been
// closed for silence.
func (a *Response) ResetIdleTimer() bool {
	a.hearing.Lock()
	defer a.hearing.Unlock()
	a.heard++
	if a.silence != nil && a.silence.Stop() {
		a.silence.Reset(a.patience)
	}
	return !a.silent
}

// ended marks the error of a read after the connection was closed for silence.
func (a *Response) ended(err error) error {
	if a.silence != nil {
		a.silence.Stop()
	}
	a.hearing.Lock()
	defer a.hearing.Unlock()
	if a.silent {
		return errors.Mark(err, ErrIdleTimeout)
	}
	return err
}

// Close ends the answer. The connection is kept when the body was read to its end
// and nothing else arrived; otherwise it is closed, and the server drops what is
// still running.
func (a *Response) Close() {
	if a.silence != nil {
		a.silence.Stop()
	}
	if a.stop() && a.whole && a.written() {
		if keep := keepFor(a.resp); keep > 0 && a.conn.clean() {
			a.conn.keep = keep
			_ = a.conn.SetDeadline(time.Time{}) // an error shows with the next use
			a.client.put(a.address, a.conn)
			return
		}
	}
	_ = a.conn.Close() // nothing more is wanted from it
}

// written tells whether the whole request left. A connection on which a rest of the
// body is due would take the next request for it.
func (a *Response) written() bool {
	if a.writing == nil {
		return true
	}
	select {
	case err := <-a.writing:
		return err == nil
	default:
		return false
	}
}

func (a *Response) discard() {
	a.stop()
	_ = a.conn.Close() // it failed
}

// ConnectionRefused tells whether nothing listens at an address.
func (c *Client) ConnectionRefused(ctx context.Context, address string) bool {
	cn, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, ErrRefused)
	}
	cn.keep = defaultKeep
	c.put(address, cn)
	return false
}

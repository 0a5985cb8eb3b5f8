// Package backendhttp sends HTTP/1.1 requests to backend servers and peers, and reports
// for each whether it may have run.
//
// The client of net/http is not used. It resends a request by itself when a reused
// connection turns out to be dead, follows redirects, asks for compressed responses, and
// assigns a response that arrives unsolicited to the next request on the connection. Each
// of these can run a request twice or give a caller the response to another request.
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

// Errors of Do and of reading a response. After any other error it is unknown whether
// the request ran.
var (
	// ErrRefused means that nothing listens at the address, so nothing was sent.
	ErrRefused = errors.New("connection refused")
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("the request was not sent")
	// ErrIdleTimeout means that the server sent nothing within the idle timeout.
	ErrIdleTimeout = errors.New("idle timeout: the server sent nothing")
	// ErrMalformed means that the data received is not a response to the request.
	ErrMalformed = errors.New("malformed response")
)

// Settings configures a Client.
type Settings struct {
	DialTimeout time.Duration
	// UserTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT). A link
	// that is cut never resets a connection; without this limit a request hangs until its
	// deadline.
	UserTimeout time.Duration
	MaxIdle     int // idle connections kept for each address
	// IdleLimit is how long an idle connection is kept if the server does not specify a shorter limit; 0 for DefaultIdleLimit.
	IdleLimit time.Duration
	// Dial replaces the dialling of TCP connections, with DialTimeout and UserTimeout; nil for none.
	Dial DialFunc
	// FreshIdle is how recently a connection must have been used to carry a request that may not
	// be repeated, at most DefaultIdleLimit; 0 for one second, which is safe before any server.
	FreshIdle time.Duration
	// MaxHead is the size of a response's head, in bytes and with informational ones, above which it is
	// malformed; 0 for DefaultMaxHead.
	MaxHead int
	// MaxReady is the most idle connections that are dialled ahead to an address to which requests
	// are sent; 0 for none.
	MaxReady int
}

const (
	// DefaultMaxHead is the MaxHead of servers, in bytes. Hundreds of requests read a head at a time.
	DefaultMaxHead = 32 << 10
	// DefaultIdleLimit is how long an idle connection is kept if the server does not
	// specify a limit: the shortest idle timeout in common use.
	DefaultIdleLimit = 4 * time.Second
	// idleLimitMargin is how long before the server's timeout an idle connection is
	// closed, so that a request does not race with the server's close.
	idleLimitMargin = 600 * time.Millisecond
	// defaultFreshIdle is the FreshIdle of servers of which nothing is known. They may drop an
	// idle connection without notice, and a request sent on it is lost with its outcome unknown.
	defaultFreshIdle = time.Second

	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Client pools connections by address. It is safe for concurrent use.
type Client struct {
	settings Settings
	dialer   net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // the most recently used last
	closed bool
	ahead  aheadDials
	taken  connCounts
}

// New returns a client without open connections.
func New(settings Settings) *Client {
	if settings.FreshIdle == 0 {
		settings.FreshIdle = defaultFreshIdle
	}
	if settings.IdleLimit == 0 {
		settings.IdleLimit = DefaultIdleLimit
	}
	if settings.MaxHead == 0 {
		settings.MaxHead = DefaultMaxHead
	}
	c := &Client{settings: settings, idle: make(map[string][]*conn)}
	c.ahead.demands = make(map[string]*demand)
	c.ahead.context, c.ahead.cancel = context.WithCancel(context.Background())
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

// Options configures one request.
type Options struct {
	FreshConn     bool                      // use only a new or recently used connection, because the request may not be repeated
	MatchResponse func(*http.Response) bool // reports whether a response belongs to this request
	// IdleTimeout is how long to wait for data before ShouldAbort is asked whether to close the
	// connection, see SetIdleTimeout; 0 to wait until the context ends.
	IdleTimeout time.Duration
	ShouldAbort IdleCheck
}

// Response is a response whose body has not been read yet. The caller has to call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	// EndsWithConn is set for a body with neither a length nor chunks: it ends with the connection.
	EndsWithConn bool

	client      *Client
	ctx         context.Context // of the request
	address     string
	conn        *conn
	resp        *http.Response
	bodyWritten *upload
	stop        func() bool
	complete    bool

	watch  idleWatch
	Reused bool // the connection had carried a request before
}

// Framing is what shows where the body of a response ends.
type Framing string

// Framings.
const (
	FramedByLength Framing = "length" // or there is no body
	FramedByChunks Framing = "chunks"
	FramedByConn   Framing = "connection"
)

// Framing returns what shows where the body ends.
func (a *Response) Framing() Framing {
	switch {
	case len(a.resp.TransferEncoding) > 0:
		return FramedByChunks
	case a.resp.ContentLength >= 0 || a.resp.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByConn
}

// Do sends a request and reads the head of the response. ctx also covers the body of the
// response: the connection is closed when ctx ends.
func (c *Client) Do(ctx context.Context, address string, r *Request, o Options) (*Response, error) {
	if ctx.Err() != nil {
		return nil, errors.Mark(ctx.Err(), ErrNotSent)
	}
	for {
		cn, err := c.acquire(ctx, address, o.FreshConn)
		if err != nil {
			return nil, err
		}
		a, err := c.roundTrip(ctx, cn, address, r, o)
		if err != nil && cn.idled && cn.written == 0 && ctx.Err() == nil {
			continue // closed while it was idle: nothing was sent
		}
		return a, err
	}
}

// roundTrip runs a request on a connection.
func (c *Client) roundTrip(ctx context.Context, cn *conn, address string, r *Request, o Options) (*Response, error) {
	a := &Response{client: c, ctx: ctx, address: address, conn: cn, Reused: cn.reused, watch: idleWatch{heardAt: time.Now()}}
	cn.written = 0
	a.stop = cn.closeOnCancel(ctx)
	var err error
	if a.bodyWritten, err = cn.send(r); err != nil {
		a.discard(err)
		if cn.written == 0 {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Wrap(err, "send")
	}
	if o.IdleTimeout > 0 {
		a.SetIdleTimeout(o.IdleTimeout, o.ShouldAbort)
	}
	a.resp, err = cn.readResponse(r.Method, c.settings.MaxHead, o.MatchResponse)
	if err != nil {
		a.discard(err)
		return nil, a.markIdleTimeout(errors.Wrap(err, "read response"))
	}
	if !a.ResetIdleTimer() {
		err := errors.Mark(errors.New("response arrived while its connection was being closed"), ErrIdleTimeout)
		a.discard(err)
		return nil, err
	}
	a.Status, a.Header, a.Length = a.resp.StatusCode, a.resp.Header, a.resp.ContentLength
	a.EndsWithConn = a.Framing() == FramedByConn
	return a, nil
}

// acquire returns an idle connection or dials one. Each successful call is followed by one of
// requestEnded.
func (c *Client) acquire(ctx context.Context, address string, fresh bool) (*conn, error) {
	cn := c.takeIdle(address, fresh)
	c.requestStarted(address)
	if cn != nil {
		c.taken.count(cn)
		return cn, nil
	}
	began := time.Now()
	cn, err := c.dial(ctx, address)
	c.dialEnded(ctx, address, began, err)
	if err != nil {
		c.requestEnded(address)
		return nil, err
	}
	c.taken.dialled.Add(1)
	return cn, nil
}

// takeIdle returns an idle connection that can carry a request, or nil.
func (c *Client) takeIdle(address string, fresh bool) *conn {
	for {
		cn := c.pop(address)
		if cn == nil {
			return nil
		}
		idle := time.Since(cn.idleSince)
		if idle >= cn.idleLimit || fresh && idle >= c.settings.FreshIdle || !cn.clean() {
			_ = cn.Close() // expired, or not reusable
			continue
		}
		cn.idled, cn.reused, cn.ahead = true, !cn.ahead, false
		return cn
	}
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	open := c.dialer.DialContext
	if c.settings.Dial != nil {
		open = c.settings.Dial
	}
	raw, err := open(ctx, "tcp", address)
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
	cn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = cn.Close() // the process ends
		return
	}
	list := c.idle[address]
	if len(list) >= c.settings.MaxIdle {
		_ = list[0].Close() // the longest idle
		list = list[1:]
	}
	c.idle[address] = append(list, cn)
}

// Sweep closes connections that have been idle too long, and dials their successors ahead.
func (c *Client) Sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshAhead(time.Now())
	for address := range c.idle {
		c.keepIdle(address, func(cn *conn) bool { return time.Since(cn.idleSince) < cn.idleLimit })
	}
}

// Close closes the idle connections. None is dialled ahead any more.
func (c *Client) Close() {
	c.closeIdle()
	c.ahead.cancel()
	c.ahead.pending.Wait()
}

func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.idle {
		for _, cn := range list {
			_ = cn.Close() // the process ends
		}
	}
	c.idle = make(map[string][]*conn)
	c.closed = true
}

// Read reads the body. It returns io.EOF only if the body is complete. A body delimited by
// the end of the connection is complete if the server has taken all of the request, has closed the
// connection in order and runs on, otherwise the error may be ErrProcessEnded. It returns no data
// with ErrIdleTimeout: another server may have been told where to go on. A body whose framing is
// invalid ends with ErrMalformed.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if err == io.EOF && a.EndsWithConn && !a.complete {
		err = a.confirmEnd()
	}
	switch {
	case err == io.EOF: // not wrapped here; io.ErrUnexpectedEOF is a different error
		a.complete = true
	case err != nil:
		err = a.conn.markMalformed(err)
		a.failed(err)
		if err = a.markIdleTimeout(err); errors.Is(err, ErrIdleTimeout) {
			n = 0
		}
		return n, err
	}
	if n > 0 && !a.ResetIdleTimer() && !a.complete {
		return 0, errors.Mark(errors.New("data arrived while its connection was being closed"), ErrIdleTimeout)
	}
	return n, err
}

// Close ends the response. The connection is kept for reuse if the body was read to its
// end and no other data arrived. Otherwise it is closed, and the server drops the request
// if it is still running.
func (a *Response) Close() {
	defer a.client.requestEnded(a.address)
	a.endIdleWatch()
	// On a connection that still owes part of a body, the server would take the next request for
	// the rest of that body.
	if a.stop() && a.complete && a.bodyWritten.written() {
		if keep := responseIdleLimit(a.resp, a.client.settings.IdleLimit); keep > 0 && a.conn.clean() {
			a.conn.idleLimit = keep
			_ = a.conn.SetDeadline(time.Time{}) // an error shows on the next use
			a.client.put(a.address, a.conn)
			return
		}
	}
	_ = a.conn.Close() // not reusable
}

func (a *Response) discard(err error) {
	defer a.client.requestEnded(a.address)
	a.endIdleWatch()
	a.stop()
	_ = a.conn.Close() // it failed
	a.failed(err)
}

// ConnectionRefused reports whether nothing listens at an address. A connection that
// succeeds is kept for reuse.
func (c *Client) ConnectionRefused(ctx context.Context, address string) bool {
	cn, err := c.dial(ctx, address)
	if err != nil {
		return errors.Is(err, ErrRefused)
	}
	cn.idleLimit = DefaultIdleLimit
	c.put(address, cn)
	return false
}

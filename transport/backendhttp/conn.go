package backendhttp

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/responsehead"
)

// Request is a request to be sent. The header is sent unmodified, with Host and
// Content-Length added.
type Request struct {
	Method string
	Target string // path and query, unchanged
	Host   string
	Header http.Header
	Body   []byte
}

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	raw       syscall.RawConn // of the socket
	secured   bool            // by TLS
	source    *boundedReader  // what reader reads from
	reader    *bufio.Reader
	idleSince time.Time     // when the last request ended
	idleLimit time.Duration // how long it may be idle
	idled     bool          // was taken from the idle ones
	reused    bool          // has carried a request before
	ahead     bool          // was dialled ahead and has carried no request
	written   int           // bytes of the request that were passed to the kernel

	ended       atomic.Bool           // the end of file was read
	peekFailure atomic.Pointer[error] // of the connection, found by a look for unread data
}

const (
	readBuffer = 4 << 10
	// smallBody is the size up to which a body is written before the response is read. A
	// server may respond before it has read a larger one, and stop reading.
	smallBody = 8 << 10
	// maxSkippedResponses bounds the responses to earlier requests that are skipped while
	// waiting for a response.
	maxSkippedResponses = 3
	// maxSkippedBytes bounds the body of one of them.
	maxSkippedBytes = 256 << 10
)

func newConn(c net.Conn) *conn {
	source := &boundedReader{conn: c}
	out := &conn{Conn: c, source: source, reader: bufio.NewReaderSize(source, readBuffer)}
	socket := c
	if secured, ok := c.(*tls.Conn); ok {
		out.secured, socket = true, secured.NetConn()
	}
	if s, ok := socket.(syscall.Conn); ok {
		raw, err := s.SyscallConn()
		if err == nil { // without it the connection is not reused
			out.raw = raw
		}
	}
	return out
}

// clean reports whether no data has arrived since the last response ended. Pending data
// belongs to no request, and a pending EOF means that the server has closed the
// connection.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 || c.raw == nil {
		return false
	}
	empty := false
	err := c.raw.Read(func(fd uintptr) bool {
		empty = c.nothingPending(fd)
		return true
	})
	return err == nil && empty && (!c.secured || c.nothingDecrypted())
}

// nothingDecrypted reports whether TLS holds no data that it has read from the socket. The read does not wait.
func (c *conn) nothingDecrypted() bool {
	var b [1]byte
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	_, err := c.Conn.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}

// unread reports whether data, or the end of the connection, has arrived that was not read. Unlike clean it does not wait for
// a read that is going on.
func (c *conn) unread() bool {
	if c.ended.Load() {
		return false
	}
	empty, known := c.peek()
	return known && !empty
}

// silentlyOpen reports whether the connection is open and nothing has arrived that was not read. It does not wait for a read either.
func (c *conn) silentlyOpen() bool {
	empty, known := c.peek()
	return known && empty
}

// peek reports whether a read would wait, and whether that could be found out.
func (c *conn) peek() (empty, known bool) {
	if c.raw == nil {
		return false, false
	}
	err := c.raw.Control(func(fd uintptr) { empty = c.nothingPending(fd) })
	return empty, err == nil
}

// nothingPending reports whether a read of the connection's socket would wait. It keeps the failure of the connection that
// it finds, as no other call gets it.
func (c *conn) nothingPending(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if errors.Is(err, syscall.EAGAIN) {
		return true
	}
	if err != nil {
		c.peekFailure.Store(&err)
	}
	return false
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// head returns the request line and the header fields.
func (r *Request) head() []byte {
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// send writes the request. The upload is that of a body that is still being written while
// the response is read.
func (c *conn) send(r *Request) (*upload, error) {
	head := r.head()
	if len(r.Body) <= smallBody {
		_, err := c.Write(append(head, r.Body...))
		return nil, err
	}
	if _, err := c.Write(head); err != nil {
		return nil, err
	}
	return startUpload(func() error {
		_, err := c.Conn.Write(r.Body)
		return err
	}), nil
}

// readResponse reads the head of the response that belongs to the request. It skips late
// responses to earlier requests on the connection. All heads that it reads have maxHead bytes together.
func (c *conn) readResponse(method string, maxHead int, match func(*http.Response) bool) (*http.Response, error) {
	c.source.limit(maxHead)
	defer c.source.unlimit()
	if c.reader.Size() > readBuffer && c.reader.Buffered() == 0 {
		c.reader = bufio.NewReaderSize(c.source, readBuffer) // it had grown for the head before
	}
	request := &http.Request{Method: method}
	for range maxSkippedResponses {
		resp, err := c.readHead(request)
		if err != nil {
			return nil, c.markUnanswered(c.markMalformed(err))
		}
		if match(resp) {
			return resp, nil
		}
		if !c.reused || resp.Close {
			break
		}
		if err := c.skipBody(resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.Wrap(ErrMalformed, "the response belongs to another request")
}

// readHead reads the head of the next response that is not informational.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	for {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// checkHead checks the next head before it is parsed. The reader's buffer holds the head whole, and grows for a large one.
func (c *conn) checkHead() error {
	for {
		err := responsehead.Check(c.reader)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // no error: it is in the buffer
		c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.source), 2*c.reader.Size())
	}
}

// skipBody reads the body of a late response.
func (c *conn) skipBody(body io.Reader) error {
	left := c.source.unlimit()
	defer c.source.resume(left)
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes+1))
	switch {
	case err != nil:
		return c.markMalformed(err)
	case n > maxSkippedBytes:
		return errors.Wrapf(ErrMalformed, "late response of over %d bytes", maxSkippedBytes)
	}
	return nil
}

// markMalformed marks the error of a response that could not be parsed although the connection works.
func (c *conn) markMalformed(err error) error {
	if c.source.failed == nil || errors.Is(err, responsehead.ErrInvalid) {
		return errors.Mark(err, ErrMalformed)
	}
	return err
}

// errUnanswered means that a reused connection broke before a byte of the response.
var errUnanswered = errors.New("the reused connection broke without a response")

func (c *conn) markUnanswered(err error) error {
	if c.reused && c.source.left == c.source.bound {
		return errors.Mark(err, errUnanswered)
	}
	return err
}

// responseIdleLimit returns how long the connection may be idle after a response, at most limit, or 0 if
// it may not be reused.
func responseIdleLimit(resp *http.Response, limit time.Duration) time.Duration {
	if resp.Close {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			limit = min(limit, time.Duration(n)*time.Second-idleLimitMargin)
		}
	}
	return max(limit, 0)
}

// closeOnCancel closes the connection when ctx ends, which ends every read and write. The
// server detects the close and drops the request.
func (c *conn) closeOnCancel(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.Close() })
}

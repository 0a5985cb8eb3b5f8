package link

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipe is one direction of a connection.
type pipe struct {
	from, to *line
	segments chan []byte
	closed   chan struct{}
	once     sync.Once
	rest     []byte // of a segment that was read in part
	late     deadline
}

func newPipe(from, to *line) *pipe {
	return &pipe{
		from: from, to: to, segments: make(chan []byte, window), closed: make(chan struct{}),
		late: deadline{passed: make(chan struct{})},
	}
}

func (p *pipe) close() { p.once.Do(func() { close(p.closed) }) }

func (p *pipe) write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		part := b[:min(len(b), segment)]
		arrives := p.from.reserve(len(part))
		if far := p.to.reserve(len(part)); far.After(arrives) {
			arrives = far
		}
		if !p.openUntil(arrives) {
			return written, io.ErrClosedPipe
		}
		select {
		case p.segments <- append([]byte(nil), part...):
		case <-p.closed:
			return written, io.ErrClosedPipe
		}
		b = b[len(part):]
		written += len(part)
	}
	return written, nil
}

// openUntil waits, and tells whether the pipe was not closed meanwhile.
func (p *pipe) openUntil(at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.closed:
		return false
	}
}

func (p *pipe) read(b []byte) (int, error) {
	for len(p.rest) == 0 {
		select {
		case p.rest = <-p.segments:
			continue
		default:
		}
		select {
		case p.rest = <-p.segments:
		case <-p.late.wait():
			return 0, os.ErrDeadlineExceeded
		case <-p.closed:
			if len(p.segments) == 0 {
				return 0, io.EOF
			}
		}
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// deadline tells when reads are over.
type deadline struct {
	mu     sync.Mutex
	timer  *time.Timer
	passed chan struct{} // closed when it has passed
}

func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passed
}

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.passed // the timer closes it just now, or has
	}
	d.timer = nil
	left := time.Until(at)
	if at.IsZero() || left > 0 {
		select {
		case <-d.passed:
			d.passed = make(chan struct{})
		default:
		}
	}
	switch passed := d.passed; {
	case at.IsZero():
	case left > 0:
		d.timer = time.AfterFunc(left, func() { close(passed) })
	default:
		select {
		case <-passed:
		default:
			close(passed)
		}
	}
}

// conn implements net.Conn. Deadlines of writes are not kept: who writes ends by closing.
type conn struct {
	read, write   *pipe
	local, remote net.Addr
}

func (c *conn) Read(b []byte) (int, error)  { return c.read.read(b) }
func (c *conn) Write(b []byte) (int, error) { return c.write.write(b) }

func (c *conn) Close() error {
	c.read.close()
	c.write.close()
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return c.local }
func (c *conn) RemoteAddr() net.Addr             { return c.remote }
func (c *conn) SetDeadline(at time.Time) error   { return c.SetReadDeadline(at) }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

func (c *conn) SetReadDeadline(at time.Time) error {
	c.read.late.set(at)
	return nil
}

// addr is an address as its text.
type addr string

func (addr) Network() string  { return "link" }
func (a addr) String() string { return string(a) }

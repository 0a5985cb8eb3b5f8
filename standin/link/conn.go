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
	from, to     *direction
	segments     chan []byte
	closed       chan struct{}
	once         sync.Once
	unread       []byte // the remainder of a segment that was read partially
	readDeadline deadline
}

func newPipe(from, to *direction) *pipe {
	return &pipe{
		from: from, to: to, segments: make(chan []byte, windowSegments), closed: make(chan struct{}),
		readDeadline: deadline{expired: make(chan struct{})},
	}
}

func (p *pipe) close() { p.once.Do(func() { close(p.closed) }) }

func (p *pipe) write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		chunk := b[:min(len(b), segmentBytes)]
		arrival := p.from.reserve(len(chunk))
		if remote := p.to.reserve(len(chunk)); remote.After(arrival) {
			arrival = remote
		}
		if !p.waitOpen(arrival) {
			return written, io.ErrClosedPipe
		}
		select {
		case p.segments <- append([]byte(nil), chunk...):
		case <-p.closed:
			return written, io.ErrClosedPipe
		}
		b = b[len(chunk):]
		written += len(chunk)
	}
	return written, nil
}

// waitOpen waits until a time, and reports whether the pipe was not closed before it.
func (p *pipe) waitOpen(at time.Time) bool {
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
	for len(p.unread) == 0 {
		select {
		case p.unread = <-p.segments:
			continue
		default:
		}
		select {
		case p.unread = <-p.segments:
		case <-p.readDeadline.wait():
			return 0, os.ErrDeadlineExceeded
		case <-p.closed:
			if len(p.segments) == 0 {
				return 0, io.EOF
			}
		}
	}
	n := copy(b, p.unread)
	p.unread = p.unread[n:]
	return n, nil
}

// deadline is a resettable read deadline.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{} // closed when the deadline has expired
}

func (d *deadline) wait() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expired
}

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.expired // the timer has fired: its function has closed the channel or is about to
	}
	d.timer = nil
	left := time.Until(at)
	if at.IsZero() || left > 0 {
		select {
		case <-d.expired:
			d.expired = make(chan struct{})
		default:
		}
	}
	switch expired := d.expired; {
	case at.IsZero():
	case left > 0:
		d.timer = time.AfterFunc(left, func() { close(expired) })
	default:
		select {
		case <-expired:
		default:
			close(expired)
		}
	}
}

// conn implements net.Conn. Write deadlines are ignored: a blocked write ends only when the
// connection is closed.
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
	c.read.readDeadline.set(at)
	return nil
}

// addr implements net.Addr by an address in text form.
type addr string

func (addr) Network() string  { return "link" }
func (a addr) String() string { return string(a) }

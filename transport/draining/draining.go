// Package draining closes listeners without a reset of the connections that the kernel has queued.
package draining

import (
	"context"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// QueueListener is a listener whose queue of connections can be looked at, such as a net.TCPListener.
type QueueListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// Listener closes, when it drains, only when it has accepted all connections that the kernel has queued: closing resets
// these, and their callers may have sent whole requests.
type Listener struct {
	QueueListener
	log      *slog.Logger
	draining atomic.Bool
	closed   chan struct{}
	close    func()
}

// New returns a listener that accepts like l.
func New(l QueueListener, log *slog.Logger) *Listener {
	d := &Listener{QueueListener: l, log: log, closed: make(chan struct{})}
	d.close = sync.OnceFunc(func() {
		_ = l.Close() // fails only if it is closed
		close(d.closed)
	})
	return d
}

// Drain lets Accept return the queued connections and then close the listener. It returns when it is closed, at the
// latest when ctx ends.
func (l *Listener) Drain(ctx context.Context) {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Now()) // wakes Accept; fails only if it is closed
	select {
	case <-l.closed:
	case <-ctx.Done():
		l.close()
	}
}

// Accept implements net.Listener. The goroutine that accepts also closes, at once after it has found the queue empty.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() {
			_ = l.SetDeadline(time.Time{}) // as in Drain
			if !l.hasQueued() {
				l.close()
				return nil, net.ErrClosed
			}
		}
		c, err := l.QueueListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.close()
	return nil
}

// hasQueued reports whether a connection can be accepted without waiting.
func (l *Listener) hasQueued() bool {
	ready := 0
	raw, err := l.SyscallConn()
	if err == nil {
		var pollErr error
		err = raw.Control(func(fd uintptr) {
			for pollErr = unix.EINTR; errors.Is(pollErr, unix.EINTR); {
				ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
			}
		})
		err = errors.CombineErrors(err, pollErr)
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.Warn("queued_callers_unknown", "error", err.Error())
	}
	return ready > 0
}

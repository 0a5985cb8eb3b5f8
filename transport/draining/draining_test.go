package draining

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func listen(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := New(l.(*net.TCPListener), slog.New(slog.DiscardHandler))
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against a queued connection that the close resets, and against a drained listener that stays open.
func TestDrainAcceptsTheQueueAndCloses(t *testing.T) {
	const queued = 30
	l := listen(t)
	for range queued {
		dial(t, l)
	}
	drained := make(chan struct{})
	go func() {
		l.Drain(t.Context())
		close(drained)
	}()
	accepted := 0
	for ; ; accepted++ {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		if accepted == 0 {
			for !l.draining.Load() {
				time.Sleep(time.Millisecond)
			}
		}
	}
	<-drained
	if accepted != queued {
		t.Errorf("accepted %d of %d", accepted, queued)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the listener is open")
	}
}

// Guards against a drain that does not wake an Accept that waits for a connection.
func TestDrainWakesAccept(t *testing.T) {
	l := listen(t)
	ended := make(chan error)
	go func() {
		_, err := l.Accept()
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond) // until it waits
	l.Drain(t.Context())
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// Guards against a stop that waits for a queue that nobody accepts.
func TestDrainEndsWithItsContext(t *testing.T) {
	l := listen(t)
	dial(t, l)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	l.Drain(ctx)
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

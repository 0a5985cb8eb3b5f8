package routed

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/basilroute/basilroute/transport/draining"
)

// heldListener accepts nothing before it is released, like a process that is not scheduled.
type heldListener struct {
	*net.TCPListener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.TCPListener.Accept()
}

// Guards against connections with whole requests that are reset in the accept queue because an instance that is behind stops.
func TestQueuedCallersAreAnsweredWhenAnInstanceStops(t *testing.T) {
	const (
		callers = 40
		grace   = 2 * time.Second
		behind  = 250 * time.Millisecond // how much later than the callers' listener closes the instance accepts again
	)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &heldListener{TCPListener: plain.(*net.TCPListener), released: make(chan struct{})}
	s := startStoppingInstance(draining.New(l, slog.New(slog.DiscardHandler)), grace, 0)
	var waiting sync.WaitGroup
	for n := range callers {
		c, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		waiting.Go(func() {
			if status, err := ask(c, fmt.Sprint(n)); err != nil || status != http.StatusServiceUnavailable {
				t.Errorf("caller %d: %d, %v", n, status, err)
			}
		})
	}
	time.AfterFunc(time.Duration(serveFraction*float64(grace))+behind, func() { close(l.released) })
	if err := s.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	waiting.Wait()
}

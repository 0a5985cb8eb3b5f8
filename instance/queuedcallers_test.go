package instance

import (
	"bufio"
	"io"
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

// Guards against callers of /v1 with whole requests that are reset in the accept queue because an instance that is behind stops.
func TestQueuedCallersAreAnsweredWhenAnInstanceStops(t *testing.T) {
	const (
		callers = 20
		behind  = 250 * time.Millisecond // how much later than the callers' listener closes the instance accepts again
	)
	i := newTestInstance(t)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{TCPListener: plain.(*net.TCPListener), released: make(chan struct{})}
	_ = i.listeners.callers.Close() // replaced
	i.listeners.queue = draining.New(held, slog.New(slog.DiscardHandler))
	i.listeners.callers = i.listeners.queue
	i.Start()
	var waiting sync.WaitGroup
	for n := range callers {
		c, err := net.Dial("tcp", plain.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		waiting.Go(func() {
			_, err := io.WriteString(c, "GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n")
			if err == nil {
				_, err = http.ReadResponse(bufio.NewReader(c), nil)
			}
			if err != nil {
				t.Errorf("caller %d: %v", n, err)
			}
		})
	}
	time.AfterFunc(leaveAnnouncePeriod+behind, func() { close(held.released) })
	if err := i.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	waiting.Wait()
}

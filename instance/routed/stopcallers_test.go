package routed

import (
	"bufio"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stoppingInstance is an instance whose front answers, or refuses once the instance is stopping.
type stoppingInstance struct {
	*Instance
	work time.Duration // of a request

	mu   sync.Mutex
	seen map[string]bool // ids of the requests that the front has begun to handle
}

func startStoppingInstance(l net.Listener, grace, work time.Duration) *stoppingInstance {
	settings := DefaultSettings()
	settings.ID, settings.Bounds.Grace = "front", grace
	n := newInstance(settings, testSource{client: &memoryClient{store: newMemoryStore(), id: "front"}}, nil, slog.New(slog.DiscardHandler))
	s := &stoppingInstance{Instance: n, work: work, seen: make(map[string]bool)}
	n.callers.Handler = s
	n.listeners["callers"] = l
	n.serveAsync(n.callers, l)
	return s
}

// ServeHTTP implements http.Handler.
func (s *stoppingInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.seen[r.Header.Get("Id")] = true
	s.mu.Unlock()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.work)
	_, _ = fmt.Fprint(w, "ok")
}

func (s *stoppingInstance) hasSeen(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id]
}

// closingPipes is a pipe listener that ends when it is closed.
type closingPipes struct {
	pipeListener
	closed chan struct{}
	close  func()
}

func newClosingPipes() *closingPipes {
	l := &closingPipes{pipeListener: pipeListener{conns: make(chan net.Conn)}, closed: make(chan struct{})}
	l.close = sync.OnceFunc(func() { close(l.closed) })
	return l
}

func (l *closingPipes) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *closingPipes) Close() error {
	l.close()
	return nil
}

// ask sends a request and returns the status of its response.
func ask(c net.Conn, id string) (status int, err error) {
	if _, err := fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", id); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// Guards against a connection that is closed while a request on it is being handled, at the moment at which an instance
// stops.
func TestHandledRequestIsAnsweredWhileStopping(t *testing.T) {
	const callers, grace, spread = 300, 1800 * time.Millisecond, 40 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := startStoppingInstance(l, grace, time.Millisecond)
	start := make(chan struct{})
	var running sync.WaitGroup
	answered := make([]bool, callers)
	for i := range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if i%2 == 0 { // the others have sent nothing before
			if _, err := ask(c, "first"); err != nil {
				t.Fatal(err)
			}
		}
		running.Go(func() {
			<-start
			time.Sleep(time.Duration(serveFraction*float64(grace)) + rand.N(spread) - spread/2)
			_, err := ask(c, fmt.Sprint(i))
			answered[i] = err == nil
		})
	}
	close(start)
	if err := s.Stop(t.Context()); err != nil {
		t.Errorf("nothing was cut, but stopping says: %v", err)
	}
	running.Wait()
	unanswered := 0
	for i, ok := range answered {
		if !ok {
			unanswered++
		}
		if !ok && s.hasSeen(fmt.Sprint(i)) {
			t.Errorf("request %d was handled and not answered", i)
		}
	}
	t.Logf("%d of %d requests were not answered", unanswered, callers)
}

// Guards against an open connection that is closed with a request on its way as soon as an instance accepts no more, and
// against one that is left open and never answered.
func TestOpenConnectionIsAnsweredWhileStopping(t *testing.T) {
	const grace = 8 * time.Second
	stopsAfter := time.Duration(serveFraction * float64(grace))
	for _, used := range []bool{false, true} {
		for _, after := range []time.Duration{-time.Millisecond, time.Millisecond, quietTime / 2, quietTime * 3 / 4} {
			t.Run(fmt.Sprintf("used %v, %s after the stop", used, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := newClosingPipes()
					s := startStoppingInstance(l, grace, 0)
					var c net.Conn
					if used {
						c = l.dial()
						if _, err := ask(c, "first"); err != nil {
							t.Fatal(err)
						}
					}
					stopped := make(chan error)
					go func() { stopped <- s.Stop(t.Context()) }()
					time.Sleep(stopsAfter - time.Second)
					if !used {
						c = l.dial()
					}
					time.Sleep(time.Second + after)
					want := http.StatusOK
					if after > 0 {
						want = http.StatusServiceUnavailable
					}
					if status, err := ask(c, "id-1"); err != nil || status != want {
						t.Errorf("%d, %v, want %d", status, err, want)
					}
					if err := <-stopped; err != nil {
						t.Error(err)
					}
				})
			})
		}
	}
}

// Guards against a process that waits for unused connections until it is killed, and then says that it has cut requests.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 8 * time.Second
		l := newClosingPipes()
		s := startStoppingInstance(l, grace, 0)
		began := time.Now()
		time.AfterFunc(time.Duration(serveFraction*float64(grace))-time.Second, func() { l.dial() })
		err := s.Stop(t.Context())
		if took, limit := time.Since(began), time.Duration(serveFraction*float64(grace))+2*quietTime; err != nil || took > limit {
			t.Errorf("stopped after %s, limit %s: %v", took, limit, err)
		}
	})
}

// Guards against a stop that does not tell that it has cut a request.
func TestStopTellsThatItHasCutARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 8 * time.Second
		l := newClosingPipes()
		s := startStoppingInstance(l, grace, 2*grace)
		c := l.dial()
		go func() { _, _ = ask(c, "id-1") }()
		synctest.Wait()
		if err := s.Stop(t.Context()); err == nil {
			t.Error("no error")
		}
		time.Sleep(s.work) // until its handler has ended
	})
}

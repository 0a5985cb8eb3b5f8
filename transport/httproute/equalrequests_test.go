package httproute

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// crashableServer answers requests at once, or lets them wait until it crashes.
type crashableServer struct {
	*fakeServer
	listener net.Listener
	holding  atomic.Bool
	crashed  chan struct{}
}

func startCrashableServer(t *testing.T) *crashableServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &crashableServer{listener: l, crashed: make(chan struct{})}
	s.fakeServer = &fakeServer{address: l.Addr().String(), script: func(c net.Conn, r *http.Request) bool {
		if s.holding.Load() {
			<-s.crashed
			return false
		}
		return respond(c, r, http.StatusOK, "done")
	}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.connection(c)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// crash ends the server while it runs requests.
func (s *crashableServer) crash(t *testing.T) {
	t.Helper()
	if err := s.listener.Close(); err != nil {
		t.Error(err)
	}
	close(s.crashed)
}

// Guards against a sound request that many callers send alike and that is refused for good after two crashes with it in flight,
// although it was answered all the time.
func TestEqualSoundRequestsAreServedAfterCrashes(t *testing.T) {
	const (
		path    = "/read/status"
		crashes = 3
		answers = 300 // between two crashes
	)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		var servers []*crashableServer
		var fakes []*fakeServer
		for range crashes + 1 {
			s := startCrashableServer(t)
			servers, fakes = append(servers, s), append(fakes, s.fakeServer)
		}
		f, front := newTestFront(t, fakes...)
		configure(f)
		served := func() (n int) {
			for range answers {
				if resp, _, err := call(t, t.Context(), front, method, path, ""); err == nil && resp.StatusCode == http.StatusOK {
					n++
				}
			}
			return n
		}
		for _, s := range servers[:crashes] {
			for _, other := range servers {
				other.holding.Store(other == s)
			}
			before := len(s.requests())
			var inFlight sync.WaitGroup
			for n := 0; len(s.requests()) == before && n < answers; n++ {
				inFlight.Go(func() { _, _, _ = call(t, t.Context(), front, method, path, "") })
				time.Sleep(time.Millisecond)
			}
			s.crash(t)
			inFlight.Wait()
			time.Sleep(crashSpacing)
			if n := served(); n != answers {
				t.Errorf("%s: served %d of %d after a crash", method, n, answers)
			}
		}
	}
}

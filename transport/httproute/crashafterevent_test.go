package httproute

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
)

const (
	crashingPath = "/chat/crashes"
	// crashSpacing is the time between crashes that count as different moments.
	crashSpacing = 300 * time.Millisecond
	soundStreams = 30
)

// eventCrashServer is a backend server that crashes after the first event of a request for crashingPath. All other streams there
// last until it crashes, or until it is released.
type eventCrashServer struct {
	*fakeServer
	once    sync.Once
	ended   chan struct{} // closed when the server has crashed
	release chan struct{}
}

func startEventCrashServer(t *testing.T) *eventCrashServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &eventCrashServer{ended: make(chan struct{}), release: make(chan struct{})}
	s.fakeServer = &fakeServer{address: l.Addr().String(), script: func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		_, _ = io.WriteString(c, "f\r\nid: 1\ndata: a\n\n\r\n")
		if r.URL.Path == crashingPath {
			time.Sleep(20 * time.Millisecond) // the event has been passed on
			s.once.Do(func() { _ = l.Close(); close(s.ended) })
			return false
		}
		select {
		case <-s.ended:
			return false
		case <-s.release:
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		}
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
	t.Cleanup(func() { s.once.Do(func() { _ = l.Close(); close(s.ended) }) })
	return s
}

func (s *eventCrashServer) crashed() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Guards against a request that crashes server after server once its first event has been passed on, and against streams beside
// it that are refused with it.
func TestRequestThatCrashesServersAfterItsFirstEventIsRefused(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		var servers []*eventCrashServer
		var fakes []*fakeServer
		for range 5 {
			s := startEventCrashServer(t)
			servers, fakes = append(servers, s), append(fakes, s.fakeServer)
		}
		f, front := newTestFront(t, fakes...)
		configure(f)
		callers := front
		if forwarded {
			callers = forwardingFront(t, f)
		}
		for range 3 {
			resp, _, err := call(t, t.Context(), callers, http.MethodGet, crashingPath, "")
			if resp != nil && resp.StatusCode == http.StatusOK && err == nil {
				t.Fatal("a stream that was cut looks whole")
			}
			time.Sleep(crashSpacing)
		}
		for range 3 {
			resp, _, err := call(t, t.Context(), callers, http.MethodGet, crashingPath, "")
			if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("forwarded %v: the request came again: %v, %v", forwarded, resp, err)
			}
		}
		if n := arrivals(servers, crashingPath); n != 3 {
			t.Errorf("forwarded %v: %d servers crashed", forwarded, n)
		}
		for i, s := range servers {
			close(s.release)
			if s.crashed() {
				f.Local.Backends.Remove(fmt.Sprint("s", i), time.Now())
			}
		}
		f.Local.Pool("svc").Update(placement.Settings{Slots: 8}, f.Local.Backends.InRegion("r", time.Now()))
		resp, body, err := call(t, t.Context(), callers, http.MethodGet, "/chat/sound", "")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("forwarded %v: another stream: %v, %q, %v", forwarded, resp, body, err)
		}
	}
}

// Guards against sound streams that are refused because a request crashed the servers that ran them: thirty at each crash, of the
// same account, and one that was at two crashes in a row.
func TestStreamsBesideARequestThatCrashesServersAreServed(t *testing.T) {
	f, front := newTestFront(t)
	configure(f)
	use := func(n int) *eventCrashServer {
		s := startEventCrashServer(t)
		now := time.Now()
		f.Local.Backends.Remove(fmt.Sprint("s", n-1), now)
		f.Local.Backends.Put(backends.Server{ID: fmt.Sprint("s", n), Service: "svc", Address: s.address, Domain: "d", Region: "r", Slots: 2 * soundStreams}, now)
		f.Local.Pool("svc").Update(placement.Settings{Slots: 2 * soundStreams}, f.Local.Backends.InRegion("r", now))
		return s
	}
	var sound []string
	for n := range 3 {
		s := use(n)
		var beside []string
		for i := range soundStreams {
			beside = append(beside, fmt.Sprintf("/chat/sound-%d-%d", n, i))
		}
		sound = append(sound, beside...)
		if n > 0 {
			beside = append(beside, "/chat/unlucky")
		}
		var cut sync.WaitGroup
		for _, path := range beside {
			cut.Go(func() {
				if resp, _, err := call(t, t.Context(), front, http.MethodGet, path, ""); err == nil && resp.StatusCode == http.StatusOK {
					t.Errorf("%s is whole", path)
				}
			})
		}
		for arrivals([]*eventCrashServer{s}, "/chat/") < len(beside) {
			time.Sleep(time.Millisecond)
		}
		_, _, _ = call(t, t.Context(), front, http.MethodGet, crashingPath, "") // is cut
		cut.Wait()
		time.Sleep(crashSpacing)
	}
	last := use(3)
	close(last.release)
	if resp, _, err := call(t, t.Context(), front, http.MethodGet, crashingPath, ""); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("the request that crashes servers: %v, %v", resp, err)
	}
	for _, path := range append(sound, "/chat/unlucky") {
		if resp, body, err := call(t, t.Context(), front, http.MethodGet, path, ""); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: %v, %q, %v", path, resp, body, err)
		}
	}
}

// arrivals returns how many requests for a path have reached servers.
func arrivals(servers []*eventCrashServer, path string) (n int) {
	for _, s := range servers {
		for _, r := range s.requests() {
			if strings.HasPrefix(r.URL.Path, path) {
				n++
			}
		}
	}
	return n
}

package httproute

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/backendhttp"
)

// stalledCaller is a caller that reads nothing until it is released.
type stalledCaller struct {
	http.ResponseWriter
	release chan struct{}
	err     error // of its connection, after the release
}

func newStalledCaller(err error) *stalledCaller {
	return &stalledCaller{ResponseWriter: httptest.NewRecorder(), release: make(chan struct{}), err: err}
}

func (s *stalledCaller) Write(b []byte) (int, error) {
	<-s.release
	if s.err != nil {
		return 0, s.err
	}
	return s.ResponseWriter.Write(b)
}

// FlushError implements the flush of http.ResponseController.
func (s *stalledCaller) FlushError() error { return nil }

// Guards against a server that waits for a caller that reads slowly, and against one response that
// takes the memory of the instance.
func TestUnreadResponseIsHeldUpToALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, budget := newStalledCaller(nil), NewBudget(1<<20)
		c := newCallerWriter(caller, budget)
		part := make([]byte, 1<<10)
		accepted := 0
		go func() {
			for range 3 * maxUnread / len(part) {
				if err := c.write(t.Context(), part, &backendhttp.Response{}); err != nil {
					t.Error(err)
				}
				accepted += len(part)
			}
			c.close()
		}()
		synctest.Wait()
		if accepted < maxUnread || accepted > 2*maxUnread {
			t.Errorf("%d bytes accepted, want %d and at most as much again", accepted, maxUnread)
		}
		close(caller.release)
		synctest.Wait()
		if recorded := caller.ResponseWriter.(*httptest.ResponseRecorder); recorded.Body.Len() != 3*maxUnread || budget.Used() != 0 {
			t.Errorf("the caller has read %d bytes, %d are still taken", recorded.Body.Len(), budget.Used())
		}
	})
}

// Guards against many callers, each within its own limit, that take the memory of the instance.
func TestSlowCallersShareOneLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, limit, part = 150, 1 << 20, 1 << 10
		budget, gone := NewBudget(limit), errors.New("connection reset")
		var accepted [callers]int
		var all []*stalledCaller
		var running sync.WaitGroup
		for i := range callers {
			caller := newStalledCaller(gone)
			all = append(all, caller)
			running.Go(func() {
				c := newCallerWriter(caller, budget)
				defer c.close()
				for c.write(t.Context(), make([]byte, part), &backendhttp.Response{}) == nil {
					accepted[i] += part
				}
			})
		}
		synctest.Wait()
		total := 0
		for _, n := range accepted {
			total += n
		}
		if budget.Used() > limit || total > limit+2*callers*part || total < limit/2 {
			t.Errorf("%d bytes are held, %d of them taken from the limit of %d", total, budget.Used(), limit)
		}
		for _, caller := range all {
			close(caller.release)
		}
		running.Wait()
		if budget.Used() != 0 {
			t.Errorf("%d bytes are still taken", budget.Used())
		}
	})
}

// Guards against a request that outlasts its deadline because its caller does not read.
func TestDeadlineEndsTheWaitForACaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller := newStalledCaller(nil)
		c := newCallerWriter(caller, NewBudget(0))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		var err error
		for err == nil {
			err = c.write(ctx, make([]byte, 100), &backendhttp.Response{})
		}
		if !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != 3*time.Second {
			t.Errorf("after %s: %v", time.Since(began), err)
		}
		close(caller.release)
		c.close()
	})
}

// Guards against a sound server that is left for another one because the caller does not read.
func TestServerIsNotLeftForASlowCaller(t *testing.T) {
	const events = 400
	padding := strings.Repeat("x", 32<<10)
	script := func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for i := range events {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, padding)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
	first, second := startFakeServer(t, script), startFakeServer(t, script)
	f, front := newTestFront(t, first, second)
	configure(f)
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nId: id-1\r\nKey: %s\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx", testHost, testKey)
	time.Sleep(minGapTimeout + 300*time.Millisecond)
	body, err := io.ReadAll(c)
	if n := strings.Count(string(body), "data:"); err != nil || n != events {
		t.Errorf("%d events, %v", n, err)
	}
	if n := len(first.requests()) + len(second.requests()); n != 1 {
		t.Errorf("%d requests reached the servers, want 1", n)
	}
}

// Guards against bodies that together exceed the memory of the instance, and against memory that a
// refused or an ended request keeps.
func TestBodiesShareOneLimit(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, 200, "ok") })
	f, front := newTestFront(t, s)
	configure(f)
	f.Memory = NewBudget(500)
	for size, want := range map[int]int{400: 200, 501: 503} {
		resp, _, err := call(t, t.Context(), front, "POST", "/order/1", strings.Repeat("b", size))
		if err != nil || resp.StatusCode != want || want == 503 && resp.Header.Get("Retry-After") == "" {
			t.Errorf("%d bytes: %v, %v", size, resp, err)
		}
	}
	front.Close() // waits until the requests have ended
	if n := len(s.requests()); n != 1 || f.Memory.Used() != 0 {
		t.Errorf("%d requests reached the server, %d bytes are still taken", n, f.Memory.Used())
	}
}

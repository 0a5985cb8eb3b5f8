package backendhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// endlessServers is the number of servers without an end at a time.
const endlessServers = 20

// writeEndlessly writes a beginning and then the same bytes until the caller closes the connection.
func writeEndlessly(c net.Conn, beginning, again string) {
	_, err := io.WriteString(c, beginning)
	block := []byte(strings.Repeat(again, 1+(64<<10)/len(again)))
	for err == nil {
		_, err = c.Write(block)
	}
}

// heapWatch records the most memory in use by the Go heap and stacks beyond that at its start.
type heapWatch struct {
	before uint64
	most   atomic.Uint64
	stop   chan struct{}
	done   sync.WaitGroup
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func watchHeap() *heapWatch {
	runtime.GC()
	w := &heapWatch{before: heapInUse(), stop: make(chan struct{})}
	w.done.Go(func() {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			w.most.Store(max(w.most.Load(), heapInUse()))
			select {
			case <-ticker.C:
			case <-w.stop:
				return
			}
		}
	})
	return w
}

// end returns the growth in bytes.
func (w *heapWatch) end() uint64 {
	close(w.stop)
	w.done.Wait()
	return w.most.Load() - min(w.before, w.most.Load())
}

const okHead = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a response without an end that takes the memory of the instance, keeps its caller waiting until the deadline
// or beyond, or counts as anything but malformed. Sound servers respond beside 20 such ones.
func TestResponsesWithoutEndAreMalformed(t *testing.T) {
	for name, response := range map[string][2]string{
		"status line":           {"HTTP/1.1 200 ", "O"},
		"one header field":      {"HTTP/1.1 200 OK\r\nId: ", "1"},
		"header fields":         {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"no response":           {"", "\x00garbage"},
		"empty lines":           {"", "\r\n"},
		"informational field":   {"HTTP/1.1 103 Early\r\nId: ", "1"},
		"informational heads":   {"", "HTTP/1.1 103 Early\r\nId: 1\r\n\r\n"},
		"chunk extension":       {okHead + "5;", "x"},
		"chunk extensions":      {okHead, "1;" + strings.Repeat("x", 1000) + "\r\na\r\n"},
		"chunk length":          {okHead, "0"},
		"trailer":               {okHead + "1\r\na\r\n0\r\nA: ", "b"},
		"trailers":              {okHead + "1\r\na\r\n0\r\n", "A: b\r\n"},
		"late response":         {"HTTP/1.1 200 OK\r\nId: other\r\nConnection: keep-alive\r\nContent-Length: 1000000000000\r\n\r\n", "b"},
		"late chunked response": {strings.Replace(okHead, "Id: 1", "Id: other", 1), "5\r\nother\r\n"},
	} {
		t.Run(name, func(t *testing.T) { testEndlessResponse(t, response[0], response[1]) })
	}
}

func testEndlessResponse(t *testing.T, beginning, again string) {
	const (
		deadline    = 5 * time.Second
		memoryLimit = 256 << 20
	)
	c := client()
	defer c.Close()
	sound := serve(t, func(conn net.Conn, next func() *http.Request) {
		for r := next(); r != nil; r = next() {
			_, _ = io.WriteString(conn, answer(r.Header.Get("Id"), "sound"))
		}
	})
	watch := watchHeap()
	var closed atomic.Int32
	var calls sync.WaitGroup
	for range endlessServers {
		// The first request lets the connection be reused: only then late responses are skipped.
		endless := serve(t, func(conn net.Conn, next func() *http.Request) {
			next()
			_, _ = io.WriteString(conn, answer("0", "first"))
			next()
			writeEndlessly(conn, beginning, again)
			closed.Add(1)
		})
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			if _, err := askWithin(ctx, c, endless.address, get("0"), matchID("0")); err != nil {
				t.Errorf("first request: %v", err)
			}
			began := time.Now()
			if _, err := askWithin(ctx, c, endless.address, get("1"), matchID("1")); !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v, want a malformed response", err)
			}
			if took := time.Since(began); took > deadline/2 {
				t.Errorf("ended after %v", took)
			}
		})
		calls.Go(func() {
			if body, err := ask(t, c, sound.address, get("1"), matchID("1")); err != nil || body != "sound" {
				t.Errorf("sound server: %q, %v", body, err)
			}
		})
	}
	calls.Wait()
	if most := watch.end(); most > memoryLimit {
		t.Errorf("memory grew by %d MB", most>>20)
	}
	for end := time.Now().Add(deadline); closed.Load() < endlessServers && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if n := closed.Load(); n != endlessServers {
		t.Errorf("%d of %d connections were closed", n, endlessServers)
	}
}

// Guards against a body without an end that is read on after the deadline of its request.
func TestBodyWithoutEndEndsAtTheDeadline(t *testing.T) {
	const deadline, slack = 300 * time.Millisecond, 100 * time.Millisecond
	for name, response := range map[string][2]string{
		"chunks":        {okHead, "5\r\nabcde\r\n"},
		"until closing": {"HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "abcde"},
		"length":        {"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1000000000000\r\n\r\n", "abcde"},
	} {
		t.Run(name, func(t *testing.T) {
			s := serve(t, func(conn net.Conn, next func() *http.Request) {
				next()
				writeEndlessly(conn, response[0], response[1])
			})
			c := client()
			defer c.Close()
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			resp, err := c.Do(ctx, s.address, get("1"), matchID("1"))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Close()
			n, err := io.Copy(io.Discard, resp)
			if err == nil || errors.Is(err, ErrMalformed) || n == 0 {
				t.Errorf("%d bytes, %v", n, err)
			}
			if took := time.Since(began); took > deadline+slack {
				t.Errorf("ended after %v", took)
			}
		})
	}
}

// What names, values and reasons consist of.
var (
	validName = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+$")
	validText = regexp.MustCompile(`^[^\x00-\x08\x0a-\x1f\x7f]*$`)
)

// FuzzResponseHead checks that any bytes from a server end in a response to the request or an error, and never in one that
// belongs to another request or has an invalid head.
func FuzzResponseHead(f *testing.F) {
	for _, seed := range []string{
		answer("1", "body"), answer("2", "body") + answer("1", "body"), okHead + "5\r\nabcde\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + answer("1", ""), "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: " + strings.Repeat("1", 2*DefaultMaxHead), fmt.Sprintf("HTTP/1.1 200 OK\r\n%s\r\n", strings.Repeat("A: b\r\n", 100)),
	} {
		f.Add([]byte(seed), true)
	}
	for _, seed := range malformedResponses {
		f.Add([]byte(seed), true)
	}
	for _, seed := range validResponses {
		f.Add([]byte(seed[0]), false)
	}
	f.Fuzz(func(t *testing.T, sent []byte, reused bool) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = far.Write(sent)
			_ = far.Close()
		}()
		c := newConn(near)
		c.reused = reused
		resp, err := c.readResponse(http.MethodGet, DefaultMaxHead, func(r *http.Response) bool { return r.Header.Get("Id") == "1" })
		if err != nil {
			return
		}
		if resp.StatusCode < http.StatusOK || resp.StatusCode >= 600 || resp.Header.Get("Id") != "1" {
			t.Errorf("status %d, id %q", resp.StatusCode, resp.Header.Get("Id"))
		}
		if resp.ProtoMajor != 1 || !validText.MatchString(resp.Status) {
			t.Errorf("version %s, status %q", resp.Proto, resp.Status)
		}
		for name, values := range resp.Header {
			if !validName.MatchString(name) || !validText.MatchString(strings.Join(values, "")) {
				t.Errorf("%q: %q", name, values)
			}
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	})
}

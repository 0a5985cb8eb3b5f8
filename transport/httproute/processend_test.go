package httproute

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
)

// serverVariable makes the test binary a backend server that begins each response with its value, and then waits.
const serverVariable = "BASILROUTE_TEST_SERVER_RESPONSE"

func TestMain(m *testing.M) {
	if response := os.Getenv(serverVariable); response != "" {
		serveBeginnings(response)
	}
	os.Exit(m.Run())
}

// serveBeginnings prints the address on which it listens, and a line for each response that it has begun.
func serveBeginnings(response string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(1)
		}
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return // a connection that carries nothing
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, response)
			fmt.Println("begun")
			select {}
		}()
	}
}

// serverProcess is a process of serveBeginnings.
type serverProcess struct {
	*fakeServer
	process *os.Process
	lines   *bufio.Scanner
}

func startServerProcess(t *testing.T, response string) *serverProcess {
	t.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), serverVariable+"="+response)
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill() // it may have been killed before
		_ = command.Wait()
	})
	s := &serverProcess{process: command.Process, lines: bufio.NewScanner(out)}
	if !s.lines.Scan() {
		t.Fatal("the server did not start")
	}
	s.fakeServer = &fakeServer{address: s.lines.Text()}
	return s
}

// holdConnections opens connections to a server that carry nothing.
func holdConnections(t *testing.T, address string, n int) {
	t.Helper()
	for range n {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

const (
	endHead   = "HTTP/1.1 200 OK\r\nId: id-1\r\n"
	endStream = endHead + "Content-Type: text/event-stream\r\n\r\n"
	endFirst  = "id: 1\ndata: a\n\n"
	endSecond = "id: 2\ndata: b\n\n"
)

// endCases are the kinds of requests whose server ends after the beginning of its response. The caller gets
// whole if another server may go on with it or repeat it, and otherwise nothing that looks whole.
var endCases = []struct{ path, begins, whole string }{
	{"/order/1", endHead + "\r\npart", ""},
	{"/read/1", endHead + "\r\npart", "whole"},
	{"/chat/1", endStream + endFirst, ""},
	{"/draft/1", endStream + endFirst, endFirst + endSecond},
	{"/read/large", endHead + "\r\n" + strings.Repeat("l", maxBuffered), ""},
}

// soundServer responds with all of a body, or with the rest of a stream that is resumed.
func soundServer(t *testing.T, whole string) *fakeServer {
	t.Helper()
	return startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		rest := whole
		if r.Header.Get("Last-Event-Id") == "1" {
			rest = strings.TrimPrefix(rest, endFirst)
		}
		_, _ = fmt.Fprintf(c, endHead+"Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(rest), rest)
		return true
	})
}

// addServer adds a server to the region of a front.
func addServer(f *Front, s *fakeServer) {
	now := time.Now()
	f.Local.Backends.Put(backends.Server{ID: "other", Service: "svc", Address: s.address, Domain: "d", Region: "r", Slots: 8}, now)
	f.Local.Pool("svc").Update(placement.Settings{Slots: 8}, f.Local.Backends.InRegion("r", now))
}

// Guards against a part of an answer or of a stream that a caller gets as the whole one because the server's process was killed:
// the kernel then closes its connections in order. Here or by way of another region.
func TestKilledServerHasNotEndedItsResponse(t *testing.T) {
	const idleConns = 200 // which the kernel closes after the one of the response and before the listening one
	for _, tc := range endCases {
		if len(tc.begins) > maxBuffered {
			continue // too long for a variable of the environment
		}
		for _, forwarded := range []bool{false, true} {
			s := startServerProcess(t, tc.begins)
			holdConnections(t, s.address, idleConns)
			f, front := newTestFront(t, s.fakeServer)
			configure(f)
			callers := front
			if forwarded {
				var first *Front
				first, callers, _ = forwardingFronts(t, f)
				first.Local.Backends.Put(backends.Server{ID: "s0", Service: "svc", Address: s.address, Domain: "d", Region: "r"}, time.Now())
			}
			sound := soundServer(t, tc.whole)
			go func() {
				if s.lines.Scan() {
					if tc.whole != "" {
						addServer(f, sound)
					}
					time.Sleep(10 * time.Millisecond) // the beginning has been passed on
					_ = s.process.Kill()
				}
			}()
			resp, body, err := call(t, t.Context(), callers, "POST", tc.path, "body")
			checkEnded(t, tc.path, tc.whole, resp, body, err)
		}
	}
}

// checkEnded checks what a caller got.
func checkEnded(t *testing.T, path, whole string, resp *http.Response, body string, err error) {
	t.Helper()
	served := err == nil && resp.StatusCode == http.StatusOK
	if served != (whole != "") || served && body != whole {
		t.Errorf("%s: served %v, %d bytes, %.40q, %v", path, served, len(body), body, err)
	}
}

// Guards against the same of a server whose process ends in any other way, and of an answer that is too large to be held.
func TestServerThatIsGoneHasNotEndedItsResponse(t *testing.T) {
	for _, tc := range endCases {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		gone := &fakeServer{address: l.Addr().String(), script: func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, tc.begins)
			_ = l.Close()
			return false
		}}
		go func() {
			if c, err := l.Accept(); err == nil {
				gone.connection(c)
			}
		}()
		f, front := newTestFront(t, gone)
		configure(f)
		resp, body, err := call(t, t.Context(), front, "POST", tc.path, "body")
		checkEnded(t, tc.path, "", resp, body, err)
	}
}

// Guards against responses that end with their connection and are held up, or cost a connection more than the next request uses.
func TestServerThatStaysEndsItsResponse(t *testing.T) {
	const requests, slow = 20, 200 * time.Millisecond
	for _, tc := range endCases {
		s := startFakeServer(t, func(c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, tc.begins)
			return false
		})
		f, front := newTestFront(t, s)
		configure(f)
		_, want, _ := strings.Cut(tc.begins, "\r\n\r\n")
		took := make([]time.Duration, 0, requests)
		for range requests {
			began := time.Now()
			resp, body, err := call(t, t.Context(), front, "POST", tc.path, "body")
			took = append(took, time.Since(began))
			checkEnded(t, tc.path, want, resp, body, err)
		}
		if fastest := slices.Min(took); fastest > slow {
			t.Errorf("%s: took %v", tc.path, fastest)
		}
		if stats := f.Local.Client.Stats(); stats.OnNew != 1 || stats.OnAhead != requests-1 {
			t.Errorf("%s: connections of requests: %+v", tc.path, stats)
		}
	}
}

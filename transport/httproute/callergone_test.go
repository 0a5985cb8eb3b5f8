package httproute

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// rawCaller is a caller that controls each byte of its connection.
type rawCaller struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// dialRaw connects to a server. The connection ends with the test or after ten seconds.
func dialRaw(t *testing.T, address string) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawCaller{TCPConn: c.(*net.TCPConn), t: t, reader: bufio.NewReader(c)}
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// closeSending sends a FIN. The caller goes on reading.
func (c *rawCaller) closeSending() {
	c.t.Helper()
	if err := c.CloseWrite(); err != nil {
		c.t.Fatal(err)
	}
}

// response reads one response. The error is that of its head or of its body.
func (c *rawCaller) response() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

// requestText returns a request as it is sent.
func requestText(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nId: %s\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, testHost, id, testKey, len(body), body)
}

func addressOf(s *httptest.Server) string { return s.Listener.Addr().String() }

// Guards against a request that ends without a response because its caller has closed its sending side only: it is refused,
// or it ran and the response says no less.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	const callers = 20
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/order/") {
			return respond(c, r, http.StatusOK, "ok")
		}
		_, _ = c.Read(make([]byte, 1)) // until the request is cancelled
		return false
	})
	f, front := newTestFront(t, s)
	configure(f)
	for _, path := range []string{"/read/1", "/order/1", "/draft/1", "/chat/1"} {
		for i := range callers {
			id := fmt.Sprint(path, "-", i)
			c := dialRaw(t, addressOf(front))
			c.send(requestText("POST", path, id, strings.Repeat("x", i%2)))
			c.closeSending()
			status, body, err := c.response()
			if err != nil {
				t.Errorf("%s: %v, sent to the server: %v", id, err, s.hasSeen(id))
				continue
			}
			if status == http.StatusServiceUnavailable && s.hasSeen(id) || status == http.StatusOK && body != "ok" {
				t.Errorf("%s: %d %q, sent to the server: %v", id, status, body, s.hasSeen(id))
			}
		}
	}
	front.Close() // waits until the requests have ended
	if f.Memory.Used() != 0 {
		t.Errorf("%d bytes are still taken", f.Memory.Used())
	}
}

// hasSeen reports whether a request reached the server.
func (s *fakeServer) hasSeen(id string) bool {
	return slices.ContainsFunc(s.requests(), func(r *http.Request) bool { return r.Header.Get("Id") == id })
}

// Guards against a refusal that is not written because its caller has closed its sending side only, and against memory that
// such a request keeps.
func TestHalfClosedCallerIsRefused(t *testing.T) {
	f, front := newTestFront(t)
	configure(f)
	f.Memory = NewBudget(500)
	for name, text := range map[string]string{
		"no server":   requestText("POST", "/order/1", "id-1", "x"),
		"unknown key": strings.Replace(requestText("GET", "/read/1", "id-1", ""), testKey, "another", 1),
		"no route":    requestText("GET", "/elsewhere/1", "id-1", ""),
		"memory":      requestText("POST", "/order/1", "id-1", strings.Repeat("x", 501)),
	} {
		c := dialRaw(t, addressOf(front))
		c.send(text)
		c.closeSending()
		if status, body, err := c.response(); err != nil || body == "" || status < http.StatusBadRequest {
			t.Errorf("%s: %d %q, %v", name, status, body, err)
		}
	}
	front.Close() // waits until the requests have ended
	if f.Memory.Used() != 0 {
		t.Errorf("%d bytes are still taken", f.Memory.Used())
	}
}

// Guards against a stream that is broken off and looks complete: its caller reads slowly and has closed its sending side.
func TestStreamOfHalfClosedCallerDoesNotLookComplete(t *testing.T) {
	padding := strings.Repeat("x", 32<<10)
	var written atomic.Int64
	ended := make(chan struct{})
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		for i := 0; ; i++ {
			written.Add(1)
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, padding)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				close(ended)
				return false
			}
		}
	})
	f, front := newTestFront(t, s)
	configure(f)
	c := dialRaw(t, addressOf(front))
	c.send(requestText("POST", "/chat/1", "id-1", "x"))
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	for before := int64(-1); written.Load() != before; { // until the buffers on the way are full
		before = written.Load()
		time.Sleep(100 * time.Millisecond)
	}
	c.closeSending()
	<-ended
	if status, _, err := c.response(); err == nil {
		t.Errorf("an unlimited stream looks complete, with status %d", status)
	}
}

// Guards against a request that ends because its connection carries more bytes: a second request, or an empty line.
func TestMoreBytesDoNotEndARequest(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1", "/draft/1", "/chat/1"} {
		seen, proceed := make(chan struct{}, 2), make(chan struct{}, 2)
		s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
			seen <- struct{}{}
			<-proceed
			if strings.HasPrefix(path, "/read") || strings.HasPrefix(path, "/order") {
				return respond(c, r, http.StatusOK, r.Header.Get("Id"))
			}
			writeHead(c, r)
			event := "id: 0\ndata: " + r.Header.Get("Id") + "\n\n"
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			writeEnd(c)
			return true
		})
		f, front := newTestFront(t, s)
		configure(f)
		c := dialRaw(t, addressOf(front))
		c.send(requestText("POST", path, "id-1", "x"))
		<-seen
		c.send("\r\n" + requestText("POST", path, "id-2", "x"))
		for _, id := range []string{"id-1", "id-2"} {
			proceed <- struct{}{}
			if status, body, err := c.response(); err != nil || status != http.StatusOK || !strings.Contains(body, id) {
				t.Errorf("%s, %s: %d %q, %v", path, id, status, body, err)
			}
		}
	}
}

package backendhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	bodyPart     = "part"
	// serverBuffer is the size in bytes of a server's receive buffer, which takes none of the long uploads.
	serverBuffer = 64 << 10
)

// uploadSizes are the sizes of requests' bodies, in bytes: below what is written at once, within the buffers of a connection,
// and above them.
var uploadSizes = []int{4 << 10, 16 << 10, 64 << 10, 256 << 10, 1 << 20, 3 << 20, 8 << 20}

func upload1(size int) *Request {
	return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte(strings.Repeat("b", size))}
}

// reset resets a connection.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// resetAfterPart answers an upload at once, without a length, and resets the connection when it is told to.
func resetAfterPart(t *testing.T, now <-chan struct{}) *scriptedServer {
	t.Helper()
	return serve(t, func(c net.Conn, _ func() *http.Request) {
		_ = c.(*net.TCPConn).SetReadBuffer(serverBuffer)
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = io.WriteString(c, unframedHead+bodyPart)
		<-now
		reset(c)
	})
}

// readPart reads the beginning of a response's body.
func readPart(t *testing.T, a *Response) {
	t.Helper()
	if _, err := io.ReadFull(a, make([]byte, len(bodyPart))); err != nil {
		t.Fatal(err)
	}
}

// Guards against a part of an answer that is taken for the whole one when the writer of the upload finds out first that the
// server has reset the connection.
func TestResetThatTheUploadMeetsIsNotTheEndOfAResponse(t *testing.T) {
	now := make(chan struct{})
	s := resetAfterPart(t, now)
	a, err := client().Do(t.Context(), s.address, upload1(32<<20), matchID("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	readPart(t, a)
	close(now)
	if a.bodyWritten.wait() == nil {
		t.Fatal("the upload was written")
	}
	if _, err := io.ReadAll(a); err == nil {
		t.Error("the part is taken for the whole body")
	}
}

// Guards against a part of an answer that is taken for the whole one when the look of the idle timer for unread data finds out
// first that the server has reset the connection.
func TestResetThatTheIdleTimerMeetsIsNotTheEndOfAResponse(t *testing.T) {
	for _, size := range uploadSizes {
		now := make(chan struct{})
		s := resetAfterPart(t, now)
		a, err := client().Do(t.Context(), s.address, upload1(size), matchID("1"))
		if err != nil {
			t.Fatal(err)
		}
		readPart(t, a)
		close(now)
		for !a.conn.unread() {
			time.Sleep(time.Millisecond)
		}
		if _, err := io.ReadAll(a); err == nil {
			t.Errorf("upload of %d bytes: the part is taken for the whole body", size)
		}
		a.Close()
	}
}

// Guards against a part of an answer that is taken for the whole one, whoever finds out first that the server has reset or
// closed the connection before it had read the upload.
func TestConnectionThatEndsBeforeTheUploadIsReadHasNoWholeResponse(t *testing.T) {
	const readLater = 20 * time.Millisecond
	for name, tc := range map[string]struct {
		sizes []int
		end   func(c net.Conn, after time.Duration)
	}{
		"reset": {uploadSizes, func(c net.Conn, after time.Duration) {
			time.Sleep(after)
			reset(c)
		}},
		"closed": {uploadSizes[1:], func(c net.Conn, after time.Duration) {
			time.Sleep(after)
			_ = c.Close()
		}},
		"closed for writing, then reset": {uploadSizes[4:], func(c net.Conn, after time.Duration) {
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(after)
			reset(c)
		}},
	} {
		for _, size := range tc.sizes {
			for after := range 11 {
				s := serve(t, func(c net.Conn, _ func() *http.Request) {
					_ = c.(*net.TCPConn).SetReadBuffer(serverBuffer)
					_, _ = c.Read(make([]byte, 1<<10))
					_, _ = io.WriteString(c, unframedHead+bodyPart)
					tc.end(c, time.Duration(after)*time.Millisecond)
				})
				a, err := client().Do(t.Context(), s.address, upload1(size), matchID("1"))
				if err != nil {
					continue // the head was lost with the connection
				}
				if after%2 == 1 {
					time.Sleep(readLater)
				}
				if _, err := io.ReadAll(a); err == nil {
					t.Errorf("%s after %d ms, upload of %d bytes: taken for whole", name, after, size)
				}
				a.Close()
			}
		}
	}
}

// Guards against whole answers that are refused because they end with their connection, or because the server does not read
// the upload once it has answered with a length or in chunks.
func TestAnswersToUploadsAreWhole(t *testing.T) {
	const body = "the whole body"
	const unread = 10 * time.Millisecond // from the response to the break
	readAll := func(next func() *http.Request) {
		if r := next(); r != nil {
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}
	for name, script := range map[string]func(c net.Conn, next func() *http.Request){
		"after the upload": func(c net.Conn, next func() *http.Request) {
			readAll(next)
			_, _ = io.WriteString(c, unframedHead+body)
		},
		"before the upload is read": func(c net.Conn, next func() *http.Request) {
			_, _ = io.WriteString(c, unframedHead+body)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(unread)
			readAll(next)
		},
		"with a length, then reset": func(c net.Conn, _ func() *http.Request) {
			_, _ = io.WriteString(c, answer("1", body))
			time.Sleep(unread)
			reset(c)
		},
		"in chunks, then reset": func(c net.Conn, _ func() *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			time.Sleep(unread)
			reset(c)
		},
	} {
		for _, size := range uploadSizes {
			s := serve(t, script)
			got, err := ask(t, client(), s.address, upload1(size), matchID("1"))
			if err != nil || got != body {
				t.Errorf("%s, upload of %d bytes: %q, %v", name, size, got, err)
			}
		}
	}
}

// Guards against a response that is waited for without end at a server that has sent all of it and no longer reads the upload:
// the idle timeout has to try another one.
func TestServerThatStopsReadingAfterItsResponseIsIdle(t *testing.T) {
	const idle = 20 * time.Millisecond
	release := make(chan struct{})
	s := serve(t, func(c net.Conn, _ func() *http.Request) {
		_ = c.(*net.TCPConn).SetReadBuffer(serverBuffer)
		_, _ = io.WriteString(c, unframedHead+bodyPart)
		_ = c.(*net.TCPConn).CloseWrite()
		<-release
	})
	t.Cleanup(func() { close(release) })
	o := matchID("1")
	o.IdleTimeout, o.ShouldAbort = idle, func(func() bool) bool { return true }
	began := time.Now()
	a, err := New(Settings{DialTimeout: time.Second, UserTimeout: testTimeout, MaxIdle: 4}).Do(t.Context(), s.address, upload1(32<<20), o)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if _, err := io.ReadAll(a); err == nil {
		t.Error("the response is whole")
	}
	if took := time.Since(began); took > testTimeout/2 {
		t.Errorf("ended after %v", took)
	}
}

// Guards against a part of an answer that is taken for the whole one because the server's process has ended, or does not tell in
// time whether it runs.
func TestEndOfTheProcessIsNotTheEndOfAResponse(t *testing.T) {
	for ends, want := range map[bool]error{true: ErrProcessEnded, false: errProcessUnknown} {
		address, _ := listen(t, func(l net.Listener, c net.Conn, _ int) {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(c, unframedHead+bodyPart)
			if ends {
				_ = l.Close()
			}
			_ = c.Close()
		})
		ctx, cancel := context.WithCancel(t.Context())
		a, err := client().Do(ctx, address, get("1"), matchID("1"))
		if err != nil {
			t.Fatal(err)
		}
		readPart(t, a)
		if ends {
			_, err = io.ReadAll(a)
		} else {
			cancel()
			err = a.confirmProcess()
		}
		if !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
		a.Close()
		cancel()
	}
}

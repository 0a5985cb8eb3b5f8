package backendhttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startHalf starts a response of which half has arrived.
func startHalf(t *testing.T) *Response {
	t.Helper()
	s := serve(t, func(c net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 8\r\n\r\nhalf")
		next() // until the client closes
	})
	a, err := client().Do(t.Context(), s.address, get("1"), matchID("1"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Close)
	return a
}

// closedBody is a body of which a part is read just before the idle timeout closes the connection.
type closedBody struct {
	io.ReadCloser
	conn *conn
}

func (b closedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	_, _ = b.conn.Conn.Read(make([]byte, 1)) // until the connection is closed
	return n, err
}

// Guards against a part of a response that is passed on although its server has just been left for another one, which goes
// on before that part.
func TestDataAsTheIdleTimeoutCloses(t *testing.T) {
	a := startHalf(t)
	a.resp.Body = closedBody{a.resp.Body, a.conn}
	a.SetIdleTimeout(time.Millisecond, func(func() bool) bool { return true })
	if n, err := a.Read(make([]byte, 8)); n != 0 || !errors.Is(err, ErrIdleTimeout) {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// Guards against a server that counts as idle because the timer fired just before its data arrived.
func TestLateIdleCheckAsksNothing(t *testing.T) {
	a := startHalf(t)
	a.SetIdleTimeout(time.Hour, func(func() bool) bool {
		t.Error("asked")
		return true
	})
	a.ResetIdleTimer()
	a.checkIdle()
	if n, err := a.Read(make([]byte, 8)); n != len("half") || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// Guards against a decision on a server that has gone on since it was found idle.
func TestIdleCheckIsToldOfData(t *testing.T) {
	a := startHalf(t)
	idle := make(chan bool, 2)
	a.SetIdleTimeout(time.Millisecond, func(stillIdle func() bool) bool {
		idle <- stillIdle()
		a.ResetIdleTimer()
		idle <- stillIdle()
		a.endIdleWatch()
		return false
	})
	if before, after := <-idle, <-idle; !before || after {
		t.Errorf("idle %t before data, %t after it", before, after)
	}
}

// Guards against a server that counts as idle because the instance itself was held up: its data has arrived and is unread.
func TestUnreadDataIsNoIdleTime(t *testing.T) {
	goOn, written := make(chan struct{}), make(chan struct{})
	s := serve(t, func(c net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 8\r\n\r\n")
		<-goOn
		_, _ = io.WriteString(c, "half")
		close(written)
		next() // until the client closes
	})
	a, err := client().Do(t.Context(), s.address, get("1"), matchID("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	asked := 0
	a.watch.shouldAbort = func(func() bool) bool {
		asked++
		return false
	}
	a.checkIdle()
	close(goOn)
	<-written
	a.checkIdle()
	if asked != 1 {
		t.Errorf("asked %d times, want once, before the data", asked)
	}
}

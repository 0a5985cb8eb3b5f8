package backendhttp

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// awaitBytes waits until some bytes have arrived, and leaves them unread.
func awaitBytes(t *testing.T, c net.Conn, want int) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	buffer := make([]byte, want)
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errors.Is(err, syscall.EAGAIN) || err == nil && n > 0 && n < want
		return !waiting
	})
	if err != nil {
		t.Error(err)
	}
}

func readBytes(t *testing.T, c net.Conn, n int) {
	t.Helper()
	if _, err := io.ReadFull(c, make([]byte, n)); err != nil {
		t.Error(err)
	}
}

// What the sender reports of a request.
const (
	reportNotSent = "not sent"
	reportUnknown = "unknown"
	reportCut     = "response cut off"
	reportServed  = "served"
)

func sendAndReport(t *testing.T, c *Client, address string, r *Request) string {
	t.Helper()
	a, err := c.Do(t.Context(), address, r, unrepeatable("1"))
	switch {
	case errors.Is(err, ErrNotSent):
		return reportNotSent
	case err != nil:
		return reportUnknown
	}
	defer a.Close()
	if _, err := io.ReadAll(a); err != nil {
		return reportCut
	}
	return reportServed
}

// Guards against a request that runs twice, or is reported as not sent although it may have run, when its idle connection breaks.
func TestRequestOnABreakingConnectionIsSentOnce(t *testing.T) {
	post := func(body string) *Request {
		return &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte(body)}
	}
	const unsendable = 64 << 20 // bytes; more than the buffers of a connection hold
	short, longBody, longHead := post("body"), post(strings.Repeat("b", unsendable)), post("body")
	longHead.Header.Set("Long", strings.Repeat("h", unsendable))
	length := len(short.head()) + len(short.Body)
	response := answer("1", "response")
	head := len(response) - len("response")
	reads := func(bytes int, thenWrites string) func(t *testing.T, peer net.Conn) {
		return func(t *testing.T, peer net.Conn) {
			readBytes(t, peer, bytes)
			_, _ = io.WriteString(peer, thenWrites)
		}
	}
	receives := func(t *testing.T, peer net.Conn) { awaitBytes(t, peer, length) }
	const part = 1 << 20 // bytes
	for name, tc := range map[string]struct {
		request *Request
		stopped bool                              // the peer stops, before the request
		breaks  func(t *testing.T, peer net.Conn) // returns before the break; nil for before the request
		want    string
		conns   int32
	}{
		"before the first byte":                {request: short, want: reportServed, conns: 2},
		"before the first byte, peer stopped":  {request: short, want: reportNotSent, conns: 1, stopped: true},
		"after part of the head":               {request: longHead, want: reportUnknown, conns: 1, breaks: reads(part, "")},
		"after part of the body":               {request: longBody, want: reportUnknown, conns: 1, breaks: reads(part, "")},
		"after the request, before it is read": {request: short, want: reportUnknown, conns: 1, breaks: receives},
		"after the request is read":            {request: short, want: reportUnknown, conns: 1, breaks: reads(length, "")},
		"after the head of the response":       {request: short, want: reportCut, conns: 1, breaks: reads(length, response[:head])},
		"in the middle of the body":            {request: short, want: reportCut, conns: 1, breaks: reads(length, response[:head+1])},
	} {
		t.Run(name, func(t *testing.T) {
			idleClosed := make(chan struct{})
			s := serve(t, func(peer net.Conn, _ func() *http.Request) {
				defer close(idleClosed)
				defer func() { _ = peer.Close() }()
				if tc.breaks != nil {
					tc.breaks(t, peer)
				}
			}, answerAll)
			c := New(Settings{DialTimeout: time.Second, UserTimeout: time.Second, MaxIdle: 4, FreshIdle: DefaultIdleLimit})
			t.Cleanup(c.Close)
			if c.ConnectionRefused(t.Context(), s.address) {
				t.Fatal("connection refused")
			}
			age(c, 2*time.Second)
			if tc.breaks == nil {
				<-idleClosed
			}
			if tc.stopped {
				_ = s.listener.Close()
			}
			if got := sendAndReport(t, c, s.address, tc.request); got != tc.want {
				t.Errorf("reported as %s, want %s", got, tc.want)
			}
			<-idleClosed
			if n := s.accepted.Load(); n != tc.conns {
				t.Errorf("%d connections, want %d", n, tc.conns)
			}
		})
	}
}

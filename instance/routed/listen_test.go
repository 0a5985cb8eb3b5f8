package routed

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/transport/backendhttp"
)

// pipeListener accepts the other ends of pipes.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// Guards against a request that crosses the close of an idle connection, because the receiving instance gives it up first.
func TestPeerKeepsIdleConnectionsLongerThanTheSender(t *testing.T) {
	const transit = time.Second / 2 // of a request that was sent at the end of the idle limit
	for name, requests := range map[string]int{"dialled ahead": 0, "used before": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Instance{callers: &http.Server{}, listenerErrors: make(chan error, 1)}
				l := &pipeListener{conns: make(chan net.Conn)}
				n.serveHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), l)
				defer func() {
					close(l.conns)
					_ = n.handlerServers[0].Close()
				}()
				c := l.dial()
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for range requests {
					roundTrip(t, c, reader)
				}
				time.Sleep(backendhttp.DefaultIdleLimit + transit)
				roundTrip(t, c, reader)
			})
		})
	}
}

// roundTrip sends a request and reads its response.
func roundTrip(t *testing.T, c net.Conn, reader *bufio.Reader) {
	t.Helper()
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

package httproute

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// finalChunk ends a chunked body that is complete.
const finalChunk = "\r\n0\r\n\r\n"

// rawStream asks for a stream, cuts it when a part has arrived, and returns what the connection carried and how it ended.
func rawStream(t *testing.T, address, version string, cut func()) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "POST /draft/1 %s\r\nHost: %s\r\nId: id-1\r\nKey: %s\r\nContent-Length: 0\r\n\r\n", version, testHost, testKey); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for buffer := make([]byte, 1024); !strings.Contains(got.String(), "data:"); {
		n, err := c.Read(buffer)
		if got.Write(buffer[:n]); err != nil {
			t.Fatalf("before the cut: %q, %v", got.String(), err)
		}
	}
	cut()
	rest, err := io.ReadAll(c)
	return got.String() + string(rest), err
}

// Guards against a stream that looks complete to its caller although the exit of an instance, the loss of a peer or the end of its
// server has cut it.
func TestCutStreamDoesNotLookComplete(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for name, start := range map[string]func(t *testing.T) (address string, cut func()){
			"exit":                          startExitingFront,
			"exit, response without length": startExitingFrontWithoutLength,
			"exit of a peer":                startFrontBesideExitingPeer,
			"exit before a peer":            startExitingFrontBesidePeer,
			"end of the server":             startFrontBesideEndingServer,
			"closed connections":            startClosedFront,
		} {
			t.Run(fmt.Sprint(version, " ", name), func(t *testing.T) {
				address, cut := start(t)
				got, err := rawStream(t, address, version, cut)
				if strings.HasSuffix(got, finalChunk) || version == "HTTP/1.0" && err == nil {
					t.Errorf("%q, %v", got, err)
				}
			})
		}
	}
}

// sendsOneEvent is a server that begins a stream and goes on when ended is closed.
func sendsOneEvent(ended <-chan struct{}) func(c net.Conn, r *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		writeHead(c, r)
		writeEvent(c, 0)
		<-ended
		return false
	}
}

func startExitingFront(t *testing.T) (address string, exits func()) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return startExiting(t, sendsOneEvent(ended))
}

// startExitingFrontWithoutLength is startExitingFront with a server whose response ends with its connection.
func startExitingFrontWithoutLength(t *testing.T) (address string, exits func()) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	return startExiting(t, func(c net.Conn, r *http.Request) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: token0\n\n", r.Header.Get("Id"))
		<-ended
		return false
	})
}

func startExiting(t *testing.T, script func(c net.Conn, r *http.Request) bool) (address string, exits func()) {
	l := startLeavingFront(t, script)
	exit, cancel := context.WithCancel(t.Context())
	l.Exit = exit
	return l.callers.Listener.Addr().String(), cancel
}

func startFrontBesideExitingPeer(t *testing.T) (address string, exits func()) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	p := newPeerPath(t, startFakeServer(t, sendsOneEvent(ended)))
	peer := p.addPeer(t, nil)
	return p.callers.Listener.Addr().String(), func() { _ = peer.Config.Close() }
}

func startExitingFrontBesidePeer(t *testing.T) (address string, exits func()) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	p := newPeerPath(t, startFakeServer(t, sendsOneEvent(ended)))
	p.addPeer(t, nil)
	exit, cancel := context.WithCancel(t.Context())
	p.front.Exit = exit
	return p.callers.Listener.Addr().String(), cancel
}

func startFrontBesideEndingServer(t *testing.T) (address string, ends func()) {
	ended := make(chan struct{})
	f, callers := newTestFront(t, startFakeServer(t, sendsOneEvent(ended)))
	configure(f)
	return callers.Listener.Addr().String(), func() { close(ended) }
}

// startClosedFront returns a front whose connections are closed while its handlers still run.
func startClosedFront(t *testing.T) (address string, closes func()) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	f, callers := newTestFront(t, startFakeServer(t, sendsOneEvent(ended)))
	configure(f)
	return callers.Listener.Addr().String(), func() { _ = callers.Config.Close() }
}

package routed

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// closingListener is a pipeListener that ends when it is closed.
type closingListener struct {
	pipeListener
	once sync.Once
}

func (l *closingListener) Close() error {
	l.once.Do(func() { close(l.conns) })
	return nil
}

// unreadResponse is a response of the relay that a peer has not read.
type unreadResponse struct {
	instance *Instance
	peer     net.Conn
}

const forwardedBody = "the end of the response"

// forwardRequest lets a peer forward a request to an instance that responds at once.
func forwardRequest(t *testing.T) unreadResponse {
	t.Helper()
	settings := DefaultSettings()
	settings.Listen.Relay = "127.0.0.1:1"
	n := newInstance(settings, testSource{client: &memoryClient{store: newMemoryStore()}}, nil, slog.New(slog.DiscardHandler))
	l := &closingListener{pipeListener: pipeListener{conns: make(chan net.Conn)}}
	n.serveRelay(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, forwardedBody) }), l)
	c := l.dial()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	synctest.Wait() // the handler has returned
	return unreadResponse{n, c}
}

// Guards against a response to a forwarded request that is cut because the instance exits between the
// end of the handler and the last byte.
func TestInstanceExitsAfterTheLastByteOfAForwardedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unread := forwardRequest(t)
		began, stopped := time.Now(), make(chan error, 1)
		go func() { stopped <- unread.instance.Stop(t.Context()) }()
		time.Sleep(unread.instance.settings.Bounds.Grace - time.Second)
		readAt := time.Since(began)
		response, err := http.ReadResponse(bufio.NewReader(unread.peer), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || string(got) != forwardedBody {
			t.Errorf("%q, %v", got, err)
		}
		if err := <-stopped; err != nil || time.Since(began) > readAt+2*drainPollInterval {
			t.Errorf("stopped after %v, %v", time.Since(began), err)
		}
	})
}

// Guards against a forwarded request that is cut at the exit while the instance reports that nothing was.
func TestCutOfAForwardedRequestIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if err := forwardRequest(t).instance.Stop(t.Context()); err == nil {
			t.Error("no error")
		}
	})
}

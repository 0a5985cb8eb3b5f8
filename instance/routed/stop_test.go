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

// Guards against a response to a forwarded request that is cut because the instance exits between the
// end of the handler and the last byte.
func TestInstanceExitsAfterTheLastByteOfAForwardedResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const body = "the end of the response"
		settings := DefaultSettings()
		settings.Listen.Relay = "127.0.0.1:1"
		n := newInstance(settings, testSource{client: &memoryClient{store: newMemoryStore()}}, nil, slog.New(slog.DiscardHandler))
		l := &closingListener{pipeListener: pipeListener{conns: make(chan net.Conn)}}
		n.serveRelay(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }), l)
		c := l.dial()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait() // the handler has returned; nothing is read yet
		began, stopped := time.Now(), make(chan error, 1)
		go func() { stopped <- n.Stop(t.Context()) }()
		time.Sleep(settings.Bounds.Grace - time.Second)
		readAt := time.Since(began)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(response.Body); err != nil || string(got) != body {
			t.Errorf("%q, %v", got, err)
		}
		if err := <-stopped; err != nil || time.Since(began) > readAt+2*drainPollInterval {
			t.Errorf("stopped after %v, %v", time.Since(began), err)
		}
	})
}

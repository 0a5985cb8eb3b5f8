package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a part of an answer that an operation returns as the whole one: its server reset the connection during the
// upload, or its process ended.
func TestOperationWhoseAnswerEndsEarlyFails(t *testing.T) {
	const upload, runs = 8 << 20, 10 // bytes; runs because the reader of the answer may also meet the reset itself
	const begins = "HTTP/1.1 200 OK\r\n\r\npart"
	for name, end := range map[string]func(l net.Listener, c net.Conn){
		"reset": func(_ net.Listener, c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(c, begins)
			time.Sleep(2 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
		"process ended": func(l net.Listener, c net.Conn) {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			_, _ = io.WriteString(c, begins)
			_ = l.Close()
		},
	} {
		for range runs {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				end(l, c)
				_ = c.Close()
			}()
			client := New()
			body, err := client.Run(t.Context(), "http://"+l.Addr().String(), Operation{Name: "order", RequestID: "1", Body: []byte(strings.Repeat("b", upload))})
			if err == nil {
				t.Errorf("%s: %q is taken for the whole answer", name, body)
			}
			client.Close()
		}
	}
}

package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/basilroute/basilroute/protocol/refusal"
)

// endEarly returns the address of a server that reads a request, sends a part of an answer without a length, and closes the connection.
func endEarly(t *testing.T, part string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"+part)
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a part of an answer that is taken for the whole one because the server's process ended and its connection with it.
func TestAnswerThatEndsWithinItsValueIsCut(t *testing.T) {
	const whole = `{"id":"x","list":[1,2,{"a":"b"}]}`
	client := New()
	defer client.Close()
	for n := range len(whole) {
		body, err := client.Run(t.Context(), endEarly(t, whole[:n]), purchaseOrder("x"))
		if got := refusal.FromError(err); err == nil || got.Code != refusal.CodeBackendFailed || got.RunState != refusal.Ran {
			t.Errorf("%q: answered %q, %v", whole[:n], body, err)
		}
	}
	if body, err := client.Run(t.Context(), endEarly(t, whole), purchaseOrder("x")); err != nil || string(body) != whole {
		t.Errorf("the whole answer: %q, %v", body, err)
	}
}

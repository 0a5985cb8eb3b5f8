package httproute

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// callHTTP10 sends a request as a caller that speaks HTTP/1.0.
func callHTTP10(t *testing.T, address, path string) (body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.0\r\nHost: %s\r\nId: id-1\r\nKey: %s\r\n\r\n", path, testHost, testKey); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(resp.Body)
	return string(got), err
}

// Guards against a response that was broken off and looks whole to a caller of HTTP/1.0, to which no chunks are sent, and
// against a whole one that does not.
func TestCutResponseOfAnOldCallerIsNotWhole(t *testing.T) {
	large := strings.Repeat("l", maxBuffered+1)
	for path, begin := range map[string]func(c net.Conn, r *http.Request){
		"/chat/1": func(c net.Conn, r *http.Request) { writeEvents(c, r, 1, 2, false) },
		"/read/1": func(c net.Conn, r *http.Request) {
			writeHead(c, r)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(large), large)
		},
	} {
		for _, whole := range []bool{false, true} {
			s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
				if whole && path == "/chat/1" {
					writeEvents(c, r, 1, 2, true)
					return true
				}
				begin(c, r)
				if whole {
					writeEnd(c)
				}
				return whole
			})
			f, front := newTestFront(t, s)
			configure(f)
			body, err := callHTTP10(t, front.Listener.Addr().String(), path)
			if (err == nil) != whole {
				t.Errorf("%s, whole %v: %d bytes, %v", path, whole, len(body), err)
			}
		}
	}
}

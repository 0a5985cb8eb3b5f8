package httproute

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// rawCaller is a caller that controls each byte of its connection.
type rawCaller struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// dialRaw connects to a server. The connection ends with the test or after ten seconds.
func dialRaw(t *testing.T, address string) *rawCaller {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return &rawCaller{TCPConn: c.(*net.TCPConn), t: t, reader: bufio.NewReader(c)}
}

func (c *rawCaller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// response reads one response. The error is that of its head or of its body.
func (c *rawCaller) response() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(content), err
}

// requestText returns a request as it is sent.
func requestText(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nId: %s\r\nKey: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, testHost, id, testKey, len(body), body)
}

func addressOf(s *httptest.Server) string { return s.Listener.Addr().String() }

// Guards against a request that ends because its connection carries more bytes: a second request, or an empty line.
func TestMoreBytesDoNotEndARequest(t *testing.T) {
	for _, path := range []string{"/read/1", "/order/1", "/draft/1", "/chat/1"} {
		seen, proceed := make(chan struct{}, 2), make(chan struct{}, 2)
		s := startFakeServer(t, func(c net.Conn, r *http.Request) bool {
			seen <- struct{}{}
			<-proceed
			if strings.HasPrefix(path, "/read") || strings.HasPrefix(path, "/order") {
				return respond(c, r, http.StatusOK, r.Header.Get("Id"))
			}
			writeHead(c, r)
			event := "id: 0\ndata: " + r.Header.Get("Id") + "\n\n"
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			writeEnd(c)
			return true
		})
		f, front := newTestFront(t, s)
		configure(f)
		c := dialRaw(t, addressOf(front))
		c.send(requestText("POST", path, "id-1", "x"))
		<-seen
		c.send("\r\n" + requestText("POST", path, "id-2", "x"))
		for _, id := range []string{"id-1", "id-2"} {
			proceed <- struct{}{}
			if status, body, err := c.response(); err != nil || status != http.StatusOK || !strings.Contains(body, id) {
				t.Errorf("%s, %s: %d %q, %v", path, id, status, body, err)
			}
		}
	}
}

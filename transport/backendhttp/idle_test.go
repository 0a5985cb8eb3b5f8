package backendhttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

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
	s := serve(t, func(c net.Conn, next func() *http.Request) {
		next()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 8\r\n\r\nhalf")
		next() // until the client closes
	})
	a, err := client().Do(t.Context(), s.address, get("1"), matchID("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	a.resp.Body = closedBody{a.resp.Body, a.conn}
	a.SetIdleTimeout(time.Millisecond, func() bool { return true })
	if n, err := a.Read(make([]byte, 8)); n != 0 || !errors.Is(err, ErrIdleTimeout) {
		t.Errorf("%d bytes, %v", n, err)
	}
}

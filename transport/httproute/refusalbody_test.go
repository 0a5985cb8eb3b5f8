package httproute

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// relayDelay is the delay of a far region, each way.
const relayDelay = 80 * time.Millisecond

// startRelay passes connections on to a server with a delay each way. It passes on a FIN as a FIN and a reset as a reset.
func startRelay(t *testing.T, server string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", server)
			if err != nil {
				_ = near.Close()
				continue
			}
			go passOn(near.(*net.TCPConn), far.(*net.TCPConn))
			go passOn(far.(*net.TCPConn), near.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// relayed is what was read from a connection.
type relayed struct {
	part []byte
	err  error
	due  time.Time
}

func passOn(from, to *net.TCPConn) {
	queue := make(chan relayed, 64)
	go func() {
		for {
			part := make([]byte, 32<<10)
			n, err := from.Read(part)
			queue <- relayed{part[:n], err, time.Now().Add(relayDelay)}
			if err != nil {
				return
			}
		}
	}()
	for next := range queue {
		time.Sleep(time.Until(next.due))
		if _, err := to.Write(next.part); err != nil {
			_ = from.SetLinger(0)
			time.AfterFunc(relayDelay, func() { _ = from.Close() })
		}
		switch {
		case errors.Is(next.err, io.EOF):
			_ = to.CloseWrite()
			return
		case next.err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// refusedUpload is a request with a body that a front refuses without reading it, or before it has read all.
type refusedUpload struct {
	name, path, key string
	status          int
	prepare         func(f *Front)
}

var refusedUploads = []refusedUpload{
	{"unknown key", "/order/1", "another", http.StatusUnauthorized, func(*Front) {}},
	{"no route", "/elsewhere/1", testKey, http.StatusNotFound, func(*Front) {}},
	{"too large", "/order/1", testKey, http.StatusRequestEntityTooLarge, func(*Front) {}},
	{"no memory", "/order/1", testKey, http.StatusServiceUnavailable, func(f *Front) { f.Memory = NewBudget(100) }},
	{"stopping", "/order/1", testKey, http.StatusServiceUnavailable, func(f *Front) { f.Stopping = func() bool { return true } }},
}

// upload is how a caller sends a body.
type upload struct {
	parts, part int // number and size
	gap         time.Duration
	chunked     bool
	header      string
}

func (u *upload) head(path, key string) string {
	framing := fmt.Sprintf("Content-Length: %d", u.parts*u.part)
	if u.chunked {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nId: id-1\r\nKey: %s\r\n%s%s\r\n\r\n", path, testHost, key, u.header, framing)
}

// send sends a request like a caller that reads nothing before its body has been sent.
func (u *upload) send(c net.Conn, path, key string) error {
	if _, err := io.WriteString(c, u.head(path, key)); err != nil {
		return err
	}
	part := strings.Repeat("x", u.part)
	if u.chunked {
		part = fmt.Sprintf("%x\r\n%s\r\n", u.part, part)
	}
	for range u.parts {
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
		time.Sleep(u.gap)
	}
	if !u.chunked {
		return nil
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// Guards against a connection that is reset while its caller sends a body, so that the caller loses the refusal.
func TestRefusalReachesCallerThatIsSending(t *testing.T) {
	uploads := map[string]upload{
		"slow":          {parts: 8, part: 12 << 10, gap: 100 * time.Millisecond},
		"slow, closing": {parts: 8, part: 12 << 10, gap: 100 * time.Millisecond, header: "Connection: close\r\n"},
		"long":          {parts: 30, part: 100 << 10, gap: 25 * time.Millisecond},
		"long, closing": {parts: 30, part: 100 << 10, gap: 25 * time.Millisecond, header: "Connection: close\r\n"},
		"long, chunked": {parts: 30, part: 100 << 10, gap: 25 * time.Millisecond, chunked: true},
	}
	for _, refused := range refusedUploads {
		for how, u := range uploads {
			checkUploadRefused(t, how, refused, u, false, false)
		}
	}
	for how, u := range uploads {
		checkUploadRefused(t, how+", leaving", refusedUploads[0], u, true, false)
		checkUploadRefused(t, how+", leaving, far", refusedUploads[0], u, true, true)
	}
}

// checkUploadRefused checks that a caller sends its whole body and gets its refusal.
func checkUploadRefused(t *testing.T, how string, refused refusedUpload, u upload, leaving, far bool) {
	t.Run(refused.name+": "+how, func(t *testing.T) {
		t.Parallel()
		f, front := newTestFront(t)
		configure(f)
		refused.prepare(f)
		f.Leaving = func() bool { return leaving }
		address := addressOf(front)
		if far {
			address = startRelay(t, address)
		}
		c := dialRaw(t, address)
		if err := u.send(c, refused.path, refused.key); err != nil {
			t.Errorf("the caller could not send its body: %v", err)
		}
		if status, _, err := c.response(); err != nil || status != refused.status {
			t.Errorf("%d, %v, want %d", status, err, refused.status)
		}
	})
}

// Guards against a refusal that is held back until its caller has sent the whole body, and against a connection that cannot
// be used after it.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, http.StatusOK, "ok") })
	f, front := newTestFront(t, s)
	configure(f)
	c := dialRaw(t, addressOf(front))
	u := upload{parts: 2, part: 50 << 10}
	half := strings.Repeat("x", u.part)
	c.send(u.head("/order/1", "another") + half)
	if status, _, err := c.response(); err != nil || status != http.StatusUnauthorized {
		t.Fatalf("%d, %v", status, err)
	}
	c.send(half + requestText("GET", "/read/1", "id-2", ""))
	if status, body, err := c.response(); err != nil || status != http.StatusOK || body != "ok" {
		t.Errorf("the next request on the connection: %d %q, %v", status, body, err)
	}
}

// Guards against a caller that is asked for its body after the refusal, because the rest of the body is read.
func TestRefusedCallerIsNotAskedForItsBody(t *testing.T) {
	f, front := newTestFront(t)
	configure(f)
	c := dialRaw(t, addressOf(front))
	u := upload{parts: 1, part: 50 << 10, header: "Expect: 100-continue\r\n"}
	c.send(u.head("/order/1", "another"))
	if status, _, err := c.response(); err != nil || status != http.StatusUnauthorized {
		t.Fatalf("%d, %v", status, err)
	}
	c.closeSending()
	if rest, err := io.ReadAll(c.reader); len(rest) > 0 || err != nil {
		t.Errorf("after the refusal: %q, %v", rest, err)
	}
}

// oneConn is a listener that accepts one connection.
type oneConn chan net.Conn

func (l oneConn) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l oneConn) Close() error { return nil }

func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a connection that stays open for the body of a refused request, and against the rest of such a body that is
// taken for a request.
func TestRestOfRefusedBodyIsBounded(t *testing.T) {
	s := startFakeServer(t, func(c net.Conn, r *http.Request) bool { return respond(c, r, http.StatusOK, "ok") })
	f, _ := newTestFront(t, s)
	configure(f)
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		l := make(oneConn, 1)
		l <- far
		server := &http.Server{Handler: f}
		go func() { _ = server.Serve(l) }()
		defer func() {
			close(l)
			_ = server.Close()
		}()
		u := upload{parts: 1, part: 100 << 10}
		began := time.Now()
		if _, err := io.WriteString(near, u.head("/order/1", "another")); err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(near)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != http.StatusUnauthorized {
			t.Fatalf("%v, %v", resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(maxDiscardTime, func() { _, _ = io.WriteString(near, requestText("GET", "/read/1", "hidden", "")) })
		rest, err := io.ReadAll(reader)
		if len(rest) > 0 || err != nil || time.Since(began) > maxDiscardTime {
			t.Errorf("after %s: %q, %v", time.Since(began), rest, err)
		}
	})
	if s.hasSeen("hidden") {
		t.Error("the rest of a body ran as a request")
	}
}

package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/backendhttp"
)

// invalidHeads are formats of responses with an invalid head, for a body and its length.
var invalidHeads = map[string]string{
	"status 000":             "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %[2]d\r\n\r\n%[1]s",
	"status 600":             "HTTP/1.1 600 Trouble\r\nContent-Type: application/json\r\nContent-Length: %[2]d\r\n\r\n%[1]s",
	"blank in a name":        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nA B: x\r\nContent-Length: %[2]d\r\n\r\n%[1]s",
	"control byte in a name": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nA\x01B: x\r\nContent-Length: %[2]d\r\n\r\n%[1]s",
	"blank before the colon": "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding : chunked\r\n\r\n%[2]x\r\n%[1]s\r\n0\r\n\r\n",
}

// startRaw starts a server that responds to each request with the same bytes, and counts the requests.
func startRaw(t *testing.T, raw string) (address string, arrivals *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	arrivals = new(atomic.Int32)
	respond := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		arrivals.Add(1)
		_, _ = io.WriteString(c, raw)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go respond(c)
		}
	}()
	return "http://" + l.Addr().String(), arrivals
}

// Guards against a response with an invalid head that is taken for the answer of a backend server, and against a request that
// is sent again after one or counts as not run.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	load, err := (&engineapi.Load{BootID: "b"}).MarshalJSON()
	if err != nil {
		t.Fatal(err)
	}
	type call struct {
		body string
		do   func(ctx context.Context, c *Client, address string) error
	}
	for name, tc := range map[string]call{
		"load": {string(load), func(ctx context.Context, c *Client, address string) error {
			_, err := c.EngineLoad(ctx, address, time.Now())
			return err
		}},
		"cache events": {"[]", func(ctx context.Context, c *Client, address string) error {
			_, err := c.CacheEvents(ctx, address, 0)
			return err
		}},
		"operation": {`{"id":"x"}`, func(ctx context.Context, c *Client, address string) error {
			answer, err := c.Run(ctx, address, purchaseOrder("x"))
			if err == nil {
				t.Logf("answer %q", answer)
			} else if state := refusal.FromError(err).RunState; state != refusal.RunUnknown {
				t.Errorf("operation: run state %v", state)
			}
			return err
		}},
		"generation": {string(encodeFrames(makeFrames("1", 1))), func(ctx context.Context, c *Client, address string) error {
			next := int64(0)
			return c.Generate(ctx, address, Generation{RequestID: "1", Attempt: 1}, &next, &StreamStats{}, func(*frame.Frame) error {
				t.Error("generation: a frame was passed on")
				return nil
			})
		}},
	} {
		for form, format := range invalidHeads {
			address, arrivals := startRaw(t, fmt.Sprintf(format, tc.body, len(tc.body)))
			c := New()
			err := tc.do(t.Context(), c, address)
			if n := arrivals.Load(); err == nil || n != 1 {
				t.Errorf("%s, %s: %d requests, %v", name, form, n, err)
			}
			if name == "load" && !errors.Is(err, backendhttp.ErrMalformed) {
				t.Errorf("%s, %s: %v, want a malformed response", name, form, err)
			}
			c.Close()
		}
	}
}

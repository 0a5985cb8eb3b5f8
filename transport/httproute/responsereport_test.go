package httproute

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"
)

func endCount(t *testing.T, f *Front, sender, framing, end string) int {
	t.Helper()
	var out dto.Metric
	if err := f.Metrics.responseEnds.WithLabelValues("svc", sender, framing, end).Write(&out); err != nil {
		t.Fatal(err)
	}
	return int(out.GetCounter().GetValue())
}

// Guards against an operator who can't see for which responses an instance took the end of the connection for their end.
func TestEndsOfResponsesAreCountedAndLogged(t *testing.T) {
	const plain, stream = "HTTP/1.1 200 OK\r\nId: id-1\r\n", "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Type: text/event-stream\r\n"
	const event = "id: 1\ndata: a\n\n"
	for _, tc := range []struct{ name, path, answer, framing, end, line string }{
		{"length", "/order/1", plain + "Content-Length: 2\r\n\r\nok", "length", "whole", ""},
		{"short of its length", "/order/1", plain + "Content-Length: 3\r\n\r\nok", "length", "partial", ""},
		{"chunks", "/order/1", plain + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "chunks", "whole", ""},
		{"chunks without an end", "/chat/1", stream + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + event + "\r\n", "chunks", "partial", ""},
		{"connection", "/order/1", plain + "\r\nok", "connection", "whole", `"verdict":"whole","status":200,"bytes":2,"events":0`},
		{"stream", "/chat/1", stream + "\r\n" + event, "connection", "whole", `"verdict":"whole","status":200,"bytes":15,"events":1`},
		{"stream that ends within an event", "/chat/1", stream + "\r\n" + event + "id", "connection", "partial",
			`"verdict":"partial","status":200,"bytes":17,"events":1,"error":"the response ends within an event"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := startFakeServer(t, func(c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, tc.answer)
				return false
			})
			f, front := newTestFront(t, s)
			configure(f)
			var log lockedBuffer
			f.Local.Log = slog.New(slog.NewJSONHandler(&log, nil))
			_, _, _ = call(t, t.Context(), front, "POST", tc.path, "b") // some end in an error
			if n := endCount(t, f, senderServer, tc.framing, tc.end); n != 1 {
				t.Errorf("%d responses counted as %s, %s", n, tc.framing, tc.end)
			}
			line := log.String()
			if logged := strings.Contains(line, "response_ended_with_connection"); logged != (tc.line != "") || !strings.Contains(line, tc.line) {
				t.Errorf("log %q, want %q", line, tc.line)
			}
		})
	}
}

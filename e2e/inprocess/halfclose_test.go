package inprocess

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// sendHalfClosed sends a request, closes the sending side once it is at the engine, and returns
// everything that comes back.
func (f *testFleet) sendHalfClosed(id, body string) string {
	f.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url(id), "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	defer conn.Close()
	started := f.engine().Stats().Started
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", f.key, len(body), body)
	if err != nil {
		f.t.Fatal(err)
	}
	f.await("the generation", func() bool { return f.engine().Stats().Started > started })
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		f.t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		f.t.Error(err)
	}
	return string(answer)
}

// Guards against a connection that is cut without an answer, a refusal or the event that the
// response is incomplete, because its caller has closed only its sending side.
func TestHalfClosedCallerIsAnswered(t *testing.T) {
	f := startFleet(t)
	for _, id := range []string{"fraser-a-1-entry-1", "fraser-a-2-entry-1"} {
		for _, streamed := range []bool{true, false} {
			answer := f.sendHalfClosed(id, prompt(1000, streamed))
			t.Logf("%s, streamed %t: %.60q ... %q", id, streamed, answer, answer[max(0, len(answer)-160):])
			complete := strings.Contains(answer, "[DONE]") || strings.Contains(answer, completeText(1000))
			explicit := strings.Contains(answer, "event: incomplete") || strings.Contains(answer, `"run":`)
			if !complete && !explicit {
				t.Errorf("%s, streamed %t: ends with %q", id, streamed, answer[max(0, len(answer)-200):])
			}
		}
	}
}

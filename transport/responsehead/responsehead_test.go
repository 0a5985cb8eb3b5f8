package responsehead

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

const (
	testHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: 5f0c2a9e7d314b8a\r\n" +
		"X-Server: i-8f7e16e0\r\nCache-Control: no-store\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\nKeep-Alive: timeout=5\r\n\r\n"
	testBuffer = 4 << 10
)

// Guards against a check that takes bytes of the head or of the body, whatever the pieces in which they arrive.
func TestCheckTakesNothing(t *testing.T) {
	const sent = testHead + "body"
	for name, r := range map[string]io.Reader{
		"whole": strings.NewReader(sent), "by the byte": iotest.OneByteReader(strings.NewReader(sent)),
	} {
		reader := bufio.NewReaderSize(r, testBuffer)
		if err := Check(reader); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if left, err := io.ReadAll(reader); err != nil || string(left) != sent {
			t.Errorf("%s: %q, %v", name, left, err)
		}
	}
}

// Guards against an invalid line that is noticed only when the rest of the head arrives, which may be never.
func TestInvalidLineIsNoticedAtOnce(t *testing.T) {
	for _, sent := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nA B: x\r\n", "\r\n"} {
		unreadable := iotest.ErrReader(errors.New("read on"))
		if err := Check(bufio.NewReader(io.MultiReader(strings.NewReader(sent), unreadable))); !errors.Is(err, ErrInvalid) {
			t.Errorf("%q: %v", sent, err)
		}
	}
}

// Guards against a head that is cut off or too large and passes for a valid or an invalid one.
func TestIncompleteHead(t *testing.T) {
	for _, tc := range []struct {
		sent string
		want error
	}{
		{"", io.ErrUnexpectedEOF},
		{"HTTP/1.1 2", io.ErrUnexpectedEOF},
		{strings.TrimSuffix(testHead, "\r\n"), io.ErrUnexpectedEOF},
		{strings.TrimSuffix(testHead, "\r\n") + "A: " + strings.Repeat("b", testBuffer), bufio.ErrBufferFull},
	} {
		if err := Check(bufio.NewReaderSize(strings.NewReader(tc.sent), testBuffer)); !errors.Is(err, tc.want) || errors.Is(err, ErrInvalid) {
			t.Errorf("%.40q: %v, want %v", tc.sent, err, tc.want)
		}
	}
}

// BenchmarkHead compares a check with the parsing that follows it.
func BenchmarkHead(b *testing.B) {
	source := strings.NewReader(testHead)
	reader := bufio.NewReaderSize(source, testBuffer)
	for name, run := range map[string]func() error{
		"check": func() error { return Check(reader) },
		"parse": func() error {
			_, err := http.ReadResponse(reader, nil)
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				source.Reset(testHead)
				reader.Reset(source)
				if err := run(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

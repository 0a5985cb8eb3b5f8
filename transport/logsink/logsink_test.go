package logsink

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is an output whose writes block until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

// The standard output is not read. Logging must not block, the memory must stay bounded, and
// once the output is read again the number of dropped lines must be logged.
func TestBlockedOutputDropsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		s := New(out)
		log := slog.New(slog.NewJSONHandler(s, nil))
		start := time.Now()
		for range 20_000 {
			log.Info("request_refused", "request", "0123456789abcdef", "reason", "quota")
			time.Sleep(time.Microsecond)
		}
		if took := time.Since(start); took > 21*time.Millisecond {
			t.Errorf("logging took %s of virtual time", took)
		}
		if s.Dropped() == 0 {
			t.Error("nothing was dropped")
		}
		close(out.release)
		synctest.Wait()
		time.Sleep(time.Second)
		log.Info("after")
		time.Sleep(time.Second)
		s.Close()
		got := out.String()
		if !strings.Contains(got, `"log_lines_dropped","count":`) || !strings.Contains(got, `"after"`) || len(got) > 3*bufferBytes {
			t.Errorf("%d bytes were written, want at most %d, with a report and the last line", len(got), 3*bufferBytes)
		}
	})
}

// Without overload every line is written, in order.
func TestLinesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		s := New(&out)
		for i := range 100 {
			_, _ = io.WriteString(s, strings.Repeat("x", i)+"\n")
		}
		time.Sleep(time.Second)
		s.Close()
		lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
		for i, line := range lines {
			if len(line) != i {
				t.Fatalf("line %d has %d characters", i, len(line))
			}
		}
		if len(lines) != 100 || s.Dropped() != 0 {
			t.Errorf("%d lines, %d dropped", len(lines), s.Dropped())
		}
	})
}

// BenchmarkWrite measures the cost of a line for the goroutine that logs it.
func BenchmarkWrite(b *testing.B) {
	log := slog.New(slog.NewJSONHandler(New(io.Discard), nil))
	b.ReportAllocs()
	for b.Loop() {
		log.Info("request_refused", "request", "0123456789abcdef", "reason", "quota", "ms", 12)
	}
}

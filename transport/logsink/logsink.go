// Package logsink writes log lines without blocking the goroutines that log. Lines go to a
// bounded buffer, which a separate goroutine writes to the output. When the reader of the
// output is slow or gone, lines are dropped and counted, and the count is logged once the
// output is read again; a request never waits for its log lines.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the buffered lines: some seconds of an instance's usual volume, and
	// 1/200 of its memory.
	bufferBytes = 1 << 20
	// flushDelay is how long lines are collected for one write: a system call per line would be
	// most of the cost of logging.
	flushDelay = 50 * time.Millisecond
)

// Sink is an io.Writer for a slog handler.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu              sync.Mutex
	pending         []byte
	unreportedDrops int64 // dropped since the last report
	wake            chan struct{}
	done            chan struct{}
	stopped         chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), stopped: make(chan struct{})}
	go s.run()
	return s
}

// Write buffers one line, or drops it if the buffer is full. It never fails and never waits
// for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.pending)+len(line) > bufferBytes {
		s.unreportedDrops++
		s.dropped.Add(1)
	} else {
		s.pending = append(s.pending, line...)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) takePending(spare []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pending
	s.pending = spare[:0]
	if s.unreportedDrops > 0 {
		out = fmt.Appendf(out, "{\"level\":\"WARN\",\"msg\":\"log_lines_dropped\",\"count\":%d}\n", s.unreportedDrops)
		s.unreportedDrops = 0
	}
	return out
}

func (s *Sink) run() {
	defer close(s.stopped)
	var spare []byte
	for {
		select {
		case <-s.wake:
		case <-s.done:
			_, _ = s.out.Write(s.takePending(nil)) // the process is ending, so an error cannot be reported
			return
		}
		select {
		case <-time.After(flushDelay):
		case <-s.done:
		}
		lines := s.takePending(spare)
		_, _ = s.out.Write(lines) // an error of the log output cannot be logged
		spare = lines
	}
}

// closeTimeout bounds the wait in Close for an output that is not read.
const closeTimeout = 200 * time.Millisecond

// Close writes the buffered lines. It waits at most closeTimeout.
func (s *Sink) Close() {
	close(s.done)
	select {
	case <-s.stopped:
	case <-time.After(closeTimeout):
	}
}

// Package logsink writes log lines without ever holding up who logs. Lines go into a
// bounded buffer that a goroutine of its own writes out. When the reader of the
// output is slow or gone, lines are dropped, counted, and reported once it reads
// again; a request never waits for them.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the lines that wait: some seconds of an instance's usual
	// volume, and one part in two hundred of its memory.
	bufferBytes = 1 << 20
	// gather is how long lines are collected for one write: a system call a line
	// would be most of the cost of logging.
	gather = 50 * time.Millisecond
)

// Sink is an io.Writer for a slog handler.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	mu      sync.Mutex
	pending []byte
	lost    int64 // dropped since the last report
	wake    chan struct{}
	done    chan struct{}
	ended   chan struct{}
}

// New returns a sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never fails and never waits for the output.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if len(s.pending)+len(line) > bufferBytes {
		s.lost++
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

func (s *Sink) take(spare []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.pending
	s.pending = spare[:0]
	if s.lost > 0 {
		out = fmt.Appendf(out, "{\"level\":\"WARN\",\"msg\":\"log_lines_dropped\",\"count\":%d}\n", s.lost)
		s.lost = 0
	}
	return out
}

func (s *Sink) run() {
	defer close(s.ended)
	var spare []byte
	for {
		select {
		case <-s.wake:
		case <-s.done:
			_, _ = s.out.Write(s.take(nil)) // nobody is left to tell of a failure
			return
		}
		select {
		case <-time.After(gather):
		case <-s.done:
		}
		lines := s.take(spare)
		_, _ = s.out.Write(lines) // a failure of the log cannot be logged
		spare = lines
	}
}

// closeLimit bounds the wait for an output that nobody reads.
const closeLimit = 200 * time.Millisecond

// Close writes what waits.
func (s *Sink) Close() {
	close(s.done)
	select {
	case <-s.ended:
	case <-time.After(closeLimit):
	}
}

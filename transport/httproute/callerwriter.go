package httproute

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/basilroute/basilroute/transport/backendhttp"
)

// Load pattern: callers that read more slowly than their servers generate. A server ends a response
// that remains unread for some seconds, and until then the request keeps its slot. What such a caller
// has not read is therefore held here, within a limit for each response and one for all; beyond these
// the instance stops reading from the server.

const (
	// maxUnread bounds what one response holds for its caller, some hundred events, beside the part that
	// is being written, which is no longer.
	maxUnread = 64 << 10
	// writeChunk is how much is written at a time.
	writeChunk = 4 << 10
	// callerWriteTimeout is how long one chunk may take. A caller that reads less than that has stopped.
	callerWriteTimeout = 10 * time.Second
)

// callerWriter writes a response to a caller in the background. Its methods are called by the
// request's goroutine only. No other use of the ResponseWriter is allowed between start and close.
type callerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	budget  *Budget
	stopped chan struct{} // closed when the goroutine has ended; nil before start

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte
	taken   int // bytes of the budget for what is pending
	closing bool
	err     error // of the caller's connection
}

func newCallerWriter(w http.ResponseWriter, budget *Budget) *callerWriter {
	c := &callerWriter{w: w, control: http.NewResponseController(w), budget: budget}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// write passes on a part of the response. It waits while the caller has too much unread, and meanwhile
// pauses the idle timeout of the server, from which nothing is read then. It returns the error of the
// caller's connection, or that of ctx if that ends before the part is accepted.
func (c *callerWriter) write(ctx context.Context, part []byte, server *backendhttp.Response) error {
	c.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && !c.accepts(len(part)) {
		defer server.PauseIdleTimer()()
		if err := c.awaitRoom(ctx, len(part)); err != nil {
			return err
		}
	}
	if c.err != nil {
		return c.err
	}
	c.pending = append(c.pending, part...)
	c.changed.Broadcast()
	return nil
}

// awaitRoom waits until n more bytes are accepted or the caller's connection has failed. The caller
// holds the lock.
func (c *callerWriter) awaitRoom(ctx context.Context, n int) error {
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	defer stop()
	for c.err == nil && !c.accepts(n) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.changed.Wait()
	}
	return nil
}

// accepts reports whether n more bytes may be held, and takes them from the budget. A caller that has
// nothing unread is always given the next part. The caller holds the lock.
func (c *callerWriter) accepts(n int) bool {
	if len(c.pending) == 0 {
		return true
	}
	if len(c.pending)+n > maxUnread || !c.budget.Take(n) {
		return false
	}
	c.taken += n
	return true
}

// start starts the goroutine that writes, once.
func (c *callerWriter) start() {
	if c.stopped != nil {
		return
	}
	c.stopped = make(chan struct{})
	go c.run()
}

func (c *callerWriter) run() {
	defer close(c.stopped)
	defer func() { _ = c.control.SetWriteDeadline(time.Time{}) }() // fails only on a connection that has failed
	var part []byte
	for {
		var taken int
		if part, taken = c.next(part); len(part) == 0 {
			return
		}
		err := writeChunks(c.w, c.control, part)
		if err == nil {
			err = c.control.Flush()
		}
		c.budget.Release(taken)
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// next waits for the next part of the response, which is empty after the last one, and returns how
// much of the budget it has taken. spare is a buffer that may be used again.
func (c *callerWriter) next(spare []byte) (part []byte, taken int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 && !c.closing {
		c.changed.Wait()
	}
	part, taken = c.pending, c.taken
	c.pending, c.taken = spare[:0], 0
	c.changed.Broadcast()
	return part, taken
}

// fail records that the caller's connection has failed, and drops what it has not read.
func (c *callerWriter) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Release(c.taken)
	c.err, c.pending, c.taken = err, nil, 0
	c.changed.Broadcast()
}

// close waits until the caller has read all, or has stopped reading.
func (c *callerWriter) close() {
	if c.stopped == nil {
		return
	}
	c.mu.Lock()
	c.closing = true
	c.changed.Broadcast()
	c.mu.Unlock()
	<-c.stopped
}

// writeChunks writes a part of a response in chunks, each within callerWriteTimeout. It leaves the
// connection's write deadline set.
func writeChunks(w http.ResponseWriter, control *http.ResponseController, part []byte) error {
	for len(part) > 0 {
		chunk := part[:min(len(part), writeChunk)]
		part = part[len(chunk):]
		_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)) // not supported by writers of tests
		if _, err := w.Write(chunk); err != nil {
			return err
		}
	}
	return nil
}

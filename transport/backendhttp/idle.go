package backendhttp

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// IdleCheck decides whether to close the connection of a response from which no data has arrived for its idle timeout.
// stillIdle reports whether none has arrived since.
type IdleCheck func(stillIdle func() bool) bool

// idleWatch watches a response for data, and asks whether to close its connection when none arrives.
type idleWatch struct {
	mu          sync.Mutex
	timeout     time.Duration
	shouldAbort IdleCheck
	timer       *time.Timer // nil until a timeout is set
	due         time.Time   // before it the timeout has not passed
	paused      bool        // the instance itself does not read
	ended       bool        // nothing is read any more
	asking      bool        // shouldAbort runs
	timedOut    bool        // the connection was closed by the idle timeout
	activity    int         // number of times that data arrived
	heardAt     time.Time   // when data last arrived; at first when the request was sent
}

// SetIdleTimeout sets the idle timeout of the response. Whenever no data has arrived for d, shouldAbort is asked, in a
// goroutine of its own, whether to close the connection. If it returns true and no data has arrived meanwhile, reads
// fail with ErrIdleTimeout.
func (a *Response) SetIdleTimeout(d time.Duration, shouldAbort IdleCheck) {
	w := &a.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout, w.shouldAbort = d, shouldAbort
	if w.timer == nil {
		w.due = time.Now().Add(d)
		w.timer = time.AfterFunc(d, a.checkIdle)
		return
	}
	w.restart()
}

// SetIdleCheck replaces the function that is asked, and keeps the timeout. With nil the response is waited for until the
// context ends.
func (a *Response) SetIdleCheck(shouldAbort IdleCheck) {
	w := &a.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shouldAbort = shouldAbort
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.restart()
}

// restart starts the idle timeout anew. The caller holds the lock.
func (w *idleWatch) restart() {
	if w.timer != nil && w.shouldAbort != nil && !w.paused && !w.ended && !w.asking {
		w.due = time.Now().Add(w.timeout)
		w.timer.Reset(w.timeout)
	}
}

// checkIdle runs when the idle timeout has passed. It may run late, after the timeout was started anew.
func (a *Response) checkIdle() {
	w := &a.watch
	w.mu.Lock()
	before, shouldAbort := w.activity, w.shouldAbort
	if shouldAbort == nil || w.paused || w.ended || time.Now().Before(w.due) {
		w.mu.Unlock()
		return
	}
	if a.conn.unread() { // the instance was held up, and will read it
		w.restart()
		w.mu.Unlock()
		return
	}
	w.asking = true
	w.mu.Unlock()
	abort := shouldAbort(func() bool { return w.stillIdle(before) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asking = false
	// The caller may have received more of the response by now.
	if !abort || w.activity != before || w.ended {
		w.restart()
		return
	}
	w.timedOut = true
	_ = a.conn.Close() // unblocks the pending read
}

// stillIdle reports whether no data has arrived since a count of activity.
func (w *idleWatch) stillIdle(activity int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.activity == activity && !w.ended
}

// PauseIdleTimer stops the idle timeout while the instance itself does not read. The returned function
// starts it anew.
func (a *Response) PauseIdleTimer() (resume func()) {
	w := &a.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.paused = false
		w.restart()
	}
}

// ResetIdleTimer restarts the idle timeout. It returns false if the connection has been
// closed by the idle timeout.
func (a *Response) ResetIdleTimer() bool {
	w := &a.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.activity++
	w.heardAt = time.Now()
	w.restart()
	return !w.timedOut
}

// heard returns when data last arrived for the request, or when it was sent.
func (a *Response) heard() time.Time {
	a.watch.mu.Lock()
	defer a.watch.mu.Unlock()
	return a.watch.heardAt
}

// endIdleWatch ends the idle timeout for good.
func (a *Response) endIdleWatch() {
	w := &a.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// markIdleTimeout marks the error of a read with ErrIdleTimeout if the idle timeout closed
// the connection.
func (a *Response) markIdleTimeout(err error) error {
	a.endIdleWatch()
	a.watch.mu.Lock()
	defer a.watch.mu.Unlock()
	if a.watch.timedOut {
		return errors.Mark(err, ErrIdleTimeout)
	}
	return err
}

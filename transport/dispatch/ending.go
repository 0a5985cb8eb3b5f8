package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
)

// Ending is the end of an instance that leaves and cancels what is in flight after a time. The zero value
// and nil are those of an instance that stays, or that waits for all requests. It is safe for concurrent use.
type Ending struct {
	at atomic.Pointer[time.Time]
}

// Begin sets the time at which the instance ends.
func (e *Ending) Begin(at time.Time) { e.at.Store(&at) }

// check returns the refusal of work that has not begun and that the instance may cancel before its end.
func (e *Ending) check(w *Work) *refusal.Refusal {
	if e == nil {
		return nil
	}
	if at := e.at.Load(); at == nil || !w.Deadline.After(*at) {
		return nil
	}
	return refusal.New(refusal.CodeLeaving, "this instance stops").WithRetryAfter(leavingRetry)
}

// leavingRetry is the time after which a refused caller may send its request to another instance.
const leavingRetry = time.Second

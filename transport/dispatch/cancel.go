package dispatch

import "time"

// CancelWait bounds how long the end of a request waits until its cancel is confirmed. The
// caller is told only after that, and a stopping instance closes connections a second after it
// has cancelled what is in flight: a silent engine or peer would cost the caller the reason.
const CancelWait = 250 * time.Millisecond

// RunFor runs f in the background and returns when f has ended, at the latest after d.
func RunFor(d time.Duration, f func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f()
	}()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
}

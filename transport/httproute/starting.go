package httproute

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/state/routes"
)

// An instance that has just started has no configuration, backend servers or other
// regions yet; it receives them within some tenths of a second. Callers whose requests
// were cut off when its predecessor exited retry at once and have no attempt left after
// that one. If they were refused, their requests would be lost although servers are idle,
// so requests wait until the instance has this state or is no longer starting.
const (
	// maxStartWait is the maximum wait. Reading from the store in another region takes
	// three round trips, including the connection setup.
	maxStartWait = 700 * time.Millisecond
	// startWaitFraction is the maximum fraction of the time until its deadline that a
	// request may wait.
	startWaitFraction = 0.25
	startPollInterval = 10 * time.Millisecond
)

// awaitConfig returns the configuration in force, or nil if none arrived in time.
func (f *Front) awaitConfig(ctx context.Context) *routes.Config {
	config := f.Routes.Current()
	f.pollWhileStarting(ctx, maxStartWait, func() bool {
		config = f.Routes.Current()
		return config != nil
	})
	return config
}

// awaitServer waits until a local server or another region may accept the request.
func (f *Front) awaitServer(ctx context.Context, r *request) {
	limit := min(maxStartWait, time.Duration(startWaitFraction*float64(r.deadline.Sub(r.arrived))))
	f.pollWhileStarting(ctx, limit-time.Since(r.arrived), func() bool { return f.hasAlternative(r, &r.work, nil) })
}

// pollWhileStarting waits until ready returns true, at most for the limit and only while
// the instance is starting.
func (f *Front) pollWhileStarting(ctx context.Context, limit time.Duration, ready func() bool) {
	deadline := time.Now().Add(limit)
	for !ready() && f.Starting() && time.Now().Before(deadline) {
		timer := time.NewTimer(startPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

package httproute

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/state/routes"
)

// An instance that has just started knows neither the configuration nor the backend
// servers nor the other regions; it learns them within some tenths of a second. Callers
// whose requests were cut by the end of its predecessor come back at once and have no
// attempt left after this one. Refused, they are lost beside idle servers; so their
// requests wait until the instance knows, or no longer starts.
const (
	// startWait is the longest such wait: the store in another region takes three ways
	// there and back, with the connection.
	startWait = 700 * time.Millisecond
	// startShare is the part of the time to its deadline that a request may wait so.
	startShare = 0.25
	startPoll  = 10 * time.Millisecond
)

// awaitConfig returns the configuration in force, nil when none came in time.
func (f *Front) awaitConfig(ctx context.Context) *routes.Config {
	config := f.Routes.Current()
	f.whileStarting(ctx, startWait, func() bool {
		config = f.Routes.Current()
		return config != nil
	})
	return config
}

// awaitPlace waits until a server here or another region may take the request.
func (f *Front) awaitPlace(ctx context.Context, r *request) {
	limit := min(startWait, time.Duration(startShare*float64(r.deadline.Sub(r.arrived))))
	f.whileStarting(ctx, limit-time.Since(r.arrived), func() bool { return f.elsewhere(r, &r.work, nil) })
}

// whileStarting waits until known says so, for as long as the instance starts, up to a limit.
func (f *Front) whileStarting(ctx context.Context, limit time.Duration, known func() bool) {
	ends := time.Now().Add(limit)
	for !known() && f.Starting() && time.Now().Before(ends) {
		timer := time.NewTimer(startPoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

package instance

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	// leaveAnnouncePeriod is how long a leaving instance continues to listen, so that peers
	// and callers learn of it before connections are refused.
	leaveAnnouncePeriod = 2 * time.Second
	// lastCallersPeriod is how long the callers that were queued when the listener closed have to be answered.
	lastCallersPeriod = 300 * time.Millisecond
	// cancelNotifyTimeout is how long cancelled requests have to notify their callers.
	cancelNotifyTimeout = time.Second
)

// Stop shuts the instance down gracefully: it announces that it is leaving, refuses new
// work and what waits and may not end before stop.limit, lets requests in flight finish, and ends. When ctx or stop.limit ends before that,
// it cancels the remaining requests with an error to their callers, and returns an error.
func (i *Instance) Stop(ctx context.Context) error {
	i.leaving.Store(true)
	i.metrics.Callers().Leave()
	if limit := i.settings.Stop.Limit; limit > 0 {
		i.ending.Begin(time.Now().Add(limit))
	}
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) { m.State = peerpb.MemberState_MEMBER_STATE_LEAVING })
	i.slots.machine.Leave()
	callersDone, peersDone := i.requests.Close(), i.forwarded.Close()
	i.exchangeAll(ctx)
	if i.settings.Stop.Limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, i.settings.Stop.Limit)
		defer cancel()
	}
	i.log.Info("stopping", "in_flight", i.requests.Count(), "forwarded", i.forwarded.Count())
	err := errors.CombineErrors(wait(ctx, callersDone), wait(ctx, peersDone))
	i.returnLoans(ctx)
	if err == nil {
		_ = wait(ctx, time.After(leaveAnnouncePeriod))
		err = i.shutdown(ctx)
	} else {
		i.cancelInFlight(callersDone, peersDone)
	}
	callers := i.metrics.Callers().Stop()
	i.log.Info("stopped", slog.Group("requests", callers.Attrs()...))
	i.Kill()
	return errors.Wrap(err, "requests in flight were cancelled")
}

// shutdown ends the listeners, after it has accepted the callers that are queued, when the last byte of every response has been sent. A request
// leaves the tables before its caller has read all of it: without this, a slow reader would
// lose the end of a response that an engine had finished.
func (i *Instance) shutdown(ctx context.Context) error {
	if i.listeners.queue != nil {
		i.listeners.queue.Drain(ctx)
		_ = wait(ctx, time.After(lastCallersPeriod)) // Shutdown answers no request that it finds unanswered
	}
	err := i.callers.Shutdown(ctx)
	abort := context.AfterFunc(ctx, i.peers.Stop)
	defer abort()
	i.peers.GracefulStop()
	return err
}

// cancelInFlight cancels the requests in flight, so that callers get an explicit error and
// not a broken connection.
func (i *Instance) cancelInFlight(drainedChannels ...<-chan struct{}) {
	reason := refusal.New(refusal.CodeLeaving, "this instance stops").WithRunState(refusal.RunUnknown)
	i.log.Warn("cancelling requests in flight", "in_flight", i.requests.Count(), "forwarded", i.forwarded.Count())
	i.requests.CancelAll(reason)
	i.forwarded.CancelAll(reason)
	ctx, cancel := context.WithTimeout(context.Background(), cancelNotifyTimeout)
	defer cancel()
	for _, drained := range drainedChannels {
		_ = wait(ctx, drained)
	}
	_ = i.callers.Shutdown(ctx)
}

// closeWhenLeaving asks callers to close their keep-alive connections after the next
// response. Idle connections stay open until the end, since closing one just as a request
// arrives would leave its caller without a response.
func (i *Instance) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func wait[T any](ctx context.Context, c <-chan T) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	// announceFor is how long a leaving instance goes on listening, so that peers
	// and callers hear of it before connections are refused.
	announceFor = 2 * time.Second
	// cutFor is how long requests that were cut have to tell their callers.
	cutFor = time.Second
)

// Stop is the planned stop: the instance says that it is leaving, refuses new
// work, lets what is in flight finish, and ends. When ctx or stop.limit ends
// before that, it cuts what is left, tells the callers so, and returns an error.
func (i *Instance) Stop(ctx context.Context) error {
	i.leaving.Store(true)
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) { m.State = peerpb.MemberState_MEMBER_STATE_LEAVING })
	i.slots.machine.Leave()
	own, others := i.requests.Close(), i.forwarded.Close()
	i.exchangeAll(ctx)
	if i.settings.Stop.Limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, i.settings.Stop.Limit)
		defer cancel()
	}
	i.log.Info("stopping", "in_flight", i.requests.Count(), "forwarded", i.forwarded.Count())
	err := errors.CombineErrors(wait(ctx, own), wait(ctx, others))
	i.returnLoans(ctx)
	if err == nil {
		_ = wait(ctx, time.After(announceFor))
		err = i.shutdown(ctx)
	} else {
		i.cut(own, others)
	}
	i.Kill()
	return errors.Wrap(err, "requests were cut")
}

// shutdown ends the listeners when the last byte of every answer is out. A
// request is off the tables before its caller has read all of it: without this
// a slow reader would lose the end of an answer that an engine had finished.
func (i *Instance) shutdown(ctx context.Context) error {
	err := i.callers.Shutdown(ctx)
	abort := context.AfterFunc(ctx, i.peers.Stop)
	defer abort()
	i.peers.GracefulStop()
	return err
}

// cut ends the requests in flight, so that callers get an explicit end and not
// a broken connection.
func (i *Instance) cut(tables ...<-chan struct{}) {
	reason := refusal.New(refusal.CodeLeaving, "this instance stops").WithRun(refusal.Unknown)
	i.log.Warn("cutting requests", "in_flight", i.requests.Count(), "forwarded", i.forwarded.Count())
	i.requests.CancelAll(reason)
	i.forwarded.CancelAll(reason)
	ctx, cancel := context.WithTimeout(context.Background(), cutFor)
	defer cancel()
	for _, drained := range tables {
		_ = wait(ctx, drained)
	}
	_ = i.callers.Shutdown(ctx)
}

// closeWhenLeaving asks callers to leave their kept-alive connections with the
// next answer. Idle connections stay open until the end, since closing one just
// as a request comes in would leave its caller without an answer.
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

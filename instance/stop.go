package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// announceFor is how long a leaving instance goes on listening, so that peers
// and callers hear of it before connections are refused.
const announceFor = 2 * time.Second

// Stop is the planned stop: the instance says that it is leaving, refuses new
// work, lets what is in flight finish, and ends. The error says what was cut.
func (i *Instance) Stop(ctx context.Context) error {
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
	}
	i.Kill()
	return errors.Wrap(err, "requests were cut")
}

func wait[T any](ctx context.Context, c <-chan T) error {
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

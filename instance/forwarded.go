package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

const (
	lagWait = 2 * time.Second // for the configuration that the first instance has
	lagPoll = 20 * time.Millisecond
)

// checkForwarded checks the key of a forwarded request again, because the first
// instance may be the one that has not heard of its withdrawal. A key that is
// not known here may be new: the request then waits for the configuration that
// the first instance had in force.
func (i *Instance) checkForwarded(ctx context.Context, w *dispatch.Work) *refusal.Refusal {
	deadline := time.After(lagWait)
	for {
		known := i.config.Revision() // before the key is looked up, which may come into force in between
		if i.catalog.Usable(w.KeyID) {
			return nil
		}
		if i.catalog.IsWithdrawn(w.KeyID) {
			return refusal.New(refusal.CodeWithdrawn, "the key was withdrawn")
		}
		if w.ConfigRevision <= known {
			return refusal.New(refusal.CodeUnauthorized, "the key is not known")
		}
		select {
		case <-time.After(lagPoll):
		case <-deadline:
			return refusal.New(refusal.CodePeerUnreachable, "the peer does not have the configuration yet")
		case <-ctx.Done():
			return refusal.From(context.Cause(ctx)).WithRun(refusal.NotRun)
		}
	}
}

// cutBy returns the reason for which a forwarded request was cut in place of the
// error that the cut caused. Without it, when the withdrawal of a key arrives here
// before it arrives at the first instance, the caller hears of a broken server,
// and the first instance tries the request again on another.
func cutBy(ctx context.Context, err error) error {
	var reason *refusal.Refusal
	if err != nil && errors.As(context.Cause(ctx), &reason) {
		return reason
	}
	return err
}

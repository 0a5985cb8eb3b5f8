package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

const (
	configLagTimeout      = 2 * time.Second // for the configuration that the forwarding instance has
	configLagPollInterval = 20 * time.Millisecond
)

// checkForwarded checks the key of a forwarded request again, because the forwarding
// instance may not know yet that it was withdrawn. A key that is unknown on this instance
// may be new: the request then waits for the configuration that the forwarding instance had
// in force.
func (i *Instance) checkForwarded(ctx context.Context, w *dispatch.Work) *refusal.Refusal {
	deadline := time.After(configLagTimeout)
	for {
		known := i.config.Revision() // read before the key is looked up: the key may come into force in between
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
		case <-time.After(configLagPollInterval):
		case <-deadline:
			return refusal.New(refusal.CodePeerUnreachable, "the peer does not have the configuration yet")
		case <-ctx.Done():
			return refusal.FromError(context.Cause(ctx)).WithRunState(refusal.NotRun)
		}
	}
}

// cancelReasonOr returns the reason for which a forwarded request was cancelled in place of
// the error that the cancellation caused. Without it, when the withdrawal of a key reaches
// this instance before the forwarding one, the caller would get the error of a broken
// server, and the forwarding instance would retry the request on another server. The run state
// is that of the error: an order that was cancelled in a queue may be sent elsewhere.
func cancelReasonOr(ctx context.Context, err error) error {
	var reason *refusal.Refusal
	if err != nil && errors.As(context.Cause(ctx), &reason) {
		return reason.WithRunState(refusal.FromError(err).RunState)
	}
	return err
}

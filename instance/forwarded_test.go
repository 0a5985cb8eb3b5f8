package instance

import (
	"context"
	"testing"

	"github.com/basilroute/basilroute/protocol/refusal"
)

// Guards against an order that is not sent to another instance, because the one that stopped
// while the order waited there did not say that it had not run.
func TestCancelReasonKeepsTheRunState(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(refusal.New(refusal.CodeLeaving, "this instance stops").WithRunState(refusal.RunUnknown))
	for _, run := range []refusal.RunState{refusal.NotRun, refusal.RunUnknown, refusal.Ran} {
		err := cancelReasonOr(ctx, refusal.New(refusal.CodeDeadline, "ended").WithRunState(run))
		if r := refusal.FromError(err); r.Code != refusal.CodeLeaving || r.RunState != run {
			t.Errorf("%s: %v", run, err)
		}
	}
	if err := cancelReasonOr(ctx, nil); err != nil {
		t.Error(err)
	}
}

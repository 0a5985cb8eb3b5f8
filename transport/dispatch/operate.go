package dispatch

import (
	"context"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
	"github.com/basilroute/basilroute/transport/claim"
)

// operate runs an operation on one server. A non-repeatable operation with an idempotency
// key is claimed first. The claim is made here and not at the instance that the caller is
// connected to, so that a request refused on the way costs the store no write.
func (l *LocalDispatcher) operate(ctx context.Context, w *Work, server servers.Server, sink Sink) error {
	held, err := l.claim(ctx, w)
	if err != nil {
		return err
	}
	answer, err := l.Backend.Run(ctx, server.Address, backend.Operation{
		Name: w.Operation.Name, RequestID: w.RequestID, Account: w.Account, Via: w.Via,
		IdempotencyKey: w.Operation.IdempotencyKey, Body: w.Operation.Body,
	})
	if held != nil {
		held.Finish(runState(err))
	}
	if err != nil {
		l.connectionFailed(ctx, w, server, false, err)
		return err
	}
	return sink.Answer(server.ID, answer)
}

// claim returns nil if the operation needs no claim, because it may be repeated or its
// caller sent no key. Without a key it is dispatched once, but a caller that sends it
// again requests another run.
func (l *LocalDispatcher) claim(ctx context.Context, w *Work) (*claim.Handle, error) {
	svc := l.Catalog.Service(w.Service)
	if w.Operation.IdempotencyKey == "" || l.Claims == nil || (svc != nil && !w.Claimed(svc)) {
		return nil, nil
	}
	return l.Claims.Claim(ctx, claimRequest(w))
}

// standingClaim returns the refusal of work whose peer was lost as a duplicate of the request that has claimed its key, or nil.
func (l *LocalDispatcher) standingClaim(ctx context.Context, w *Work) *refusal.Refusal {
	if l.Claims == nil {
		return nil
	}
	return l.Claims.Standing(ctx, claimRequest(w))
}

func claimRequest(w *Work) claim.Request {
	return claim.Request{
		Key: w.Operation.IdempotencyKey, Account: w.Account, Service: w.Service,
		Operation: w.Operation.Name, Body: w.Operation.Body, RequestID: w.RequestID,
	}
}

func runState(err error) refusal.RunState {
	if err == nil {
		return refusal.Ran
	}
	return refusal.FromError(err).RunState
}

package dispatch

import (
	"context"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
	"github.com/basilroute/basilroute/transport/claim"
)

// operate runs an operation on one server. One that may not be repeated and
// carries an idempotency key is claimed first, here and not where the caller
// is served, so that a request refused on its way costs the store no write.
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
		held.Finish(runOf(err))
	}
	if err != nil {
		l.failed(ctx, w, server, err)
		return err
	}
	return sink.Answer(server.ID, answer)
}

// claim returns nil when the operation needs no claim: it may be repeated, or
// its caller sent no key. Without a key it is dispatched once, but the caller
// who sends it again asks for another run.
func (l *LocalDispatcher) claim(ctx context.Context, w *Work) (*claim.Handle, error) {
	svc := l.Catalog.Service(w.Service)
	if w.Operation.IdempotencyKey == "" || l.Claims == nil || (svc != nil && w.Repeatable(svc)) {
		return nil, nil
	}
	return l.Claims.Claim(ctx, claim.Request{
		Key: w.Operation.IdempotencyKey, Account: w.Account, Service: w.Service,
		Operation: w.Operation.Name, Body: w.Operation.Body, RequestID: w.RequestID,
	})
}

func runOf(err error) refusal.Run {
	if err == nil {
		return refusal.Ran
	}
	return refusal.From(err).Run
}

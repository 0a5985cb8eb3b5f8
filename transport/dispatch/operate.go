package dispatch

import (
	"context"

	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
)

func (l *Local) operate(ctx context.Context, w *Work, server servers.Server, sink Sink) error {
	answer, err := l.Backend.Run(ctx, server.Address, backend.Operation{
		Name: w.Operation.Name, RequestID: w.RequestID, Account: w.Account, Via: w.Via, Body: w.Operation.Body,
	})
	if err != nil {
		l.failed(ctx, w, server, err)
		return err
	}
	return sink.Answer(server.ID, answer)
}

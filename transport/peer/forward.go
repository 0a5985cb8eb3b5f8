package peer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// Forward implements dispatch.Forwarder.
func (p *Pool) Forward(ctx context.Context, address string, w *dispatch.Work, sink dispatch.Sink) error {
	client, err := p.Get(address)
	if err != nil {
		return refusal.New(refusal.CodePeerUnreachable, "%v", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := encodeWork(w)
	req.ConfigRevision = p.Revision()
	stream, err := client.Forward(ctx, req)
	if err != nil {
		return broken(err, false)
	}
	started := false
	for {
		f, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return broken(err, started)
		}
		started = true
		if err := deliver(f, w, sink); err != nil {
			return err
		}
	}
}

// broken is what an error of the connection becomes. Unavailable before any
// frame may mean that the peer never got the request, or that it did and died:
// grpc does not tell, so the run state is unknown.
func broken(err error, started bool) *refusal.Refusal {
	r := refusal.New(refusal.CodePeerUnreachable, "peer: %v", status.Convert(err).Message())
	if status.Code(err) == codes.Unavailable && !started {
		return r.WithRun(refusal.Unknown)
	}
	return r.WithRun(refusal.Unknown)
}

func deliver(f *peerpb.ForwardFrame, w *dispatch.Work, sink dispatch.Sink) error {
	if f.GetRequestId() != w.RequestID || int(f.GetAttempt()) != w.Attempt {
		return nil // a frame of another request never reaches the caller
	}
	switch part := f.GetPart().(type) {
	case *peerpb.ForwardFrame_Refusal:
		return refusal.FromProto(part.Refusal)
	case *peerpb.ForwardFrame_Body:
		return sink.Answer(f.GetServer(), part.Body)
	case *peerpb.ForwardFrame_Tokens:
		return sink.Frame(f.GetServer(), &frame.Frame{
			RequestID: f.GetRequestId(), Attempt: int(f.GetAttempt()), Seq: f.GetSeq(),
			Text: part.Tokens.GetText(), Tokens: int(part.Tokens.GetCount()), Finish: part.Tokens.GetFinish(),
			PromptTokens: int(part.Tokens.GetPromptTokens()), CachedTokens: int(part.Tokens.GetCachedTokens()),
		})
	}
	return nil
}

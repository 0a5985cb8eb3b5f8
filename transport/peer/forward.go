package peer

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/status"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// cancelWait is how long a peer has to end a cancelled stream by itself.
const cancelWait = time.Second

// Forward implements dispatch.Forwarder.
func (p *Pool) Forward(ctx context.Context, address string, w *dispatch.Work, sink dispatch.Sink) error {
	client, err := p.Get(address)
	if err != nil {
		return refusal.New(refusal.CodePeerUnreachable, "%v", err)
	}
	streamCtx, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	req := encodeWork(w)
	req.ConfigRevision = p.Revision()
	stream, err := client.Forward(streamCtx, req)
	if err != nil {
		return broken(err)
	}
	// A peer cannot tell a cancelled stream from a broken connection, and only a
	// cancelled one may end the generation. So the peer is told, and the stream
	// is cut only afterwards.
	stop := context.AfterFunc(ctx, func() {
		defer cut()
		told, done := context.WithTimeout(streamCtx, cancelWait)
		defer done()
		_, _ = client.Cancel(told, cancelRequest(w, ""))
	})
	defer stop()
	return receive(stream, w, sink)
}

// receiver is the receiving side of a forwarded request.
type receiver interface {
	Recv() (*peerpb.ForwardFrame, error)
}

// receive hands an answer on until it is whole. A stream that ends before that
// is broken, also when it ends without an error.
func receive(stream receiver, w *dispatch.Work, sink dispatch.Sink) error {
	answer := &answer{work: w, sink: sink}
	if w.Generation != nil {
		answer.next = w.Generation.FromSeq
	}
	for !answer.whole {
		f, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return unreachable("the peer ended the stream before the answer was whole")
		}
		if err != nil {
			return broken(err)
		}
		if err := answer.take(f); err != nil {
			return err
		}
	}
	return nil
}

// broken is what an error of the connection becomes. Unavailable may mean that
// the peer never got the request, or that it did and died: grpc does not tell,
// so the run state is unknown.
func broken(err error) *refusal.Refusal {
	return unreachable(status.Convert(err).Message())
}

func unreachable(message string) *refusal.Refusal {
	return refusal.New(refusal.CodePeerUnreachable, "peer: %s", message).WithRun(refusal.Unknown)
}

// answer checks the frames of one forwarded request.
type answer struct {
	work  *dispatch.Work
	sink  dispatch.Sink
	next  int64 // sequence of the frame that is wanted
	whole bool
}

func (a *answer) take(f *peerpb.ForwardFrame) error {
	if f.GetRequestId() != a.work.RequestID || int(f.GetAttempt()) != a.work.Attempt {
		return nil // a frame of another request never reaches the caller
	}
	switch part := f.GetPart().(type) {
	case *peerpb.ForwardFrame_Refusal:
		return refusal.FromProto(part.Refusal)
	case *peerpb.ForwardFrame_Body:
		if a.work.Operation == nil {
			return unreachable("a body in a generation's stream")
		}
		a.whole = true
		return a.sink.Answer(f.GetServer(), part.Body)
	case *peerpb.ForwardFrame_Tokens:
		return a.tokens(f, part.Tokens)
	}
	return nil
}

// tokens drops a repeated frame. A gap means that frames were lost, and the
// rest of the stream would not be the whole answer.
func (a *answer) tokens(f *peerpb.ForwardFrame, part *peerpb.Tokens) error {
	switch {
	case a.work.Generation == nil:
		return unreachable("tokens in an operation's stream")
	case f.GetSeq() < a.next:
		return nil
	case f.GetSeq() > a.next:
		return unreachable("frames are missing")
	}
	a.next++
	a.whole = part.GetFinish() != ""
	return a.sink.Frame(f.GetServer(), &frame.Frame{
		RequestID: f.GetRequestId(), Attempt: int(f.GetAttempt()), Seq: f.GetSeq(),
		Text: part.GetText(), Tokens: int(part.GetCount()), Finish: part.GetFinish(),
		PromptTokens: int(part.GetPromptTokens()), CachedTokens: int(part.GetCachedTokens()),
	})
}

func cancelRequest(w *dispatch.Work, server string) *peerpb.CancelRequest {
	return &peerpb.CancelRequest{RequestId: w.RequestID, Attempt: uint32(w.Attempt), Service: w.Service, Server: server}
}

// Cancel implements dispatch.Forwarding.
func (p *Pool) Cancel(ctx context.Context, address string, w *dispatch.Work, server string) error {
	client, err := p.Get(address)
	if err != nil {
		return err
	}
	_, err = client.Cancel(ctx, cancelRequest(w, server))
	return errors.Wrapf(err, "cancel at peer %s", address)
}

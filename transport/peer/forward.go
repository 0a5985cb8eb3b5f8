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

// cancelTimeout is how long a peer has to answer a cancel. The stream is closed earlier if the
// peer is silent, see dispatch.CancelWait.
const cancelTimeout = time.Second

// Forward implements dispatch.Forwarder.
func (p *Pool) Forward(ctx context.Context, address string, w *dispatch.Work, sink dispatch.Sink) error {
	client, err := p.Get(address)
	if err != nil {
		return refusal.New(refusal.CodePeerUnreachable, "%v", err)
	}
	streamCtx, closeStream := context.WithCancel(context.WithoutCancel(ctx))
	defer closeStream()
	req := encodeWork(w)
	req.ConfigRevision = p.Revision()
	stream, err := client.Forward(streamCtx, req)
	if err != nil {
		return streamRefusal(err)
	}
	// A peer cannot distinguish a cancelled stream from a broken connection, and only a
	// cancelled one may end the generation. So Cancel is called first, and the stream is
	// closed afterwards.
	stop := context.AfterFunc(ctx, func() {
		defer closeStream()
		dispatch.RunFor(dispatch.CancelWait, func() {
			cancelCtx, done := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
			defer done()
			_, _ = client.Cancel(cancelCtx, cancelRequest(w, ""))
		})
	})
	defer stop()
	return receive(stream, w, sink)
}

// receiver is the receiving side of a forwarded request.
type receiver interface {
	Recv() (*peerpb.ForwardFrame, error)
}

// receive passes the frames of a response to the sink until it is complete. A stream that ends
// earlier is broken, even if it ends without an error.
func receive(stream receiver, w *dispatch.Work, sink dispatch.Sink) error {
	checker := &responseChecker{work: w, sink: sink}
	if w.Generation != nil {
		checker.nextSeq = w.Generation.FromSeq
	}
	for !checker.complete {
		f, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return unreachableRefusal("the peer ended the stream before the answer was whole")
		}
		if err != nil {
			return streamRefusal(err)
		}
		if err := checker.accept(f); err != nil {
			return err
		}
	}
	return nil
}

// streamRefusal converts a connection error to a refusal. Unavailable may mean that the peer
// never got the request, or that it got it and then crashed: grpc does not distinguish them,
// so the run state is unknown.
func streamRefusal(err error) *refusal.Refusal {
	return unreachableRefusal(status.Convert(err).Message())
}

func unreachableRefusal(message string) *refusal.Refusal {
	return refusal.New(refusal.CodePeerUnreachable, "peer: %s", message).WithRunState(refusal.RunUnknown)
}

// responseChecker checks the frames of one forwarded request and passes them to the sink.
type responseChecker struct {
	work     *dispatch.Work
	sink     dispatch.Sink
	nextSeq  int64 // sequence number of the next frame
	complete bool
}

func (a *responseChecker) accept(f *peerpb.ForwardFrame) error {
	if f.GetRequestId() != a.work.RequestID || int(f.GetAttempt()) != a.work.Attempt {
		return nil // a frame of another request must never reach the caller
	}
	switch part := f.GetPart().(type) {
	case *peerpb.ForwardFrame_Refusal:
		return refusal.FromProto(part.Refusal)
	case *peerpb.ForwardFrame_Body:
		if a.work.Operation == nil {
			return unreachableRefusal("a body in a generation's stream")
		}
		a.complete = true
		return a.sink.Answer(f.GetServer(), part.Body)
	case *peerpb.ForwardFrame_Tokens:
		return a.acceptTokens(f, part.Tokens)
	}
	return nil
}

// acceptTokens drops a duplicate frame. A gap means that frames were lost, so that the
// response could not be complete.
func (a *responseChecker) acceptTokens(f *peerpb.ForwardFrame, part *peerpb.Tokens) error {
	switch {
	case a.work.Generation == nil:
		return unreachableRefusal("tokens in an operation's stream")
	case f.GetSeq() < a.nextSeq:
		return nil
	case f.GetSeq() > a.nextSeq:
		return unreachableRefusal("frames are missing")
	}
	a.nextSeq++
	a.complete = part.GetFinish() != ""
	return a.sink.Frame(f.GetServer(), &frame.Frame{
		RequestID: f.GetRequestId(), Attempt: int(f.GetAttempt()), Seq: f.GetSeq(),
		Text: part.GetText(), Tokens: int(part.GetCount()), Finish: part.GetFinish(),
		PromptTokens: int(part.GetPromptTokens()), CachedTokens: int(part.GetCachedTokens()),
	})
}

func cancelRequest(w *dispatch.Work, server string) *peerpb.CancelRequest {
	return &peerpb.CancelRequest{RequestId: w.RequestID, Attempt: uint32(w.Attempt), Service: w.Service, Server: server}
}

// Cancel implements dispatch.CancelingForwarder.
func (p *Pool) Cancel(ctx context.Context, address string, w *dispatch.Work, server string) error {
	client, err := p.Get(address)
	if err != nil {
		return err
	}
	_, err = client.Cancel(ctx, cancelRequest(w, server))
	return errors.Wrapf(err, "cancel at peer %s", address)
}

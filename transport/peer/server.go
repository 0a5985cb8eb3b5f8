package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// Runner runs forwarded work in the own failure domain.
type Runner interface {
	RunForwarded(ctx context.Context, w *dispatch.Work, sink dispatch.Sink) error
}

// Exchanger answers membership exchanges.
type Exchanger interface {
	Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse
}

// Server implements peerpb.PeerServer.
type Server struct {
	peerpb.UnimplementedPeerServer
	Runner    Runner
	Exchanger Exchanger
	Quota     Quota
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.Exchanger.Exchange(req), nil
}

// Forward implements peerpb.PeerServer.
func (s *Server) Forward(req *peerpb.ForwardRequest, stream grpc.ServerStreamingServer[peerpb.ForwardFrame]) error {
	if req.GetHop() != routing.MaxHops {
		return status.Errorf(codes.InvalidArgument, "hop %d: a forwarded request has made exactly %d", req.GetHop(), routing.MaxHops)
	}
	if req.GetWork() == nil {
		return status.Error(codes.InvalidArgument, "no work")
	}
	w := decodeWork(req)
	ctx, cancel := context.WithDeadline(stream.Context(), w.Deadline)
	defer cancel()
	out := &streamSink{stream: stream, work: w}
	err := s.Runner.RunForwarded(ctx, w, out)
	if err == nil || out.failed {
		return nil
	}
	return stream.Send(out.wrap("", &peerpb.ForwardFrame_Refusal{Refusal: refusal.From(err).ToProto()}))
}

// streamSink sends an answer to the first instance.
type streamSink struct {
	stream grpc.ServerStreamingServer[peerpb.ForwardFrame]
	work   *dispatch.Work
	failed bool
}

func (s *streamSink) wrap(server string, part any) *peerpb.ForwardFrame {
	f := &peerpb.ForwardFrame{RequestId: s.work.RequestID, Attempt: uint32(s.work.Attempt), Server: server}
	switch part := part.(type) {
	case *peerpb.ForwardFrame_Refusal:
		f.Part = part
	case *peerpb.ForwardFrame_Body:
		f.Part = part
	case *peerpb.ForwardFrame_Tokens:
		f.Part = part
	}
	return f
}

func (s *streamSink) send(f *peerpb.ForwardFrame) error {
	err := s.stream.Send(f)
	s.failed = err != nil
	return err
}

// Frame implements dispatch.Sink.
func (s *streamSink) Frame(server string, f *frame.Frame) error {
	out := s.wrap(server, &peerpb.ForwardFrame_Tokens{Tokens: &peerpb.Tokens{
		Text: f.Text, Count: uint32(f.Tokens), Finish: f.Finish,
		PromptTokens: uint32(f.PromptTokens), CachedTokens: uint32(f.CachedTokens),
	}})
	out.Seq = f.Seq
	return s.send(out)
}

// Answer implements dispatch.Sink.
func (s *streamSink) Answer(server string, body []byte) error {
	return s.send(s.wrap(server, &peerpb.ForwardFrame_Body{Body: body}))
}

package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// Runner runs forwarded work in the local failure domain.
type Runner interface {
	RunForwarded(ctx context.Context, w *dispatch.Work, sink dispatch.Sink) error
	// CancelForwarded cancels a generation on a server of the local failure domain. It returns
	// false if the server is not known.
	CancelForwarded(service, server, requestID string) bool
}

// Exchanger handles membership exchanges.
type Exchanger interface {
	Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse
}

// Follower streams the updates of the store to peers.
type Follower interface {
	Follow(req *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowUpdate]) error
}

// Server implements peerpb.PeerServer.
type Server struct {
	peerpb.UnimplementedPeerServer
	Runner    Runner
	Exchanger Exchanger
	Quota     Quota
	Follower  Follower // may be nil

	running forwardTable
}

// minPingInterval is the shortest ping interval that is allowed to a peer. grpc's default of
// five minutes would close the connection, with all its streams, of a peer that pings as
// often as Pool does.
const minPingInterval = pingInterval / 2

// ServerOptions returns the options that a grpc server for peers needs.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ReadBufferSize(readBufferBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
}

// Exchange implements peerpb.PeerServer.
func (s *Server) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.Exchanger.Exchange(req), nil
}

// Follow implements peerpb.PeerServer.
func (s *Server) Follow(req *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowUpdate]) error {
	if s.Follower == nil {
		return status.Error(codes.Unimplemented, "this instance is not followed")
	}
	return s.Follower.Follow(req, stream)
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
	ctx, cancel := context.WithDeadline(context.WithoutCancel(stream.Context()), w.Deadline)
	defer cancel()
	ctx, cancelRun := context.WithCancelCause(ctx)
	defer cancelRun(nil)
	detach := func() { cancelRun(dispatch.ErrDetached) }
	out := &streamSink{stream: stream, work: w, detach: detach}
	forwarded, refused := s.running.begin(ctx, w, cancelRun, time.Now())
	if refused != nil {
		return stream.Send(out.newFrame("", &peerpb.ForwardFrame_Refusal{Refusal: refused.ToProto()}))
	}
	defer s.running.end(forwarded)
	stop := context.AfterFunc(stream.Context(), detach)
	defer stop()
	err := s.Runner.RunForwarded(ctx, w, out)
	if err == nil || out.failed {
		return nil
	}
	return stream.Send(out.newFrame("", &peerpb.ForwardFrame_Refusal{Refusal: refusal.FromError(err).ToProto()}))
}

// Cancel implements peerpb.PeerServer. A request that does not run on this instance may have
// been detached; its generation is then cancelled on its engine.
func (s *Server) Cancel(_ context.Context, req *peerpb.CancelRequest) (*peerpb.CancelResponse, error) {
	callerGone := refusal.New(refusal.CodeIncomplete, "the caller does not wait any more").WithRunState(refusal.RunUnknown)
	ended := s.running.cancel(req.GetRequestId(), int(req.GetAttempt()), callerGone)
	if ended || req.GetServer() == "" {
		return &peerpb.CancelResponse{}, nil
	}
	if !s.Runner.CancelForwarded(req.GetService(), req.GetServer(), req.GetRequestId()) {
		return nil, status.Errorf(codes.NotFound, "backend server %q is not known here", req.GetServer())
	}
	return &peerpb.CancelResponse{}, nil
}

// streamSink sends a response to the first instance.
type streamSink struct {
	stream grpc.ServerStreamingServer[peerpb.ForwardFrame]
	work   *dispatch.Work
	detach func() // detaches the run when the connection breaks
	failed bool
}

func (s *streamSink) newFrame(server string, part any) *peerpb.ForwardFrame {
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
	if err != nil {
		s.failed = true
		s.detach()
	}
	return err
}

// Frame implements dispatch.Sink.
func (s *streamSink) Frame(server string, f *frame.Frame) error {
	out := s.newFrame(server, &peerpb.ForwardFrame_Tokens{Tokens: &peerpb.Tokens{
		Text: f.Text, Count: uint32(f.Tokens), Finish: f.Finish,
		PromptTokens: uint32(f.PromptTokens), CachedTokens: uint32(f.CachedTokens),
	}})
	out.Seq = f.Seq
	return s.send(out)
}

// Answer implements dispatch.Sink.
func (s *streamSink) Answer(server string, body []byte) error {
	return s.send(s.newFrame(server, &peerpb.ForwardFrame_Body{Body: body}))
}

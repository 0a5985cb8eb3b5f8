// Package peer carries the protocol between instances over gRPC.
package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/dispatch"
)

const (
	pingAfter   = 10 * time.Second
	pingTimeout = 3 * time.Second
)

// Pool holds one connection to each peer.
type Pool struct {
	creds credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns a pool without connections.
func NewPool(creds credentials.TransportCredentials) *Pool {
	return &Pool{creds: creds, conns: make(map[string]*grpc.ClientConn)}
}

// Get returns a client for the peer at an address. It makes no call.
func (p *Pool) Get(address string) (peerpb.PeerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[address]
	if !ok {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(p.creds),
			grpc.WithDisableRetry(), // a forwarded request is retried by the first instance only
			grpc.WithDisableServiceConfig(),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingTimeout}))
		if err != nil {
			return nil, errors.Wrapf(err, "peer %s", address)
		}
		p.conns[address] = conn
	}
	return peerpb.NewPeerClient(conn), nil
}

// Close ends every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// Forward implements dispatch.Forwarder.
func (p *Pool) Forward(ctx context.Context, address string, w *dispatch.Work, sink dispatch.Sink) error {
	client, err := p.Get(address)
	if err != nil {
		return refusal.New(refusal.CodePeerUnreachable, "%v", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := client.Forward(ctx, encodeWork(w))
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

var classToProto = map[service.Class]peerpb.RequestClass{
	service.ClassInteractive: peerpb.RequestClass_REQUEST_CLASS_INTERACTIVE,
	service.ClassBulk:        peerpb.RequestClass_REQUEST_CLASS_BULK,
}

func encodeWork(w *dispatch.Work) *peerpb.ForwardRequest {
	req := &peerpb.ForwardRequest{
		RequestId: w.RequestID, Attempt: uint32(w.Attempt), Hop: uint32(w.Hop), Account: w.Account,
		KeyId: w.KeyID, HomeRegion: w.Home, Service: w.Service, Class: classToProto[w.Class],
		DeadlineMs: time.Until(w.Deadline).Milliseconds(), MaxWaitMs: w.MaxWait.Milliseconds(), Via: w.Via,
	}
	if w.Generation != nil {
		req.Work = &peerpb.ForwardRequest_Generation{Generation: &peerpb.Generation{
			Prompt: w.Generation.Prompt, MaxTokens: uint32(w.Generation.MaxTokens),
			FromSeq: w.Generation.FromSeq, Server: w.Generation.Server,
		}}
		return req
	}
	req.Work = &peerpb.ForwardRequest_Operation{Operation: &peerpb.Operation{
		Name: w.Operation.Name, Body: w.Operation.Body,
	}}
	return req
}

func decodeWork(req *peerpb.ForwardRequest) *dispatch.Work {
	w := &dispatch.Work{
		RequestID: req.GetRequestId(), Attempt: int(req.GetAttempt()), Hop: int(req.GetHop()),
		Account: req.GetAccount(), KeyID: req.GetKeyId(), Home: req.GetHomeRegion(), Service: req.GetService(),
		Class: service.ClassInteractive, Via: req.GetVia(),
		Deadline: time.Now().Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
		MaxWait:  time.Duration(req.GetMaxWaitMs()) * time.Millisecond,
	}
	if req.GetClass() == peerpb.RequestClass_REQUEST_CLASS_BULK {
		w.Class = service.ClassBulk
	}
	if g := req.GetGeneration(); g != nil {
		w.Generation = &dispatch.Generation{
			Prompt: g.GetPrompt(), MaxTokens: int(g.GetMaxTokens()), FromSeq: g.GetFromSeq(), Server: g.GetServer(),
		}
	}
	if o := req.GetOperation(); o != nil {
		w.Operation = &dispatch.Operation{Name: o.GetName(), Body: o.GetBody()}
	}
	return w
}

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

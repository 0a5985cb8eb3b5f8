package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
)

// runner counts the requests that it gets and runs each until its context ends.
type runner struct {
	mu        sync.Mutex
	runs      int
	started   chan struct{}
	causes    chan error
	cancelled chan string
}

func newRunner() *runner {
	return &runner{started: make(chan struct{}, 10), causes: make(chan error, 10), cancelled: make(chan string, 10)}
}

func (r *runner) RunForwarded(ctx context.Context, w *dispatch.Work, sink dispatch.Sink) error {
	r.mu.Lock()
	r.runs++
	r.mu.Unlock()
	if w.Generation != nil {
		_ = sink.Frame("engine", &frame.Frame{RequestID: w.RequestID, Attempt: w.Attempt, Seq: w.Generation.FromSeq, Tokens: 1})
	}
	r.started <- struct{}{}
	<-ctx.Done()
	r.causes <- context.Cause(ctx)
	return refusal.FromError(context.Cause(ctx))
}

func (r *runner) CancelForwarded(_, server, requestID string) bool {
	if server != "engine" {
		return false
	}
	r.cancelled <- server + "/" + requestID
	return true
}

func (r *runner) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs
}

// relay copies bytes between two connections until it is cut.
type relay struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener}
	t.Cleanup(r.cut)
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			r.mu.Lock()
			r.conns = append(r.conns, in, out)
			r.mu.Unlock()
			go func() { _, _ = io.Copy(in, out) }()
			go func() { _, _ = io.Copy(out, in) }()
		}
	}()
	return r
}

func (r *relay) cut() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func startServer(t *testing.T, r Runner) (address string) {
	return servePeer(t, &Server{Runner: r})
}

func servePeer(t *testing.T, p peerpb.PeerServer) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(ServerOptions()...)
	peerpb.RegisterPeerServer(server, p)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func newPool(t *testing.T) *Pool {
	pool := NewPool(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	return pool
}

// Guards against an order that grpc sends again after its connection broke.
func TestCutLinkIsNotResent(t *testing.T) {
	r := newRunner()
	link := newRelay(t, startServer(t, r))
	pool := newPool(t)
	failed := make(chan error, 1)
	go func() {
		failed <- pool.Forward(t.Context(), link.listener.Addr().String(), operationWork(), &recordingSink{})
	}()
	<-r.started
	link.cut()
	if err := <-failed; refusal.FromError(err).RunState != refusal.RunUnknown || refusal.FromError(err).Code != refusal.CodePeerUnreachable {
		t.Errorf("refused with %v", err)
	}
	<-r.causes
	if r.count() != 1 {
		t.Errorf("%d runs", r.count())
	}
}

// Guards against running an attempt twice that grpc has resent.
func TestSameAttemptRunsOnce(t *testing.T) {
	r := newRunner()
	address := startServer(t, r)
	pool := newPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = pool.Forward(ctx, address, operationWork(), &recordingSink{}) }()
	<-r.started
	err := pool.Forward(ctx, address, operationWork(), &recordingSink{})
	if got := refusal.FromError(err); got.Code != refusal.CodeConflict || got.RunState != refusal.RunUnknown {
		t.Errorf("refused with %v", err)
	}
	if r.count() != 1 {
		t.Errorf("%d runs", r.count())
	}
}

// Guards against a broken connection cancelling a generation that could be resumed.
func TestPeerTellsCancelFromCut(t *testing.T) {
	r := newRunner()
	link := newRelay(t, startServer(t, r))
	pool := newPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	forward := func(ctx context.Context, id string) {
		w := generationWork()
		w.RequestID = id
		ended <- pool.Forward(ctx, link.listener.Addr().String(), w, &recordingSink{})
	}
	go forward(ctx, "cancelled")
	<-r.started
	cancel()
	if cause := <-r.causes; refusal.FromError(cause).Code != refusal.CodeIncomplete {
		t.Errorf("a cancelled run ended by %v", cause)
	}
	<-ended
	go forward(t.Context(), "cut")
	<-r.started
	link.cut()
	if cause := <-r.causes; !errors.Is(cause, dispatch.ErrDetached) {
		t.Errorf("a cut run ended by %v", cause)
	}
	<-ended
}

// Guards against a generation that continues after a broken connection although its caller
// has gone.
func TestDetachedGenerationIsCancelled(t *testing.T) {
	r := newRunner()
	pool := newPool(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if err := pool.Cancel(ctx, startServer(t, r), generationWork(), "engine"); err != nil {
		t.Fatal(err)
	}
	if got := <-r.cancelled; got != "engine/own" {
		t.Errorf("cancelled %s", got)
	}
}

// Guards against a cancel that counts as done at a peer that does not know the engine, so that
// no other peer is asked.
func TestCancelFailsAtAPeerWithoutTheEngine(t *testing.T) {
	if err := newPool(t).Cancel(t.Context(), startServer(t, newRunner()), generationWork(), "another"); err == nil {
		t.Error("taken for done")
	}
}

// Guards against a cancel that is taken for done, and a generation that goes on although its
// caller has gone, because the run was detached just before.
func TestCancelOfADetachedRunIsNotTakenForDone(t *testing.T) {
	var table forwardTable
	for _, cause := range []error{nil, dispatch.ErrDetached} {
		ctx, cancel := context.WithCancelCause(t.Context())
		w := generationWork()
		w.RequestID = fmt.Sprint(cause)
		if _, refused := table.begin(ctx, w, cancel, time.Now()); refused != nil {
			t.Fatal(refused)
		}
		if cause != nil {
			cancel(cause)
		}
		if ended := table.cancel(w.RequestID, w.Attempt, errors.New("the caller has gone")); ended != (cause == nil) {
			t.Errorf("cancelled before by %v: taken for done %t", cause, ended)
		}
	}
}

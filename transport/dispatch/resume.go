package dispatch

import (
	"context"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
)

// CancelingForwarder is a Forwarder that can also cancel what it forwarded.
type CancelingForwarder interface {
	Forwarder
	// Cancel ends the work at its server, through any peer of that failure domain.
	Cancel(ctx context.Context, address string, w *Work, server string) error
}

// Resumer is a Forwarder that goes on with a broken stream through another peer
// of the same failure domain, on the same engine and from the next frame.
//
// Only the first instance resumes. It keeps the request id and the attempt, so
// the engine finds the running generation and nothing is charged or run twice.
type Resumer struct {
	Next CancelingForwarder
	// Peers returns the addresses of the live peers in the failure domain of
	// the peer at the address, that one last.
	Peers func(address string) []string
}

// Forward implements Forwarder.
func (r *Resumer) Forward(ctx context.Context, address string, w *Work, sink Sink) error {
	progress := &progress{Sink: sink}
	err := r.Next.Forward(ctx, address, w, progress)
	for n := 0; n < resumeLimit && r.resumable(ctx, err, progress); n++ {
		if !pause(ctx, resumeBackoff) {
			break
		}
		peers := r.Peers(address)
		if len(peers) == 0 {
			break
		}
		address = peers[0]
		err = r.Next.Forward(ctx, address, progress.rest(w), progress)
	}
	if err != nil && progress.next > 0 && !progress.whole {
		r.abandon(ctx, address, w, progress.server)
	}
	return err
}

// resumable tells whether the connection broke under a stream that the caller
// has seen a part of. Before that the first instance starts again elsewhere.
func (r *Resumer) resumable(ctx context.Context, err error, p *progress) bool {
	if err == nil || ctx.Err() != nil || p.next == 0 || p.whole || p.failed {
		return false
	}
	code := refusal.From(err).Code
	return code == refusal.CodePeerUnreachable || code == refusal.CodeLeaving
}

// abandon cancels a generation that nobody will read any more.
func (r *Resumer) abandon(ctx context.Context, address string, w *Work, server string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelDeadline)
	defer cancel()
	for _, peer := range append([]string{address}, r.Peers(address)...) {
		if r.Next.Cancel(ctx, peer, w, server) == nil {
			return
		}
	}
}

// progress notes how far an answer has come.
type progress struct {
	Sink
	server string
	next   int64
	whole  bool
	failed bool // the sink takes no more
}

// Frame implements Sink.
func (p *progress) Frame(server string, f *frame.Frame) error {
	p.server, p.next = server, f.Seq+1
	p.whole = f.Finish != ""
	err := p.Sink.Frame(server, f)
	p.failed = err != nil
	return err
}

// rest is the work that is still to come.
func (p *progress) rest(w *Work) *Work {
	next := *w
	generation := *w.Generation
	generation.FromSeq, generation.Server = p.next, p.server
	next.Generation = &generation
	return &next
}

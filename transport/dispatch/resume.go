package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/basilroute/basilroute/protocol/frame"
	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	maxResumeBackoff = 800 * time.Millisecond
	// resumeWindow bounds the time without progress after which a generation that its engine
	// may still run is given up. Instances restart within it.
	resumeWindow = 5 * time.Second
)

// CancelingForwarder is a Forwarder that can also cancel forwarded work.
type CancelingForwarder interface {
	Forwarder
	// Cancel cancels the work at its server, through any peer of that failure domain.
	Cancel(ctx context.Context, address string, w *Work, server string) error
}

// Resumer is a Forwarder that resumes an interrupted stream through another peer of the
// same failure domain, on the same engine and from the next frame.
//
// Only the first instance resumes. It keeps the request id and the attempt, so that the
// engine finds the running generation and nothing is charged or run twice.
type Resumer struct {
	Next CancelingForwarder
	// Peers returns the addresses of the live peers in a failure domain, with the peer at the
	// address last.
	Peers func(domain, address string) []string
}

// Forward implements Forwarder.
func (r *Resumer) Forward(ctx context.Context, address string, w *Work, sink Sink) error {
	progress := &progress{Sink: sink}
	err := r.Next.Forward(ctx, address, w, progress)
	tried := []string{address}
	pause := resumePause{next: progress.next, brokeAt: time.Now()}
	for r.resumable(ctx, err, progress) {
		wait, ok := pause.take(progress.next, time.Now())
		if !ok || !sleep(ctx, wait) {
			break
		}
		peers := r.Peers(w.domain, address)
		if len(peers) == 0 {
			break
		}
		address = leastRecent(peers, tried)
		tried = append(tried, address)
		err = r.Next.Forward(ctx, address, progress.remainingWork(w), progress)
	}
	if err == nil || progress.next == 0 || progress.complete {
		return err
	}
	cancel := func() { r.cancelGeneration(ctx, address, w, progress.server) }
	if ctx.Err() != nil || progress.sinkFailed {
		RunFor(CancelWait, cancel)
	} else {
		cancel() // a later cancel could reach the next attempt on the same engine
	}
	return err
}

// resumePause is the pause before each resume. It grows until the stream makes progress. The
// resumes are bounded by the time without progress and not by their number: a peer takes
// seconds to restart, and the connections of a long stream may break many times in all.
type resumePause struct {
	next    int64 // first frame that was missing at the last break
	brokeAt time.Time
	wait    time.Duration
}

// take returns the pause before the next resume, or false if the stream has made no progress
// for too long.
func (p *resumePause) take(next int64, now time.Time) (time.Duration, bool) {
	if next > p.next {
		*p = resumePause{next: next, brokeAt: now}
	}
	p.wait = min(max(2*p.wait, resumeBackoff), maxResumeBackoff)
	return p.wait, now.Add(p.wait).Sub(p.brokeAt) <= resumeWindow
}

// leastRecent returns the peer that was not tried for the longest time. Without it a stream
// alternates between two dead peers while a third one could resume it.
func leastRecent(peers, tried []string) string {
	lastTry := make(map[string]int, len(tried))
	for n, peer := range tried {
		lastTry[peer] = n + 1
	}
	return slices.MinFunc(peers, func(a, b string) int { return lastTry[a] - lastTry[b] })
}

// resumable reports whether the connection broke in the middle of a stream that the caller
// has received part of, or the peer cannot resume it now. Before the first frame the first
// instance can restart on another server instead.
func (r *Resumer) resumable(ctx context.Context, err error, p *progress) bool {
	if err == nil || ctx.Err() != nil || p.next == 0 || p.complete || p.sinkFailed {
		return false
	}
	switch refusal.FromError(err).Code {
	case refusal.CodePeerUnreachable, refusal.CodeLeaving, refusal.CodeNotReady:
		return true
	}
	return false
}

// cancelGeneration cancels a generation that will not be resumed.
func (r *Resumer) cancelGeneration(ctx context.Context, address string, w *Work, server string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelDeadline)
	defer cancel()
	for _, peer := range append([]string{address}, r.Peers(w.domain, address)...) {
		if r.Next.Cancel(ctx, peer, w, server) == nil {
			return
		}
	}
}

// progress tracks how far an answer has been received.
type progress struct {
	Sink
	server     string
	next       int64
	complete   bool
	sinkFailed bool // the sink returned an error
}

// Frame implements Sink.
func (p *progress) Frame(server string, f *frame.Frame) error {
	p.server, p.next = server, f.Seq+1
	p.complete = f.Finish != ""
	err := p.Sink.Frame(server, f)
	p.sinkFailed = err != nil
	return err
}

// remainingWork returns the work with the frames that are still to be received.
func (p *progress) remainingWork(w *Work) *Work {
	next := *w
	generation := *w.Generation
	generation.FromSeq, generation.Server = p.next, p.server
	next.Generation = &generation
	return &next
}

// Package httpidle ends HTTP calls that make no progress, and lets those go on whose
// answers arrive. A limit on the whole of a call has to guess how large an answer is and
// how wide the link: one that takes longer is begun anew for ever, and fills the link.
package httpidle

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrIdleTimeout is the error of a call from which nothing came for too long.
var ErrIdleTimeout = errors.New("no byte of the answer in time")

// MaxDuration bounds a call whose answer never ends.
const MaxDuration = 30 * time.Second

type limitsKey struct{}

type limits struct{ first, next time.Duration }

// WithTimeouts returns the context of a call that may be silent until its answer begins, first, and
// between two pieces of it, next. It holds for calls that a Transport makes.
func WithTimeouts(ctx context.Context, first, next time.Duration) context.Context {
	return context.WithValue(ctx, limitsKey{}, limits{first: first, next: next})
}

// Transport keeps to the limits of With.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	limit, ok := req.Context().Value(limitsKey{}).(limits)
	if !ok {
		return t.Next.RoundTrip(req)
	}
	ctx, end := context.WithTimeout(req.Context(), limit.first+MaxDuration)
	ctx, giveUp := context.WithCancelCause(ctx)
	silence := time.AfterFunc(limit.first, func() { giveUp(ErrIdleTimeout) })
	stop := func() {
		silence.Stop()
		end()
	}
	resp, err := t.Next.RoundTrip(req.WithContext(ctx))
	if err != nil {
		stop()
		return nil, err
	}
	silence.Reset(limit.next)
	resp.Body = &body{ReadCloser: resp.Body, progress: func() { silence.Reset(limit.next) }, stop: stop}
	return resp, nil
}

// pieceBytes is what is read at once. A read of an answer in chunks goes on until its buffer
// is full, and a large one would look like silence.
const pieceBytes = 4 << 10

// body tells of each read that brings something.
type body struct {
	io.ReadCloser
	progress, stop func()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), pieceBytes)])
	if n > 0 {
		b.progress()
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}

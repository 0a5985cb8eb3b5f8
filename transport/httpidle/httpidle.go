// Package httpidle ends HTTP calls that make no progress, and lets calls continue whose
// responses keep arriving. A timeout on a whole call has to assume the size of the
// response and the bandwidth of the link: a call that takes longer is restarted forever
// and saturates the link.
package httpidle

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrIdleTimeout is the error of a call that received no data within its idle timeout.
var ErrIdleTimeout = errors.New("idle timeout: no response bytes received")

// MaxDuration bounds a call whose response never ends.
const MaxDuration = 30 * time.Second

type timeoutsKey struct{}

type timeouts struct{ first, next time.Duration }

// WithTimeouts returns a context for a call that may be idle for first until its response
// begins, and for next between two reads of the response body. It applies to calls made
// through a Transport.
func WithTimeouts(ctx context.Context, first, next time.Duration) context.Context {
	return context.WithValue(ctx, timeoutsKey{}, timeouts{first: first, next: next})
}

// Transport enforces the timeouts set by WithTimeouts.
type Transport struct{ Next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	limit, ok := req.Context().Value(timeoutsKey{}).(timeouts)
	if !ok {
		return t.Next.RoundTrip(req)
	}
	ctx, cancel := context.WithTimeout(req.Context(), limit.first+MaxDuration)
	ctx, abort := context.WithCancelCause(ctx)
	idleTimer := time.AfterFunc(limit.first, func() { abort(ErrIdleTimeout) })
	stop := func() {
		idleTimer.Stop()
		cancel()
	}
	resp, err := t.Next.RoundTrip(req.WithContext(ctx))
	if err != nil {
		stop()
		return nil, err
	}
	idleTimer.Reset(limit.next)
	resp.Body = &timedBody{ReadCloser: resp.Body, progress: func() { idleTimer.Reset(limit.next) }, stop: stop}
	return resp, nil
}

// maxReadBytes bounds a single read. A read of a chunked response returns only when its
// buffer is full, so a large buffer would make a slow response look idle.
const maxReadBytes = 4 << 10

// timedBody calls progress after each read that returns data.
type timedBody struct {
	io.ReadCloser
	progress, stop func()
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), maxReadBytes)])
	if n > 0 {
		b.progress()
	}
	return n, err
}

// Close implements io.Closer.
func (b *timedBody) Close() error {
	b.stop()
	return b.ReadCloser.Close()
}

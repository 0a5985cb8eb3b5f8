// Package httpbound bounds the size of HTTP responses. Clients that decode a whole response hold all
// of it in memory, also when a faulty server never ends it.
package httpbound

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// MaxHead is the size of a response's head, in bytes, above which calls fail. It is meant for
// backendhttp.Settings.MaxHead of clients that decode a whole response.
const MaxHead = 64 << 10

// ErrTooLarge is the error of reading a body beyond its bound.
var ErrTooLarge = errors.New("response is too large")

// Transport bounds the bodies of responses. Reading more than MaxBody bytes fails with ErrTooLarge.
//
// Load pattern: a faulty server never ends its responses, and several calls read from it at once. Each
// stays within MaxBody, and together they exceed the memory of the process.
type Transport struct {
	Next    http.RoundTripper
	MaxBody int64
	// Large has a slot for each body above SmallBody bytes that may be held at a time. Reading beyond
	// that size waits for a slot, which is held until the body is closed. Nil for no bound.
	Large     *semaphore.Weighted
	SmallBody int64
}

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &body{
		ReadCloser: resp.Body, ctx: req.Context(), address: req.URL.Host,
		bound: t.MaxBody, left: t.MaxBody, large: t.Large, small: t.SmallBody,
	}
	return resp, nil
}

// body is a response body that ends with an error at its bound.
type body struct {
	io.ReadCloser
	ctx         context.Context // of the request; ends a wait for a slot
	address     string
	bound, left int64
	large       *semaphore.Weighted
	small       int64 // size up to which no slot is needed
	holding     bool  // a slot of large
}

// Read implements io.Reader. It reads a byte more than is left, to tell a body of the largest size from a
// larger one.
func (b *body) Read(p []byte) (int, error) {
	if err := b.acquire(); err != nil {
		return 0, err
	}
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if int64(n) > b.left {
		n = int(b.left)
		err = errors.Wrapf(ErrTooLarge, "%s sent over %d bytes", b.address, b.bound)
	}
	b.left -= int64(n)
	return n, err
}

// acquire waits for a slot once the body is no longer small.
func (b *body) acquire() error {
	if b.holding || b.large == nil || b.bound-b.left < b.small {
		return nil
	}
	if err := b.large.Acquire(b.ctx, 1); err != nil {
		return errors.Wrapf(context.Cause(b.ctx), "large response of %s", b.address)
	}
	b.holding = true
	return nil
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.holding {
		b.holding = false
		b.large.Release(1)
	}
	return b.ReadCloser.Close()
}

// Sizes of the pieces, in bytes, in which ReadAll reads: each is twice the one before.
const (
	firstChunk = 4 << 10
	maxChunk   = 256 << 10
)

// ReadAll reads a body to its end. Unlike io.ReadAll it returns nothing with an error, so that it makes no
// copy of a body that exceeds its bound.
func ReadAll(body io.Reader) ([]byte, error) {
	var full [][]byte
	chunk := make([]byte, 0, firstChunk)
	for {
		if len(chunk) == cap(chunk) {
			full = append(full, chunk)
			chunk = make([]byte, 0, min(2*cap(chunk), maxChunk))
		}
		n, err := body.Read(chunk[len(chunk):cap(chunk)])
		chunk = chunk[:len(chunk)+n]
		if errors.Is(err, io.EOF) {
			return bytes.Join(append(full, chunk), nil), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

package httproute

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// WithConn returns a context that carries a caller's connection. It is the ConnContext of the http.Server of a Front.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// resetUnlessWhole lets the caller's connection be reset if it closes before whole is called. A caller of HTTP/1.0 reads a
// body without a length until its connection ends, and would take an orderly close for the end of the response.
func resetUnlessWhole(hr *http.Request) (whole func()) {
	if hr.ProtoAtLeast(1, 1) {
		return func() {}
	}
	c, ok := hr.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return func() {}
	}
	const reset, orderly = 0, -1
	_ = c.SetLinger(reset)                     // fails only on a connection that has failed
	return func() { _ = c.SetLinger(orderly) } // as above
}

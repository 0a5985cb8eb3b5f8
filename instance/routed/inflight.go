package routed

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// inFlight tracks the connections with a request that is handled, or whose response has not been sent
// completely: net/http sends the end of a response after its handler has returned. It is safe for
// concurrent use.
type inFlight struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// track tracks the connections of a server that speaks HTTP/1, where a connection carries one request
// at a time. It has to be called before the server is started.
func (f *inFlight) track(server *http.Server) {
	next := server.Handler
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateIdle || state == http.StateClosed {
			f.end(c)
		}
	}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			f.begin(c)
		}
		next.ServeHTTP(w, r)
	})
}

func (f *inFlight) begin(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.conns == nil {
		f.conns = make(map[net.Conn]struct{})
	}
	f.conns[c] = struct{}{}
}

func (f *inFlight) end(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, c)
}

// count returns the number of requests in flight.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

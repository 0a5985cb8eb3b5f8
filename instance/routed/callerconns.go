package routed

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/basilroute/basilroute/transport/draining"
)

const (
	// quietTime is how long no caller may have connected or sent a request before their connections are closed. It
	// exceeds a round trip between regions.
	quietTime         = 300 * time.Millisecond
	quietPollInterval = 10 * time.Millisecond
)

// callerConns records which connections of callers have a request in flight, up to the last byte of its response.
type callerConns struct {
	mu      sync.Mutex
	active  map[net.Conn]struct{}
	changed time.Time
}

// track records the state of a connection. It is the ConnState of an http.Server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		delete(c.active, conn)
		c.changed = time.Now()
	case http.StateActive:
		if c.active == nil {
			c.active = make(map[net.Conn]struct{})
		}
		c.active[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		if _, ok := c.active[conn]; ok {
			delete(c.active, conn)
			c.changed = time.Now()
		}
	}
}

// activeCount returns the number of connections with a request in flight.
func (c *callerConns) activeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// quietSince reports whether nothing has been in flight and nobody has connected since a time.
func (c *callerConns) quietSince(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active) == 0 && c.changed.Before(since)
}

// closeCallers accepts no connections of callers beyond those that are queued, answers what comes on the open ones until they are quiet, and closes
// them. It leaves those open that still have a request in flight when ctx ends.
//
// http.Server.Shutdown closes idle connections at once and answers nothing more on the others, so that a request that has
// just been read would end without a response.
func (n *Instance) closeCallers(ctx context.Context) {
	switch l := n.listeners["callers"].(type) {
	case nil:
	case *draining.Listener:
		l.Drain(ctx)
	default:
		_ = l.Close() // fails only if it is closed
	}
	n.awaitQuietCallers(ctx)
	if ctx.Err() == nil {
		_ = n.callers.Close() // the connections are not used
	}
}

// awaitQuietCallers waits until callers have sent nothing and no request of theirs has been in flight for quietTime.
func (n *Instance) awaitQuietCallers(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		since := time.Now().Add(-quietTime)
		if !since.Before(began) && n.callerConns.quietSince(since) {
			return
		}
		sleep(ctx, quietPollInterval)
	}
}

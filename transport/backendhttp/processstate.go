package backendhttp

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ProcessState says whether the process of a server runs.
type ProcessState string

// Process states.
const (
	ProcessRunning ProcessState = "running"
	ProcessEnded   ProcessState = "ended"
	ProcessUnknown ProcessState = "unknown" // there was no answer in time
)

const (
	// processEndTime is how long the kernel may take to close the connections of a process that ends, newest first, and at
	// last the socket on which it listens.
	processEndTime = 20 * time.Millisecond
	// maxProcessProbes bounds the connections of one question.
	maxProcessProbes = 3
)

// ProcessState reports whether the process behind a connection that has just ended in order still runs: it does if another
// connection, idle or new, outlasts the time in which its end would have closed that too. A new one is kept for reuse.
func (c *Client) ProcessState(ctx context.Context, address string) ProcessState {
	for range maxProcessProbes {
		probe, state := c.probe(ctx, address)
		if state != ProcessRunning {
			return state
		}
		select {
		case <-ctx.Done():
			probe.drop()
			return ProcessUnknown
		case <-time.After(processEndTime):
		}
		if probe.open() {
			probe.keep()
			return ProcessRunning
		}
		probe.drop()
	}
	return ProcessRunning // it accepts connections and closes them, like a server that has too many
}

// processProbe is a connection that shows whether a process runs.
type processProbe struct {
	client  *Client
	address string
	conn    *conn // nil if it was reset at once
	dialled bool  // for the question
}

// probe returns a connection that is open now, and ProcessRunning; otherwise what the failure says.
func (c *Client) probe(ctx context.Context, address string) (*processProbe, ProcessState) {
	p := &processProbe{client: c, address: address}
	if p.conn = c.anyIdle(address); p.conn != nil {
		return p, ProcessRunning
	}
	p.dialled = true
	cn, err := c.dial(ctx, address)
	switch {
	case err == nil:
		p.conn = cn
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, ProcessEnded
	case !errors.Is(err, syscall.ECONNRESET):
		return nil, ProcessUnknown
	}
	return p, ProcessRunning
}

// anyIdle returns an idle connection that is open, or nil. It stays where it is.
func (c *Client) anyIdle(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		if cn.silentlyOpen() {
			return cn
		}
	}
	return nil
}

func (p *processProbe) open() bool { return p.conn != nil && p.conn.silentlyOpen() }

func (p *processProbe) keep() {
	if p.dialled {
		p.client.ahead.dialled.Add(1)
		p.conn.ahead, p.conn.idleLimit = true, p.client.settings.IdleLimit
		p.client.put(p.address, p.conn)
	}
}

func (p *processProbe) drop() {
	if p.dialled && p.conn != nil {
		_ = p.conn.Close() // it has carried nothing
	}
}

package backendhttp

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// refreshMargin is how long before the end of its idle limit a connection no longer counts as ready,
// so that its successor is dialled in time. It is the time between two calls of Sweep.
const refreshMargin = time.Second

// aheadDials holds the dials that no request has asked for yet.
type aheadDials struct {
	context context.Context // ends with Close
	cancel  context.CancelFunc
	pending sync.WaitGroup
	demands map[string]*demand // by address; guarded by the client's mutex

	dialled, failed atomic.Uint64
}

// requestStarted records a request, after it has taken an idle connection.
func (c *Client) requestStarted(address string) {
	if c.settings.MaxReady == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.ahead.demands[address]
	if d == nil {
		d = &demand{maxReady: c.settings.MaxReady}
		c.ahead.demands[address] = d
	}
	now := time.Now()
	d.requestStarted(now)
	c.dialAhead(address, d, now)
}

func (c *Client) requestEnded(address string) {
	if c.settings.MaxReady == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.ahead.demands[address]; d != nil {
		d.requestEnded(time.Now())
	}
}

// refreshAhead replaces connections that have expired. The client's mutex is held.
func (c *Client) refreshAhead(now time.Time) {
	for address, d := range c.ahead.demands {
		if d.unused(now) {
			delete(c.ahead.demands, address)
			continue
		}
		c.dialAhead(address, d, now)
	}
}

// dialAhead dials the connections that are missing. The client's mutex is held.
func (c *Client) dialAhead(address string, d *demand, now time.Time) {
	if c.closed {
		return
	}
	n := d.toDial(now, c.ready(address, now))
	d.dialStarted(n)
	for range n {
		c.ahead.pending.Go(func() { c.dialOneAhead(address, d) })
	}
}

// ready counts the idle connections that stay usable for a while. The client's mutex is held.
func (c *Client) ready(address string, now time.Time) int {
	n := 0
	for _, cn := range c.idle[address] {
		if now.Sub(cn.idleSince) < cn.idleLimit-refreshMargin {
			n++
		}
	}
	return n
}

func (c *Client) dialOneAhead(address string, d *demand) {
	began := time.Now()
	cn, err := c.dial(c.ahead.context, address)
	if err == nil {
		c.ahead.dialled.Add(1)
		cn.ahead, cn.idleLimit = true, DefaultIdleLimit
		c.put(address, cn)
	} else {
		c.ahead.failed.Add(1)
	}
	c.dialEnded(c.ahead.context, address, began, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	d.dialEnded()
}

// dialEnded records whether a dial reached the server. One that was cancelled tells nothing.
func (c *Client) dialEnded(ctx context.Context, address string, began time.Time, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil && silent(err) {
		c.dropSilent(ctx, address, began)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.ahead.demands[address]; d != nil {
		d.reached(time.Now(), err == nil)
	}
}

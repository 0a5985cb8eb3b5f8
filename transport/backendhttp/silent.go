package backendhttp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// A link that is cut leaves connections that never answer and are never reset. The first request
// that fails on one shows that the others may be like it.

// silent reports whether a connection or a dial failed without a sign from the server: this side
// closed it after a timeout, nothing was acknowledged, or there is no route to the server.
func silent(err error) bool {
	var failed net.Error
	if errors.As(err, &failed) && failed.Timeout() {
		return true
	}
	return errors.IsAny(err, net.ErrClosed, syscall.EHOSTUNREACH, syscall.ENETUNREACH)
}

// failed drops the idle connections that may have gone silent together with this one.
func (a *Response) failed(err error) {
	if silent(err) {
		a.client.dropSilent(a.ctx, a.address, a.heard())
	}
}

// dropSilent closes the idle connections to an address that have not been used since a time, after
// a request or dial that got no sign of the server since then. One that the caller cancelled proves
// nothing. With the default FreshIdle nothing is dropped: it keeps requests that may not be repeated
// off idle connections.
func (c *Client) dropSilent(ctx context.Context, address string, since time.Time) {
	if c.settings.FreshIdle <= defaultFreshIdle || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepIdle(address, func(cn *conn) bool { return cn.idleSince.After(since) })
}

// keepIdle closes the idle connections to an address that keep rejects. The client's mutex is held.
func (c *Client) keepIdle(address string, keep func(*conn) bool) {
	list := c.idle[address]
	kept := list[:0]
	for _, cn := range list {
		if keep(cn) {
			kept = append(kept, cn)
			continue
		}
		_ = cn.Close() // no request is in flight on it
	}
	clear(list[len(kept):])
	if len(kept) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = kept
}

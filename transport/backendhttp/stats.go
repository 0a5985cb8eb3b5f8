package backendhttp

import "sync/atomic"

// ConnStats counts since the start of a client.
type ConnStats struct {
	DialledAhead, FailedAhead uint64 // dials ahead, by whether they got a connection

	OnReused, OnAhead, OnNew uint64 // requests, by the connection that they took
}

// connCounts holds the requests by the connection that they took.
type connCounts struct{ reused, ahead, dialled atomic.Uint64 }

// count counts a connection that was idle.
func (n *connCounts) count(cn *conn) {
	if cn.reused {
		n.reused.Add(1)
		return
	}
	n.ahead.Add(1)
}

// Stats returns the counts.
func (c *Client) Stats() ConnStats {
	return ConnStats{
		DialledAhead: c.ahead.dialled.Load(), FailedAhead: c.ahead.failed.Load(),
		OnReused: c.taken.reused.Load(), OnAhead: c.taken.ahead.Load(), OnNew: c.taken.dialled.Load(),
	}
}

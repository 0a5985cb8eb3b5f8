package once

import "time"

// Lease says which store lease new claims are bound to.
type Lease struct {
	ID    int64
	since time.Time
}

// NewLease returns a lease granted in answer to a call that began at asked.
func NewLease(id int64, asked time.Time) Lease { return Lease{ID: id, since: asked} }

// Usable tells whether the lease still takes new claims. Counting from before
// it was granted makes the lease outlive every claim's key.
func (l Lease) Usable(now time.Time) bool {
	return l.ID != 0 && now.Sub(l.since) < LeaseReusePeriod
}

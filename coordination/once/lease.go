package once

import "time"

// Lease is the store lease that new claims are bound to.
type Lease struct {
	ID          int64
	requestedAt time.Time
}

// NewLease returns a lease granted in response to a call that started at requestedAt.
func NewLease(id int64, requestedAt time.Time) Lease { return Lease{ID: id, requestedAt: requestedAt} }

// Usable reports whether the lease still takes new claims. Its age counts from before it
// was granted, so that the lease outlives the key of every claim.
func (l Lease) Usable(now time.Time) bool {
	return l.ID != 0 && now.Sub(l.requestedAt) < LeaseReusePeriod
}

// Package orders decides which orders are sent to the backend servers of a failure
// domain. The desired state is in the service documents; the holder of the domain's
// lease compares it with the state that each server reports and sends orders until the
// two agree.
//
// Some engines ignore the fencing number of an order, and obey one that a former
// holder sent before it was paused. Repeated comparison corrects them in the end, since
// a former holder sends nothing once it resumes and sees that too little time is left on
// its lease.
//
// The package does no I/O; callers pass the time.
package orders

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/service"
)

const (
	// LeaseTTL is how long the lease of a domain's orders lasts without renewal.
	LeaseTTL = 12 * time.Second
	// RenewInterval is the interval at which the lease is renewed.
	RenewInterval = LeaseTTL / 4
	// Timeout bounds one order. An order may take effect until its timeout has passed.
	Timeout = 2 * time.Second
	// MinLeaseRemaining is the minimum time left on the lease for an order to be sent:
	// the order's timeout, and as much again for clocks that run at different rates.
	MinLeaseRemaining = 2 * Timeout
	keyPrefix         = "orders/"
)

// Key returns the store key of the lease for a failure domain's orders.
func Key(domain string) string { return keyPrefix + domain }

// Lease is the right to send orders to a failure domain's servers.
type Lease struct {
	Epoch  int64 // fencing number: the store revision at which the lease was acquired
	expiry time.Time
}

// NewLease returns a lease whose last renewal was requested at a time. The TTL counts
// from before the store responded, so the lease never lasts longer here than in the store.
func NewLease(epoch int64, requestedAt time.Time) Lease {
	return Lease{epoch, requestedAt.Add(LeaseTTL)}
}

// Held reports whether the lease has not expired.
func (l Lease) Held(now time.Time) bool { return l.Epoch > 0 && now.Before(l.expiry) }

// MayOrder reports whether an order sent now ends before the lease does.
func (l Lease) MayOrder(now time.Time) bool { return l.Held(now.Add(MinLeaseRemaining)) }

// State is the state that a server reports.
type State struct {
	Fencing  int64
	Version  string
	Draining bool
}

// Order is the state that a server is ordered to reach.
type Order struct {
	Fencing  int64
	Version  string
	Draining bool
}

// HasOrders reports whether the service document contains orders.
func HasOrders(s *service.Service) bool {
	return s.Orders.Version != "" || len(s.Orders.Draining) > 0
}

// Next returns the order that brings a server to the state in the document. It returns
// false when the server has that state already or too little time is left on the lease.
func Next(s *service.Service, serverID string, have State, lease Lease, now time.Time) (Order, bool) {
	want := Order{Fencing: lease.Epoch, Version: have.Version, Draining: slices.Contains(s.Orders.Draining, serverID)}
	if s.Orders.Version != "" {
		want.Version = s.Orders.Version
	}
	if want.Version == have.Version && want.Draining == have.Draining {
		return Order{}, false
	}
	return want, lease.MayOrder(now)
}

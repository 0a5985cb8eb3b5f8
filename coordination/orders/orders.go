// Package orders decides which orders the backend servers of a failure domain
// get. What they should do stands in the service documents; the holder of the
// domain's lease compares it with what each server says of itself and sends
// orders until the two agree.
//
// Some engines ignore the fencing number of an order, and obey one that a former
// holder sent before it was paused. Comparing again and again sets them right in
// the end, since a former holder sends nothing after it woke up and saw that its
// lease had no time to spare.
//
// The package does no I/O; the time is handed in.
package orders

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/service"
)

const (
	// LeaseTTL is how long the lease of a domain's orders lasts unrenewed.
	LeaseTTL = 12 * time.Second
	// RenewInterval is how often it is renewed.
	RenewInterval = LeaseTTL / 4
	// Timeout bounds one order. An order may take effect until it has run out.
	Timeout = 2 * time.Second
	// MinLeaseRemaining is the time a lease must have left for an order to be sent: the
	// order's own time and as much again for clocks that run apart.
	MinLeaseRemaining = 2 * Timeout
	keyPrefix         = "orders/"
)

// Key is where the lease of a failure domain's orders stands in the store.
func Key(domain string) string { return keyPrefix + domain }

// Lease is the right to order a failure domain's servers.
type Lease struct {
	Epoch int64 // fencing number: the store revision by which the lease was taken
	until time.Time
}

// NewLease returns a lease whose last renewal was asked for at a time. Counting
// from before the store answered, it never seems longer here than in the store.
func NewLease(epoch int64, asked time.Time) Lease { return Lease{epoch, asked.Add(LeaseTTL)} }

// Held tells whether the lease still runs.
func (l Lease) Held(now time.Time) bool { return l.Epoch > 0 && now.Before(l.until) }

// MayOrder tells whether an order sent now ends before the lease does.
func (l Lease) MayOrder(now time.Time) bool { return l.Held(now.Add(MinLeaseRemaining)) }

// State is what a server says of itself.
type State struct {
	Fencing  int64
	Version  string
	Draining bool
}

// Order is what a server is told.
type Order struct {
	Fencing  int64
	Version  string
	Draining bool
}

// HasOrders tells whether the service document orders anything.
func HasOrders(s *service.Service) bool {
	return s.Orders.Version != "" || len(s.Orders.Draining) > 0
}

// Next returns the order that brings a server to what the document wants; false
// when the server is there already or the lease has no time to spare.
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

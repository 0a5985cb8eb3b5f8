// Package routing chooses where a request runs: first the failure domain, then
// the backend server in it. Every choice passes the filter of data residency and hops.
//
// The package does no I/O; the time and the random source are passed in.
package routing

import (
	"time"

	"github.com/basilroute/basilroute/coordination/prefix"
	"github.com/basilroute/basilroute/service"
)

// MaxHops is how often a request may be forwarded between instances.
const MaxHops = 1

// Domain is the state of a failure domain for one service. A remote domain is listed once
// for each of its instances.
type Domain struct {
	Name        string
	Region      string
	PeerAddress string // peer address of the instance to forward to; empty for the local domain
	PeerID      string
	PeerHash    uint64 // of PeerID
	ReportSeq   uint64 // number of the load report that the load is from
	Servers     int
	InFlight    int
	LinkDelay   time.Duration // one way
	Interactive Queue
	Bulk        Queue
}

// Queue is the state of a class of requests in a failure domain.
type Queue struct {
	ExpectedWait  time.Duration
	AcceptsRemote bool
	FreeSlots     int // requests that it can start at once
}

// queue returns the queue that the request would join.
func (r *Request) queue(d *Domain) *Queue {
	if r.Bulk {
		return &d.Bulk
	}
	return &d.Interactive
}

// Request holds what routing needs to know of a request.
type Request struct {
	Service      *service.Service
	Account      uint64 // hash of the account's name
	HomeRegion   string // region the account's data must stay in; anywhere when empty
	Hop          int
	Bulk         bool
	PromptTokens int
	CachedBlocks *prefix.Matches // cached blocks of the prompt by server; may be nil
	Exclude      map[string]bool // peers, domains and servers that failed or refused this request
}

// Allowed reports whether the request may run in the failure domain at all.
func Allowed(r *Request, region, domain string) bool {
	if r.HomeRegion != "" && r.HomeRegion != region {
		return false
	}
	return r.Service.AllowsDomain(region, domain)
}

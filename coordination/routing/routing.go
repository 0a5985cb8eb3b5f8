// Package routing chooses where a request runs: first the failure domain, then
// the backend server in it. Nothing gets past the filter of residency and hops.
//
// The package does no I/O; the time and the random source are handed in.
package routing

import (
	"time"

	"github.com/basilroute/basilroute/coordination/prefix"
	"github.com/basilroute/basilroute/service"
)

// MaxHops is how often a request may be forwarded between instances.
const MaxHops = 1

// Domain is what is known of a failure domain for one service. A far domain
// stands once for each of its instances.
type Domain struct {
	Name        string
	Region      string
	PeerAddress string // peer address of the instance to forward to; empty for the own domain
	PeerID      string
	PeerHash    uint64 // of PeerID
	ReportSeq   uint64 // number of the report that the load is from
	Servers     int
	InFlight    int
	LinkDelay   time.Duration // one way
	Interactive Queue
	Bulk        Queue
}

// Queue is how a class of requests stands in a failure domain.
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

// Request is what routing needs to know of a request.
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

// Allowed tells whether the request may run in the failure domain at all.
func Allowed(r *Request, region, domain string) bool {
	if r.HomeRegion != "" && r.HomeRegion != region {
		return false
	}
	return r.Service.AllowsDomain(region, domain)
}

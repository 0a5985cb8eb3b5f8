// Package routing chooses where a request runs: first the failure domain, then
// the backend server in it. Nothing gets past the filter of residency and hops.
//
// The package does no I/O; the time and the random source are handed in.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

// MaxHops is how often a request may be forwarded between instances.
const MaxHops = 1

// Domain is what is known of a failure domain for one service.
type Domain struct {
	Name         string
	Region       string
	Peer         string // peer address of the instance to forward to; empty for the own domain
	PeerID       string
	Servers      int
	InFlight     int
	ExpectedWait time.Duration
	LinkDelay    time.Duration // one way
	HasRoom      bool
}

// Request is what routing needs to know of a request.
type Request struct {
	Service *service.Service
	Home    string // region the account's data must stay in; anywhere when empty
	Hop     int
	Exclude map[string]bool // peers and servers that failed this request
}

// Allowed tells whether the request may run in the failure domain at all.
func Allowed(r *Request, region, domain string) bool {
	if r.Home != "" && r.Home != region {
		return false
	}
	return r.Service.AllowsDomain(region, domain)
}

// ChooseDomain returns the index of the failure domain to run in, or -1.
func ChooseDomain(r *Request, ownRegion, ownDomain string, domains []Domain) int {
	best := -1
	var bestCost time.Duration
	for i := range domains {
		d := &domains[i]
		if !Allowed(r, d.Region, d.Name) || d.Servers == 0 || r.Exclude[d.PeerID] {
			continue
		}
		if d.Region != ownRegion && r.Service.Spill.Disabled {
			continue
		}
		cost := domainCost(r, d, ownRegion)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func domainCost(r *Request, d *Domain, ownRegion string) time.Duration {
	cost := d.ExpectedWait + 2*d.LinkDelay
	if d.Region != ownRegion {
		cost += r.Service.Spill.Gain
	}
	return cost
}

// ChooseServer returns the index of the server to run on, or -1. It draws two
// of the usable ones and takes the less loaded.
func ChooseServer(r *Request, list []servers.Server, rng *rand.Rand) int {
	first, second, count := -1, -1, 0
	for i := range list {
		s := &list[i]
		if !s.Usable() || r.Exclude[s.ID] || !r.Service.AllowsVersion(s.Version) || !Allowed(r, s.Region, s.Domain) {
			continue
		}
		count++
		if rng.IntN(count) == 0 {
			first, second = i, first
		} else if second < 0 || rng.IntN(count-1) == 0 {
			second = i
		}
	}
	if second >= 0 && load(&list[second]) < load(&list[first]) {
		return second
	}
	return first
}

func load(s *servers.Server) int {
	return s.InFlight + s.Load.Running + s.Load.Waiting
}

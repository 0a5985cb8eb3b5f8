package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/service"
)

const (
	// minDomainGain is by how much another failure domain of the region has to be better.
	minDomainGain = 20 * time.Millisecond
	// costGainFactor multiplies the gain that a spill needs under the cost policy: a request that
	// leaves its region has its prompt computed again.
	costGainFactor = 3
	// hysteresisDivisor lowers the gain that is needed to keep spilling. Without the
	// hysteresis requests alternate between regions at the threshold, and the caches of both lose.
	hysteresisDivisor = 2
	// freeSlotsDivisor divides a domain's reported free slots into the part that one instance
	// uses before the next report: other instances see the same free slots at the same time.
	freeSlotsDivisor = 4
)

type sentKey struct {
	service, peer string
	bulk          bool
}

type spillKey struct {
	service string
	bulk    bool
}

type sentCount struct {
	reportSeq uint64
	count     int
}

// Router chooses failure domains for one instance. It is safe for concurrent use.
type Router struct {
	region, domain string

	mu       sync.Mutex
	spilling map[spillKey]bool
	sent     map[sentKey]sentCount
}

// NewRouter returns the router of an instance in a failure domain.
func NewRouter(region, domain string) *Router {
	return &Router{region: region, domain: domain, spilling: make(map[spillKey]bool), sent: make(map[sentKey]sentCount)}
}

// ChooseDomain returns the domain to run in: local, one of others, or nil. A request leaves
// its region only when the expected gain exceeds the service's setting and the remote domain
// has reported that it accepts remote requests.
func (t *Router) ChooseDomain(r *Request, local *Domain, others []Domain) *Domain {
	t.mu.Lock()
	defer t.mu.Unlock()
	sameRegion, remote := t.best(r, local, others, (*Router).accepts)
	if sameRegion == nil && remote == nil {
		// No domain has reported spare slots, which only keeps back what could also run
		// elsewhere. A request that may run in one other domain of the region joins the
		// queue there, which refuses it at once when it cannot start within its waiting
		// limit.
		sameRegion, _ = t.best(r, local, others, nil)
	}
	if sameRegion == nil && remote == nil && !t.hasLocalServers(r, local, others) {
		remote = t.remoteFallback(r, others)
	}
	chosen := t.spill(r, sameRegion, remote)
	if chosen != nil && chosen != local {
		t.countSent(r, chosen)
	}
	return chosen
}

// best returns the best candidate in the local region and in the others. Other
// domains have to pass the given check, if there is one.
func (t *Router) best(r *Request, local *Domain, others []Domain, check func(*Router, *Request, *Domain) bool) (sameRegion, remote *Domain) {
	if t.candidate(r, local) {
		sameRegion = local
	}
	for i := range others {
		d := &others[i]
		if d.Name == t.domain || !t.candidate(r, d) || (check != nil && !check(t, r, d)) {
			continue
		}
		if d.Region == t.region {
			sameRegion = t.better(r, sameRegion, d)
		} else {
			remote = t.better(r, remote, d)
		}
	}
	return sameRegion, remote
}

// hasLocalServers reports whether the local region has servers for the request, even if their
// queues are full.
func (t *Router) hasLocalServers(r *Request, local *Domain, others []Domain) bool {
	if local.Servers > 0 && Allowed(r, local.Region, local.Name) {
		return true
	}
	for i := range others {
		d := &others[i]
		if d.Region == t.region && d.Servers > 0 && Allowed(r, d.Region, d.Name) {
			return true
		}
	}
	return false
}

// remoteFallback returns the remote domain with the shortest wait for a request whose local
// region has no servers. Neither a minimum gain nor reported free slots are required: the
// remote queue refuses at once what it cannot start in time, and without the fallback callers
// of a region without servers are refused while others still have free slots.
func (t *Router) remoteFallback(r *Request, others []Domain) *Domain {
	var best *Domain
	for i := range others {
		d := &others[i]
		if d.Region == t.region || r.Hop >= MaxHops || r.Service.Spill.Disabled || !r.mayUse(d) {
			continue
		}
		if best == nil || t.domainCost(r, d) < t.domainCost(r, best) {
			best = d
		}
	}
	return best
}

// mayUse reports whether the domain may run the request and has not failed it.
func (r *Request) mayUse(d *Domain) bool {
	return d.Servers > 0 && Allowed(r, d.Region, d.Name) && !r.Exclude[d.Name] && !r.Exclude[d.PeerID]
}

// Designate returns the one instance that runs a request suspected of crashing servers. The
// fingerprint chooses the failure domain, so that copies sent through several
// instances meet; in the domain it is the same instance for all suspects, since
// only one that has them all can keep them apart on its servers. Instances with the
// same list of members choose the same one.
func Designate(r *Request, fingerprint uint64, local *Domain, others []Domain) *Domain {
	var chosen *Domain
	consider := func(d *Domain) {
		if !Allowed(r, d.Region, d.Name) || d.Servers == 0 || r.Exclude[d.PeerID] {
			return
		}
		if d != local && r.Hop >= MaxHops || d.Region != local.Region && r.Service.Spill.Disabled {
			return
		}
		if chosen == nil || preferred(fingerprint, d, chosen) {
			chosen = d
		}
	}
	consider(local)
	for i := range others {
		consider(&others[i])
	}
	return chosen
}

func preferred(fingerprint uint64, a, b *Domain) bool {
	if a.Name == b.Name {
		return affinity(0, a.PeerHash) > affinity(0, b.PeerHash)
	}
	return affinity(fingerprint, xxhash.Sum64String(a.Name)) > affinity(fingerprint, xxhash.Sum64String(b.Name))
}

func (t *Router) candidate(r *Request, d *Domain) bool {
	if !r.mayUse(d) {
		return false
	}
	if d.Name == t.domain {
		return true
	}
	if r.Hop >= MaxHops {
		return false
	}
	return d.Region == t.region || !r.Service.Spill.Disabled
}

func (t *Router) accepts(r *Request, d *Domain) bool {
	return r.queue(d).AcceptsRemote && t.slotsLeft(r, d)
}

// slotsLeft counts what this instance sent since the domain's last report: a report is
// a second old, and otherwise a whole burst would go to one domain.
func (t *Router) slotsLeft(r *Request, d *Domain) bool {
	s := t.sent[sentKey{r.Service.Name, d.PeerID, r.Bulk}]
	return s.reportSeq != d.ReportSeq || s.count < max(r.queue(d).FreeSlots/freeSlotsDivisor, 1)
}

func (t *Router) countSent(r *Request, d *Domain) {
	key := sentKey{r.Service.Name, d.PeerID, r.Bulk}
	s := t.sent[key]
	if s.reportSeq != d.ReportSeq {
		s = sentCount{reportSeq: d.ReportSeq}
	}
	s.count++
	t.sent[key] = s
}

// better returns the better of two candidates. Among instances of one domain it
// is the one that the account's hash prefers, so that accounts spread over all
// of them and the requests of one account go to the same instance.
func (t *Router) better(r *Request, a, b *Domain) *Domain {
	if a == nil {
		return b
	}
	if a.Name == b.Name {
		if affinity(r.Account, b.PeerHash) > affinity(r.Account, a.PeerHash) {
			return b
		}
		return a
	}
	if t.domainCost(r, b) < t.domainCost(r, a) {
		return b
	}
	return a
}

func (t *Router) domainCost(r *Request, d *Domain) time.Duration {
	cost := r.queue(d).ExpectedWait + 2*d.LinkDelay
	if d.Name != t.domain && d.Region == t.region {
		cost += minDomainGain
	}
	return cost
}

func (t *Router) spill(r *Request, sameRegion, remote *Domain) *Domain {
	if sameRegion == nil {
		return remote
	}
	if remote == nil {
		return sameRegion
	}
	key := spillKey{r.Service.Name, r.Bulk}
	threshold := r.Service.Spill.Gain
	if r.Service.Policy == service.PolicyCost {
		threshold *= costGainFactor
	}
	if t.spilling[key] {
		threshold /= hysteresisDivisor
	}
	spills := t.domainCost(r, sameRegion)-t.domainCost(r, remote) > threshold
	t.spilling[key] = spills
	if spills {
		return remote
	}
	return sameRegion
}

// affinity mixes two hashes (the finalizer of splitmix64).
func affinity(account, peer uint64) uint64 {
	x := account ^ peer
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

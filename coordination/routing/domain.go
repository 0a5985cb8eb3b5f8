package routing

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/service"
)

const (
	// domainGain is what another failure domain of the region has to be better by.
	domainGain = 20 * time.Millisecond
	// costGainFactor multiplies the gain that a spill needs under the cost
	// policy: a request that leaves its region computes its prompt again.
	costGainFactor = 3
	// stayDivisor lowers the gain that is needed to go on spilling. Without the
	// gap requests alternate between regions at the threshold, and each side's
	// caches lose.
	stayDivisor = 2
	// roomShare is the part of a domain's reported room that one instance uses
	// before the next report: others see the same room at the same time.
	roomShare = 4
)

type sentKey struct {
	service, peer string
	bulk          bool
}

type spillKey struct {
	service string
	bulk    bool
}

type sent struct {
	report uint64
	count  int
}

// Router chooses failure domains for one instance. It is safe for concurrent use.
type Router struct {
	region, domain string

	mu       sync.Mutex
	spilling map[spillKey]bool
	sent     map[sentKey]sent
}

// NewRouter returns the router of an instance in a failure domain.
func NewRouter(region, domain string) *Router {
	return &Router{region: region, domain: domain, spilling: make(map[spillKey]bool), sent: make(map[sentKey]sent)}
}

// ChooseDomain returns where to run: own, one of others, or nil. A request
// leaves its region only when the expected time won exceeds the service's
// setting and the far side has said that it has room.
func (t *Router) ChooseDomain(r *Request, own *Domain, others []Domain) *Domain {
	t.mu.Lock()
	defer t.mu.Unlock()
	near, far := t.best(r, own, others, (*Router).hasRoom)
	if near == nil && far == nil {
		// No place has room to spare, which only holds back what could also run
		// elsewhere. A request that may run in one other domain of the region
		// waits in the queue there, which refuses it at once when it cannot make
		// its waiting limit.
		near, _ = t.best(r, own, others, nil)
	}
	if near == nil && far == nil && !t.servedHere(r, own, others) {
		far = t.refuge(r, others)
	}
	chosen := t.spill(r, near, far)
	if chosen != nil && chosen != own {
		t.count(r, chosen)
	}
	return chosen
}

// best returns the best candidate in the own region and in the others. Other
// domains have to pass the check of their room, if there is one.
func (t *Router) best(r *Request, own *Domain, others []Domain, room func(*Router, *Request, *Domain) bool) (near, far *Domain) {
	if t.candidate(r, own) {
		near = own
	}
	for i := range others {
		d := &others[i]
		if d.Name == t.domain || !t.candidate(r, d) || (room != nil && !room(t, r, d)) {
			continue
		}
		if d.Region == t.region {
			near = t.better(r, near, d)
		} else {
			far = t.better(r, far, d)
		}
	}
	return near, far
}

// servedHere tells whether the own region has servers for the request, be their
// queues full or not.
func (t *Router) servedHere(r *Request, own *Domain, others []Domain) bool {
	if own.Servers > 0 && Allowed(r, own.Region, own.Name) {
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

// refuge returns the far domain with the shortest wait for a request whose own
// region has no servers. No gain is weighed and no room has to be spoken of: the
// far queue refuses at once what it cannot start in time, and without this the
// callers of a lost region are refused while others still have slots.
func (t *Router) refuge(r *Request, others []Domain) *Domain {
	var best *Domain
	for i := range others {
		d := &others[i]
		if d.Region == t.region || r.Hop >= MaxHops || r.Service.Spill.Disabled || !r.reaches(d) {
			continue
		}
		if best == nil || t.nearCost(r, d) < t.nearCost(r, best) {
			best = d
		}
	}
	return best
}

// reaches tells whether the domain may run the request and did not fail it.
func (r *Request) reaches(d *Domain) bool {
	return d.Servers > 0 && Allowed(r, d.Region, d.Name) && !r.Exclude[d.Name] && !r.Exclude[d.PeerID]
}

// Designate returns the one instance that runs a suspected request. The
// fingerprint chooses the failure domain, so that copies sent through several
// instances meet; in the domain it is the same instance for all suspects, since
// only one that has them all can keep them apart on its servers. Instances that
// know the same members name the same one.
func Designate(r *Request, fingerprint uint64, own *Domain, others []Domain) *Domain {
	var chosen *Domain
	consider := func(d *Domain) {
		if !Allowed(r, d.Region, d.Name) || d.Servers == 0 || r.Exclude[d.PeerID] {
			return
		}
		if d != own && r.Hop >= MaxHops || d.Region != own.Region && r.Service.Spill.Disabled {
			return
		}
		if chosen == nil || preferred(fingerprint, d, chosen) {
			chosen = d
		}
	}
	consider(own)
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
	if !r.reaches(d) {
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

func (t *Router) hasRoom(r *Request, d *Domain) bool {
	return r.queue(d).AcceptsRemote && t.roomLeft(r, d)
}

// roomLeft counts what this instance sent since the domain's report: a report is
// a second old, and a burst would otherwise go to one place as a whole.
func (t *Router) roomLeft(r *Request, d *Domain) bool {
	s := t.sent[sentKey{r.Service.Name, d.PeerID, r.Bulk}]
	return s.report != d.ReportSeq || s.count < max(r.queue(d).FreeSlots/roomShare, 1)
}

func (t *Router) count(r *Request, d *Domain) {
	key := sentKey{r.Service.Name, d.PeerID, r.Bulk}
	s := t.sent[key]
	if s.report != d.ReportSeq {
		s = sent{report: d.ReportSeq}
	}
	s.count++
	t.sent[key] = s
}

// better returns the better of two candidates. Among instances of one domain it
// is the one that the account's hash prefers, so that accounts spread over all
// of them and each account's requests meet.
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
	if t.nearCost(r, b) < t.nearCost(r, a) {
		return b
	}
	return a
}

func (t *Router) nearCost(r *Request, d *Domain) time.Duration {
	cost := r.queue(d).ExpectedWait + 2*d.LinkDelay
	if d.Name != t.domain && d.Region == t.region {
		cost += domainGain
	}
	return cost
}

func (t *Router) spill(r *Request, near, far *Domain) *Domain {
	if near == nil {
		return far
	}
	if far == nil {
		return near
	}
	key := spillKey{r.Service.Name, r.Bulk}
	threshold := r.Service.Spill.Gain
	if r.Service.Policy == service.PolicyCost {
		threshold *= costGainFactor
	}
	if t.spilling[key] {
		threshold /= stayDivisor
	}
	spills := t.nearCost(r, near)-t.nearCost(r, far) > threshold
	t.spilling[key] = spills
	if spills {
		return far
	}
	return near
}

// affinity mixes two hashes (the finalizer of splitmix64).
func affinity(account, peer uint64) uint64 {
	x := account ^ peer
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package membership

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/rendezvous"
)

const (
	// maxFullMesh is the size of the largest fleet in which every instance exchanges
	// with all others.
	maxFullMesh = 16
	// localDomainFanout is how many peers of the local domain a round picks in a
	// larger fleet.
	localDomainFanout = 2
	// localPartners and remotePartners are how many peers of the local and of each other
	// domain an instance of a larger fleet exchanges with. It keeps a connection to each of
	// them, whose number must not grow with the fleet. Gossip over eight random neighbours
	// each reaches all nearly as fast as over all.
	localPartners  = 8
	remotePartners = 3
	// otherDomainsRounds is the number of rounds in which an instance of a larger
	// fleet exchanges with one peer of each other domain.
	otherDomainsRounds = 2
	// unknownSeedFanout is the maximum number of seeds that a round tries, and
	// unknownLocalFanout how many of them are of the local domain while there are such: these
	// send the entries of all domains.
	unknownSeedFanout  = 4
	unknownLocalFanout = 2
	// lostRetryRounds is the number of rounds between two attempts to contact an
	// unreachable or forgotten instance.
	lostRetryRounds = 5
)

// Targets returns the peer addresses of every known instance and of every seed that
// is not known yet.
func (t *Table) Targets() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := t.unknownSeeds()
	for id, r := range t.members {
		if id != t.self {
			out = append(out, r.entry.GetPeerAddress())
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// unknownSeeds returns the addresses of seeds that are not in the table.
func (t *Table) unknownSeeds() []string {
	known := make(map[string]bool, len(t.members))
	for _, r := range t.members {
		known[r.entry.GetPeerAddress()] = true
	}
	var out []string
	for _, seed := range t.seeds {
		if t.members[seed.ID] == nil && !known[seed.PeerAddress] {
			out = append(out, seed.PeerAddress)
		}
	}
	return out
}

// RoundTargets returns the peer addresses to exchange with in this round: all in a
// small fleet; otherwise a few at random of its partners in the local domain and one in
// each of half of the other domains. Every few rounds it adds one that is unreachable or forgotten,
// so that both sides of a long partition find each other again without the platform.
func (t *Table) RoundTargets(now time.Time, rng *rand.Rand) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := t.seedTargets(rng)
	live, lost := t.splitByReachability(now)
	for n, domain := range slices.Sorted(maps.Keys(live)) {
		addresses := t.partners(domain, live[domain])
		shuffle(addresses, rng)
		out = append(out, addresses[:min(len(addresses), t.fanout(domain, uint64(n)))]...)
	}
	if len(lost) > 0 && (len(t.members) <= maxFullMesh || t.rounds%lostRetryRounds == 0) {
		out = append(out, lost[rng.IntN(len(lost))])
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// partners returns those of a domain's addresses with which this instance exchanges: all in
// a small fleet, otherwise a few by rendezvous hashing, so that they change only when one of
// them is lost.
func (t *Table) partners(domain string, addresses []string) []string {
	count := remotePartners
	if domain == t.members[t.self].entry.GetDomain() {
		count = localPartners
	}
	if len(t.members) <= maxFullMesh || len(addresses) <= count {
		return addresses
	}
	self := bits.RotateLeft64(xxhash.Sum64String(t.self), 1) // two instances need not choose each other
	score := func(address string) uint64 { return rendezvous.Score(xxhash.Sum64String(address), self) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) })
	return addresses[:count]
}

// seedTargets draws from the seeds that are not known yet.
func (t *Table) seedTargets(rng *rand.Rand) []string {
	unknown, domain := t.unknownSeeds(), t.members[t.self].entry.GetDomain()
	local := make(map[string]bool)
	for _, seed := range t.seeds {
		local[seed.PeerAddress] = seed.Domain == domain
	}
	shuffle(unknown, rng)
	var out, others []string
	for _, address := range unknown {
		if local[address] && len(out) < unknownLocalFanout {
			out = append(out, address)
		} else {
			others = append(others, address)
		}
	}
	return append(out, others[:min(len(others), unknownSeedFanout-len(out))]...)
}

// fanout returns how many peers of the n-th domain a round picks.
func (t *Table) fanout(domain string, n uint64) int {
	switch {
	case len(t.members) <= maxFullMesh:
		return maxFullMesh
	case domain == t.members[t.self].entry.GetDomain():
		return localDomainFanout
	case (t.rounds+n)%otherDomainsRounds == 0:
		return 1
	}
	return 0
}

// splitByReachability returns the addresses of reachable instances by domain, and
// those of unreachable and forgotten ones.
func (t *Table) splitByReachability(now time.Time) (live map[string][]string, lost []string) {
	live = make(map[string][]string)
	observed := t.observationTime(now)
	for id, r := range t.members {
		switch {
		case id == t.self:
		case t.reachable(id, r, observed):
			live[r.entry.GetDomain()] = append(live[r.entry.GetDomain()], r.entry.GetPeerAddress())
		default:
			lost = append(lost, r.entry.GetPeerAddress())
		}
	}
	for _, g := range t.tombstones {
		lost = append(lost, g.address)
	}
	slices.SortFunc(lost, cmp.Compare)
	return live, lost
}

func shuffle(list []string, rng *rand.Rand) {
	slices.Sort(list) // map order is random: the order has to come from rng alone
	rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

package membership

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fullFanout is the largest fleet in which every instance exchanges with all.
	fullFanout = 16
	// ownDomainFanout is how many peers of the own domain a round picks in a larger one.
	ownDomainFanout = 2
	// otherDomainsEvery is in how many rounds such a fleet's instance exchanges
	// with one peer of each other domain.
	otherDomainsEvery = 2
	// strangerFanout bounds the seeds that a round tries.
	strangerFanout = 4
	// lostEvery is how many rounds pass between two tries of a lost instance.
	lostEvery = 5
)

// Targets returns the peer addresses of every known instance and of every seed
// that is not known yet.
func (t *Table) Targets() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := t.strangers()
	for id, r := range t.members {
		if id != t.self {
			out = append(out, r.entry.GetPeerAddress())
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// strangers returns the addresses of seeds that are not known.
func (t *Table) strangers() []string {
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

// RoundTargets returns the peer addresses to exchange with in this round: everyone in a
// small fleet; otherwise a few at random in the own domain and one in each of half
// of the other domains, and now and then one that was lost, so that both sides of a long
// partition find each other again without the platform.
func (t *Table) RoundTargets(now time.Time, rng *rand.Rand) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	strangers := t.strangers()
	shuffle(strangers, rng)
	out := strangers[:min(len(strangers), strangerFanout)]
	live, lost := t.split(now)
	for n, domain := range slices.Sorted(maps.Keys(live)) {
		addresses := live[domain]
		shuffle(addresses, rng)
		out = append(out, addresses[:min(len(addresses), t.fanout(domain, uint64(n)))]...)
	}
	if len(lost) > 0 && (len(t.members) <= fullFanout || t.rounds%lostEvery == 0) {
		out = append(out, lost[rng.IntN(len(lost))])
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// fanout returns how many peers of the n-th domain a round picks.
func (t *Table) fanout(domain string, n uint64) int {
	switch {
	case len(t.members) <= fullFanout:
		return fullFanout
	case domain == t.members[t.self].entry.GetDomain():
		return ownDomainFanout
	case (t.rounds+n)%otherDomainsEvery == 0:
		return 1
	}
	return 0
}

// split returns the addresses of reachable instances by domain, and of the others.
func (t *Table) split(now time.Time) (live map[string][]string, lost []string) {
	live = make(map[string][]string)
	observed := t.observed(now)
	for id, r := range t.members {
		switch {
		case id == t.self:
		case t.reachable(id, r, observed):
			live[r.entry.GetDomain()] = append(live[r.entry.GetDomain()], r.entry.GetPeerAddress())
		default:
			lost = append(lost, r.entry.GetPeerAddress())
		}
	}
	for _, g := range t.gone {
		lost = append(lost, g.address)
	}
	slices.SortFunc(lost, cmp.Compare)
	return live, lost
}

func shuffle(list []string, rng *rand.Rand) {
	slices.Sort(list) // from a map: the order has to come from rng alone
	rng.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

package quotashare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/service"
)

// Load pattern: many instances, each with a few requests a second, some of which cost more than
// an even part of their account holds. With even parts such a request asks for loans at a number
// of instances that grows with the fleet, and an account without tokens asks all of them.

const (
	// evenShare is the part of each account that is even over all instances, so that
	// ordinary requests need no loan and an instance that is cut off goes on.
	evenShare = 0.25
	// lendersPerDomain is how many instances of a failure domain share its part of the
	// rest. They lend it to the others; a domain that is cut off has all of them.
	lendersPerDomain = 4
)

// Division divides each account over a set of instances: a part of it evenly over all, the
// rest over a few in each failure domain, which the hash names for the account. A larger set
// never gives an instance a larger part, so parts by different sets that all contain those
// who mint are at most the whole.
type Division struct {
	self    string
	size    int
	domains [][]hashed
}

type hashed struct {
	id   string
	hash uint64
}

// NewDivision returns the division over a set as the instance self sees it.
func NewDivision(self string, holders []Holder) *Division {
	byDomain := make(map[string][]hashed)
	for _, h := range holders {
		byDomain[h.Domain] = append(byDomain[h.Domain], hashed{h.ID, xxhash.Sum64String(h.ID)})
	}
	d := &Division{self: self, size: len(holders)}
	for _, members := range byDomain {
		d.domains = append(d.domains, members)
	}
	return d
}

// Allocate implements quota.Division.
func (d *Division) Allocate(doc *service.Account) quota.Allocation {
	if d.size == 0 {
		return quota.Allocation{}
	}
	even := evenShare / float64(d.size)
	part := quota.Allocation{Share: even, EvenShare: 1 / float64(d.size), MinLenderShare: 1, Lenders: []string{}}
	account := xxhash.Sum64String(doc.Name)
	for _, members := range d.domains {
		lenders := top(members, account)
		rest := (1 - evenShare) / float64(len(d.domains)*len(lenders))
		part.MinLenderShare = min(part.MinLenderShare, even+rest)
		for _, m := range lenders {
			part.Lenders = append(part.Lenders, m.id)
			if m.id == d.self {
				part.Lends = true
				part.Share += rest
			}
		}
	}
	slices.Sort(part.Lenders)
	return part
}

// top returns the members of a domain that the hash names for an account.
func top(members []hashed, account uint64) []hashed {
	best := make([]hashed, 0, lendersPerDomain)
	before := func(a, b hashed) int {
		return cmp.Or(cmp.Compare(score(b.hash, account), score(a.hash, account)), cmp.Compare(a.id, b.id))
	}
	for _, m := range members {
		at, _ := slices.BinarySearchFunc(best, m, before)
		if at == lendersPerDomain {
			continue
		}
		best = slices.Insert(best[:min(len(best), lendersPerDomain-1)], at, m)
	}
	return best
}

func score(member, account uint64) uint64 {
	mixed := (member ^ account) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 29
	return mixed * 0xbf58476d1ce4e5b9
}

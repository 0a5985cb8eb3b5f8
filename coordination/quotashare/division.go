package quotashare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/service"
)

// The division is made for many instances with a few requests a second each, some of which cost
// more than the bucket of an even share holds. With even shares only, such a request would need
// loans from a number of instances that grows with the fleet, and an account that is out of
// tokens would ask all of them.

const (
	// evenFraction is the fraction of each account that is divided evenly over all
	// instances, so that ordinary requests need no loan and a partitioned instance can
	// still admit requests.
	evenFraction = 0.25
	// lendersPerDomain is how many instances of a failure domain divide its share of the
	// rest among them and lend it to the others. A partitioned domain thus has lenders of
	// its own.
	lendersPerDomain = 4
)

// Division divides each account over a set of instances: a fraction of it evenly over all, the
// rest over a few in each failure domain, which are chosen by rendezvous hashing on the account.
// A larger set never gives an instance a larger share. Shares by different sets therefore add up
// to at most the whole if each of these sets contains all instances that mint.
type Division struct {
	self    string
	size    int
	domains [][]hashedHolder
}

type hashedHolder struct {
	id   string
	hash uint64
}

// NewDivision returns the division over a set, with the allocations of the instance self.
func NewDivision(self string, holders []Holder) *Division {
	byDomain := make(map[string][]hashedHolder)
	for _, h := range holders {
		byDomain[h.Domain] = append(byDomain[h.Domain], hashedHolder{h.ID, xxhash.Sum64String(h.ID)})
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
	even := evenFraction / float64(d.size)
	alloc := quota.Allocation{Share: even, EvenShare: 1 / float64(d.size), MinLenderShare: 1, Lenders: []string{}}
	account := xxhash.Sum64String(doc.Name)
	for _, members := range d.domains {
		lenders := topByScore(members, account)
		rest := (1 - evenFraction) / float64(len(d.domains)*len(lenders))
		alloc.MinLenderShare = min(alloc.MinLenderShare, even+rest)
		for _, m := range lenders {
			alloc.Lenders = append(alloc.Lenders, m.id)
			if m.id == d.self {
				alloc.Lends = true
				alloc.Share += rest
			}
		}
	}
	slices.Sort(alloc.Lenders)
	return alloc
}

// topByScore returns the lendersPerDomain members of a domain with the highest scores for an
// account, in descending order.
func topByScore(members []hashedHolder, account uint64) []hashedHolder {
	best := make([]hashedHolder, 0, lendersPerDomain)
	before := func(a, b hashedHolder) int {
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

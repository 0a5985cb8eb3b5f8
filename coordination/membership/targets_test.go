package membership

import (
	"testing"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// Guards against connections and keep-alive probes that grow with the fleet: an instance that draws
// among all others is connected to nearly all of them after some minutes.
func TestExchangePartnersDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{60, 240} {
		f := newFleet(size, 1)
		f.rounds(10)
		table, partners := f.tables[f.order[0]], make(map[string]bool)
		for range 120 {
			f.now = f.now.Add(RoundInterval)
			for _, address := range f.order {
				f.tables[address].StartRound(f.now)
			}
			for _, r := range table.members {
				r.lastContact = f.now
			}
			for _, address := range table.RoundTargets(f.now, f.rng) {
				partners[address] = true
			}
		}
		if limit := localPartners + (testDomains-1)*remotePartners; len(partners) > limit {
			t.Errorf("%d instances: %d partners in 120 rounds, want at most %d", size, len(partners), limit)
		}
	}
}

// Guards against digests of all domains between all domains, while entries change at a start.
func TestPeersOfOtherDomainsReconcileTheirOwnDomain(t *testing.T) {
	f := newFleet(70, 1)
	f.rounds(10)
	table := f.tables[f.order[0]]
	for k := range 70 { // a new incarnation everywhere, which the table has not heard of
		f.add(k, 2)
	}
	f.tables[f.order[0]] = table
	for i := range 20 {
		f.tables[f.order[1]].Merge([]*peerpb.Member{entry(1+i, 2)}, f.now)
	}
	far := f.tables[f.order[1]]
	next := table.ApplyResponse(f.call(far, table.Request(far.Self())), f.now)
	for _, domain := range next.GetDigestDomains() {
		if domain != far.Self().GetDomain() && domain != table.Self().GetDomain() {
			t.Errorf("with a peer of %s: digests of %s", far.Self().GetDomain(), domain)
		}
	}
	near := f.tables[f.order[testDomains]]
	near.Merge([]*peerpb.Member{entry(1, 3), entry(2, 3), entry(3, 3)}, f.now)
	next = table.ApplyResponse(f.call(near, table.Request(near.Self())), f.now)
	if next == nil || len(next.GetDigestDomains()) < 3 {
		t.Errorf("with a peer of the local domain: %v", next.GetDigestDomains())
	}
}

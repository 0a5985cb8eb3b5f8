package membership

import "testing"

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

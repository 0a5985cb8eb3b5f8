package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

const testDomains = 7

// fleet is a set of tables that exchange messages in memory and in virtual time.
type fleet struct {
	now      time.Time
	rng      *rand.Rand
	tables   map[string]*Table // by peer address
	order    []string
	down     map[string]bool // killed or paused
	cut      func(from, to *peerpb.Member) bool
	lossRate float64
	bytes    int

	shareDocuments bool // whether exchanges carry configuration documents
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now: time.Unix(1e9, 0), rng: rand.New(rand.NewPCG(seed, 1)), tables: make(map[string]*Table), down: make(map[string]bool),
		cut: func(_, _ *peerpb.Member) bool { return false },
	}
	for k := range n {
		f.add(k, 1)
	}
	f.seedAll()
	return f
}

func entry(k int, incarnation uint64) *peerpb.Member {
	domain := k % testDomains
	return &peerpb.Member{
		Id: fmt.Sprintf("region-%d-domain-%d-entry-%03d", domain%3, domain, k), Incarnation: incarnation, Version: 1,
		State: peerpb.MemberState_MEMBER_STATE_LIVE, Region: fmt.Sprintf("region-%d", domain%3), Domain: fmt.Sprintf("region-%d-domain-%d", domain%3, domain),
		PeerAddress: address(k), CallerAddress: fmt.Sprintf("10.0.%d.%d:8080", k/250, k%250), ConfigRevision: 100000,
	}
}

func address(k int) string { return fmt.Sprintf("10.0.%d.%d:8081", k/250, k%250) }

func (f *fleet) add(k int, incarnation uint64) *Table {
	t := New(entry(k, incarnation), f.now)
	if f.tables[address(k)] == nil {
		f.order = append(f.order, address(k))
	}
	f.tables[address(k)] = t
	return t
}

// seedAll gives every table a platform list of all instances that are up.
func (f *fleet) seedAll() {
	var seeds []Seed
	for _, a := range f.order {
		if self := f.tables[a].Self(); !f.down[a] {
			seeds = append(seeds, Seed{ID: self.GetId(), PeerAddress: a, Domain: self.GetDomain()})
		}
	}
	for _, t := range f.tables {
		t.SetSeeds(seeds)
	}
}

func (f *fleet) rounds(n int) {
	for range n {
		f.now = f.now.Add(RoundInterval)
		for _, a := range f.order {
			if !f.down[a] {
				f.round(f.tables[a])
			}
		}
	}
}

func (f *fleet) round(t *Table) {
	t.StartRound(f.now)
	t.UpdateSelf(f.now, func(m *peerpb.Member) {
		m.Loads = nil
		for _, service := range []string{"notice-writer", "recall-ledger", "basil-lm", "guild-desk"} {
			m.Loads = append(m.Loads, &peerpb.ServiceLoad{
				Service: service, Servers: 40, InFlight: f.rng.Uint32N(500), Queued: f.rng.Uint32N(200), ExpectedWaitMs: f.rng.Uint32N(2000), HasRoom: true,
			})
		}
	})
	for _, a := range t.RoundTargets(f.now, f.rng) {
		f.exchange(t, a)
	}
}

// exchange runs one exchange with the fields that the instance adds to the messages.
func (f *fleet) exchange(t *Table, to string) {
	peer := f.tables[to]
	if peer == nil || f.down[to] || f.cut(t.Self(), peer.Self()) || f.rng.Float64() < f.lossRate {
		return
	}
	req := t.Request(t.ByPeerAddress(to))
	req.ConfigRevision, req.DocumentsHash, req.Ready, req.ServersHash = 100000, 1<<60, true, 3
	resp := f.call(peer, req)
	resp.ConfigRevision, resp.DocumentsHash, resp.Ready = 100000, 1<<60, true
	f.bytes += 20 // size of the fields set above
	if f.rng.Float64() < f.lossRate {
		return
	}
	if f.shareDocuments {
		f.shareConfig(t, peer)
	}
	if next := t.ApplyResponse(resp, f.now); next != nil {
		t.ApplyResponse(f.call(peer, next), f.now)
	}
}

// shareConfig stands in for the documents in an exchange: the side with the lower
// configuration revision gets the other's.
func (f *fleet) shareConfig(a, b *Table) {
	revision := max(a.Self().GetConfigRevision(), b.Self().GetConfigRevision())
	for _, t := range []*Table{a, b} {
		if t.Self().GetConfigRevision() < revision {
			t.setConfig(revision, f.now)
		}
	}
}

func (t *Table) setConfig(revision int64, now time.Time) {
	t.UpdateSelf(now, func(m *peerpb.Member) { m.ConfigRevision = revision })
}

func (f *fleet) call(peer *Table, req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	resp := peer.Respond(proto.CloneOf(req), f.now)
	f.bytes += proto.Size(req) + proto.Size(resp)
	return resp
}

// count returns how many of the tables that are up satisfy the condition.
func (f *fleet) count(ok func(t *Table) bool) int {
	met := 0
	for _, a := range f.order {
		if !f.down[a] && ok(f.tables[a]) {
			met++
		}
	}
	return met
}

// roundsUntil runs rounds until every table that is up satisfies the condition.
func (f *fleet) roundsUntil(limit int, ok func(t *Table) bool) int {
	for n := range limit {
		if f.count(ok) == len(f.order)-len(f.down) {
			return n
		}
		f.rounds(1)
	}
	return limit
}

func (t *Table) find(id string, now time.Time) (Member, bool) {
	for _, m := range t.Members(now) {
		if m.Entry.GetId() == id {
			return m, true
		}
	}
	return Member{}, false
}

func (f *fleet) unreachable(id string) func(*Table) bool {
	return func(t *Table) bool {
		m, known := t.find(id, f.now)
		return !known || !m.Reachable
	}
}

func (f *fleet) allReachable(n int) func(*Table) bool {
	return func(t *Table) bool {
		live := 0
		for _, m := range t.Members(f.now) {
			if m.Reachable {
				live++
			}
		}
		return live == n
	}
}

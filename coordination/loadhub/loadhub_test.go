package loadhub

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
)

const (
	testServers = 50
	testOwn     = 3 // servers at which an instance has something under way
)

// region is a region of instances in virtual time. Each has work that changes.
type region struct {
	rng   *rand.Rand
	now   time.Time
	all   []Peer
	parts map[netip.AddrPort]*instance
	loss  float64
	sent  int
}

type instance struct {
	Peer
	exchange *Exchange
	own      placement.LoadReport
	heard    map[string]placement.LoadReport
	heardAt  map[string]time.Time
	served   int // requests of others of which it has heard that they ended
	messages int // sent
	dead     bool
}

func newRegion(size, domains int) *region {
	r := &region{rng: rand.New(rand.NewPCG(1, uint64(size))), now: time.Unix(1000, 0), parts: make(map[netip.AddrPort]*instance)}
	for i := range size {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 1)
		r.all = append(r.all, Peer{ID: fmt.Sprint("i", i), Domain: fmt.Sprint("d", i%domains), Address: address})
	}
	for _, p := range r.all {
		r.parts[p.Address] = &instance{
			Peer: p, exchange: New(p.ID, p.Domain, 0), heard: make(map[string]placement.LoadReport), heardAt: make(map[string]time.Time),
		}
	}
	r.meet()
	return r
}

// meet lets all know who lives.
func (r *region) meet() {
	for _, p := range r.all {
		var others []Peer
		for _, other := range r.all {
			if other != p && !r.parts[other.Address].dead {
				others = append(others, other)
			}
		}
		r.parts[p.Address].exchange.SetPeers(others)
	}
}

// draw gives each instance some work.
func (r *region) draw() {
	for _, p := range r.all {
		i := r.parts[p.Address]
		i.own = placement.LoadReport{}
		for n := range testOwn {
			i.own.Servers = append(i.own.Servers, placement.ServerLoad{
				Server: uint32(r.rng.IntN(testServers/testOwn)*testOwn + n), InFlight: 1 + r.rng.IntN(3), PendingTokens: r.rng.IntN(5000),
			})
		}
	}
}

// round lets all tell their load; messages arrive within it.
func (r *region) round() {
	r.now = r.now.Add(ReportInterval)
	for _, p := range r.all {
		if i := r.parts[p.Address]; !i.dead {
			out, heard := i.exchange.Round(placement.LoadReport{Servers: slices.Clone(i.own.Servers)}, r.now)
			for _, h := range heard {
				i.absorb(h, r.now)
			}
			for _, e := range out {
				r.deliver(i, e)
			}
			for n := range i.own.Servers {
				i.own.Servers[n].Served = 0
			}
		}
	}
}

func (r *region) deliver(from *instance, e Envelope) {
	for _, to := range e.To {
		r.sent++
		from.messages++
		i := r.parts[to]
		if i.dead || r.rng.Float64() < r.loss {
			continue
		}
		if heard, ok := i.exchange.Receive(e.Message, from.Address, r.now); ok {
			i.absorb(heard, r.now)
		}
	}
}

func (i *instance) absorb(h Update, now time.Time) {
	i.heard[h.Source], i.heardAt[h.Source] = h.Report, now
	for _, load := range h.Report.Servers {
		i.served += load.Served
	}
}

// believed returns the requests at a server that an instance takes others to have there.
func (i *instance) believed(server uint32, now time.Time) (inFlight int) {
	for source, d := range i.heard {
		for _, load := range d.Servers {
			if load.Server == server && now.Sub(i.heardAt[source]) <= wordFresh {
				inFlight += load.InFlight
			}
		}
	}
	return inFlight
}

// wrong returns the part of all requests that instances are wrong about, on average.
func (r *region) wrong() float64 {
	total := make(map[uint32]int)
	all := 0
	for _, p := range r.all {
		if i := r.parts[p.Address]; !i.dead {
			for _, load := range i.own.Servers {
				total[load.Server] += load.InFlight
				all += load.InFlight
			}
		}
	}
	off, living := 0, 0
	for _, p := range r.all {
		i := r.parts[p.Address]
		if i.dead {
			continue
		}
		living++
		for server := range uint32(testServers) {
			own := 0
			for _, load := range i.own.Servers {
				if load.Server == server {
					own = load.InFlight
				}
			}
			off += max(total[server]-own-i.believed(server, r.now), i.believed(server, r.now)-total[server]+own)
		}
	}
	return float64(off) / float64(living*all)
}

func (r *region) rounds(n int) {
	for range n {
		r.round()
	}
}

// Guards against datagrams whose number grows with the square of a region's instances.
func TestMessagesGrowWithTheInstances(t *testing.T) {
	const rounds = 50
	perInstance := make(map[int]float64)
	for _, size := range []int{30, 65, 130} {
		r := newRegion(size, 2)
		r.draw()
		r.rounds(rounds)
		if wrong := r.wrong(); wrong > 0 {
			t.Errorf("%d instances: wrong about %.2f of the load, which has not changed for %d rounds", size, wrong, rounds)
		}
		perInstance[size] = float64(r.sent) / float64(size*rounds)
		t.Logf("%d instances: %.2f datagrams a round and instance", size, perInstance[size])
	}
	if perInstance[130] > 1.2*perInstance[30] || perInstance[130] > 6 {
		t.Errorf("%.2f datagrams an instance and round at 30 instances, %.2f at 130", perInstance[30], perInstance[130])
	}
}

// Guards against a small region that depends on hubs.
func TestSmallRegionTellsAll(t *testing.T) {
	r := newRegion(1+directPeers, 2)
	r.draw()
	r.rounds(1)
	if r.sent != (1+directPeers)*directPeers || r.wrong() > 0 {
		t.Errorf("%d datagrams, wrong about %.2f of the load", r.sent, r.wrong())
	}
}

// Guards against instances that know nothing of the others' load while a dead hub still counts as a member.
func TestLostHubsAreMadeUpFor(t *testing.T) {
	for name, hubs := range map[string]int{"one hub of a domain": 1, "all hubs of a domain": hubCount} {
		t.Run(name, func(t *testing.T) {
			r := newRegion(64, 2)
			r.draw()
			r.rounds(10)
			var domain []Peer
			for _, p := range r.all {
				if p.Domain == "d0" {
					domain = append(domain, p)
				}
			}
			for _, hub := range hubsOf(domain)[:hubs] {
				r.parts[hub.Address].dead = true
			}
			r.rounds(int(hubsLost/ReportInterval) + 2)
			r.draw()
			r.rounds(3)
			if wrong := r.wrong(); wrong > 0.02 {
				t.Errorf("wrong about %.2f of the load before the members know", wrong)
			}
			r.meet()
			r.rounds(int(hubsLost/ReportInterval) + 4)
			sent := r.sent
			r.rounds(1)
			if wrong := r.wrong(); wrong > 0 || r.sent-sent > 64*6 {
				t.Errorf("wrong about %.2f of the load, %d datagrams in a round, once the members know", wrong, r.sent-sent)
			}
		})
	}
}

// Guards against sums that count an instance twice or forget it where datagrams are lost.
func TestLostDatagramsDoNotDistortTheSums(t *testing.T) {
	r := newRegion(64, 2)
	r.loss = 0.05
	worst := 0.0
	for range 20 {
		r.draw()
		r.rounds(6)
		worst = max(worst, r.wrong())
	}
	if worst > 0.05 {
		t.Errorf("wrong about %.2f of the load", worst)
	}
}

// Guards against outcomes that are told twice, once by each hub, or not at all.
func TestOutcomesAreToldOnce(t *testing.T) {
	r := newRegion(64, 2)
	r.draw()
	r.rounds(10)
	before := make(map[string]int)
	for _, i := range r.parts {
		before[i.ID] = i.served
	}
	teller := r.parts[r.all[5].Address]
	teller.own.Servers[0].Served = 7
	r.rounds(6)
	for _, i := range r.parts {
		if got := i.served - before[i.ID]; i != teller && got != 7 {
			t.Errorf("%s heard of %d requests that ended, want 7", i.ID, got)
		}
	}
}

// Guards against an idle instance that knows nothing of the others when its next request comes, and against a busy idle fleet.
func TestIdleInstanceKnowsTheLoad(t *testing.T) {
	r := newRegion(64, 2)
	r.draw()
	idle := r.parts[r.all[7].Address]
	idle.own = placement.LoadReport{}
	r.rounds(20)
	if wrong := r.wrong(); wrong > 0 {
		t.Errorf("wrong about %.2f of the load", wrong)
	}
	for _, i := range r.parts {
		i.own = placement.LoadReport{}
	}
	r.rounds(20)
	sent := r.sent
	r.rounds(50)
	if per := float64(r.sent-sent) / (64 * 50 * ReportInterval.Seconds()); per > 25 {
		t.Errorf("%.0f datagrams a second and instance of an idle fleet", per)
	}
}

// BenchmarkSizeHubRound is a round of a hub, sixteen a second, in a region of two failure domains.
func BenchmarkSizeHubRound(b *testing.B) {
	for _, size := range []int{30, 65, 130, 260} {
		b.Run(fmt.Sprintf("n=%d", size), func(b *testing.B) {
			r := newRegion(size, 2)
			r.draw()
			r.rounds(10)
			var hub *instance
			for _, p := range r.all {
				if i := r.parts[p.Address]; i.exchange.isHub {
					hub = i
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				hub.exchange.Round(hub.own, r.now)
			}
		})
	}
}

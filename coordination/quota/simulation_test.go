package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

const tick = 50 * time.Millisecond

var origin = time.Unix(1_000_000, 0)

// testInstance is an instance with its own clock.
type testInstance struct {
	id          slots.Member
	ledger      *Ledger
	clockRate   float64
	held        []slots.HeldSlot
	openCalls   map[slots.Member]bool
	doc         *service.Account
	docRevision int64 // configuration revision
}

func (n *testInstance) clock(now time.Duration) time.Time {
	return origin.Add(time.Duration(float64(now) * n.clockRate))
}

// admission is an amount of tokens that the account was admitted, with the true time.
type admission struct {
	at     time.Duration
	tokens float64
}

// simulation connects the ledgers of instances by a fake network. It assigns the slots
// itself, in place of the slots protocol, with at most one holder for each slot.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	instances []*testInstance
	fleet     *service.Fleet
	lossRate  float64
	lateRate  float64
	events    []event
	admitted  []*admission
	slots     []*simSlot
	revision  int64
	doc       *service.Account
	refused   int
	waiting   []*waitingRequest
}

type waitingRequest struct {
	instance *testInstance
	waiter   *Waiter
	tokens   float64
}

type simSlot struct {
	domain int
	index  int
	epoch  uint64
	holder *testInstance
	freeAt time.Duration // when the holder has stopped minting; 0 while it holds the slot
}

type event struct {
	at time.Duration
	do func()
}

const domains, perDomain = 2, 2

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

func newSimulation(seed uint64, count int, doc *service.Account) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), doc: doc,
		fleet: &service.Fleet{
			Regions: map[string]service.Region{"r": {Domains: []string{domainName(0), domainName(1)}}},
			Slots:   service.Slots{PerDomain: perDomain},
		},
	}
	for i := range count {
		sim.instances = append(sim.instances, sim.newInstance(i))
	}
	for i := range domains * perDomain {
		sim.slots = append(sim.slots, &simSlot{domain: i / perDomain, index: i % perDomain})
	}
	sim.revision = 1
	for _, n := range sim.instances {
		sim.deliver(n, doc, sim.revision)
	}
	return sim
}

func (sim *simulation) newInstance(i int) *testInstance {
	return &testInstance{
		id:     slots.Member{ID: fmt.Sprintf("n%d", i), Incarnation: sim.rng.Uint64()},
		ledger: New(domainName(i % domains)), clockRate: 1 + 0.004*(2*sim.rng.Float64()-1), openCalls: make(map[slots.Member]bool),
	}
}

func (sim *simulation) deliver(n *testInstance, doc *service.Account, revision int64) {
	n.doc, n.docRevision = doc, revision
	n.ledger.Update([]*service.Account{doc}, sim.fleet, revision, n.clock(sim.now))
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.events = append(sim.events, event{sim.now + d, do})
}

func (sim *simulation) delay() time.Duration {
	if sim.rng.Float64() < sim.lateRate {
		return time.Duration(sim.rng.IntN(int(5 * time.Second)))
	}
	return time.Duration(sim.rng.IntN(int(100 * time.Millisecond)))
}

func (sim *simulation) send(do func()) {
	if sim.rng.Float64() >= sim.lossRate {
		sim.after(sim.delay(), do)
	}
}

func (sim *simulation) run(until time.Duration, each func()) {
	for ; sim.now < until; sim.now += tick {
		due := sim.events
		sim.events = nil
		for _, e := range due {
			if e.at <= sim.now {
				e.do()
			} else {
				sim.events = append(sim.events, e)
			}
		}
		for _, n := range sim.instances {
			sim.step(n)
		}
		sim.collectDecisions()
		each()
		sim.collectDecisions()
	}
}

func (sim *simulation) step(n *testInstance) {
	now := n.clock(sim.now)
	n.ledger.Tick(tick, now)
	var lenders []slots.Member
	for _, s := range sim.slots {
		if s.holder != nil && s.holder != n && !n.openCalls[s.holder.id] {
			lenders = append(lenders, s.holder.id)
		}
	}
	for _, c := range n.ledger.Plan(lenders, now) {
		sim.call(n, c)
	}
}

func (sim *simulation) call(n *testInstance, c *Call) {
	n.openCalls[c.Lender] = true
	done := false
	answer := func(lent []LoanGrant) {
		if !done {
			done = true
			delete(n.openCalls, c.Lender)
			n.ledger.CompleteCall(c, lent, n.clock(sim.now))
		}
	}
	sim.after(500*time.Millisecond, func() { answer(nil) })
	sim.send(func() {
		for _, lender := range sim.instances {
			if lender.id == c.Lender {
				lent := lender.ledger.Lend(c.Requests, c.Reports, lender.clock(sim.now))
				sim.send(func() { answer(lent) })
			}
		}
	})
}

// request charges the account, and settles after the given length with the used tokens.
// For the bound the used tokens count, at the time of admission.
func (sim *simulation) request(n *testInstance, tokens, used float64, length time.Duration) bool {
	c, ok := n.ledger.Admit("acme", tokens, n.clock(sim.now))
	if !ok {
		sim.refused++
		sim.wait(n, tokens)
		return false
	}
	sim.admit(n, c, used, length)
	return true
}

func (sim *simulation) admit(n *testInstance, c Charge, used float64, length time.Duration) {
	sim.admitted = append(sim.admitted, &admission{sim.now, used})
	sim.after(length, func() { n.ledger.Settle(c, used, n.clock(sim.now)) })
}

func (sim *simulation) wait(n *testInstance, tokens float64) {
	waiter := n.ledger.Wait("acme", tokens, time.Second, n.clock(sim.now))
	sim.waiting = append(sim.waiting, &waitingRequest{n, waiter, tokens})
}

// collectDecisions applies the decisions about waiting requests.
func (sim *simulation) collectDecisions() {
	kept := sim.waiting[:0]
	for _, x := range sim.waiting {
		select {
		case v := <-x.waiter.Done:
			if v.OK {
				sim.admit(x.instance, v.Charge, x.tokens, 0)
			}
		default:
			kept = append(kept, x)
		}
	}
	sim.waiting = kept
}

// moveSlot takes a slot from its holder, which stops two seconds later, and then
// gives it to a random instance of the domain.
func (sim *simulation) moveSlot(s *simSlot) {
	if s.holder != nil {
		if s.freeAt == 0 {
			s.freeAt = sim.now + 2*time.Second
		}
		if sim.now < s.freeAt {
			return
		}
		sim.setHeld(s.holder, s, false)
	}
	var candidates []*testInstance
	for i, n := range sim.instances {
		if i%domains == s.domain {
			candidates = append(candidates, n)
		}
	}
	s.holder, s.freeAt = candidates[sim.rng.IntN(len(candidates))], 0
	s.epoch++
	sim.setHeld(s.holder, s, true)
}

func (sim *simulation) setHeld(n *testInstance, s *simSlot, holds bool) {
	var held []slots.HeldSlot
	for _, h := range n.held {
		if h.Slot != s.index {
			held = append(held, h)
		}
	}
	if holds {
		held = append(held, slots.HeldSlot{Slot: s.index, Epoch: s.epoch, Until: n.clock(sim.now).Add(time.Hour)})
	}
	n.held = held
	n.ledger.SetHeldSlots(held, n.clock(sim.now))
}

// overshoot returns by how much the worst window exceeds rate*T + burst. A fluid
// queue that drains at the rate holds, at each time, exactly the excess over rate*T
// of the worst window that ends at that time.
func (sim *simulation) overshoot(rate, burst float64) float64 {
	worst, queue, last := math.Inf(-1), 0.0, time.Duration(0)
	for _, a := range sim.admitted {
		queue = max(0, queue-rate*(a.at-last).Seconds()) + a.tokens
		last = a.at
		worst = max(worst, queue-burst)
	}
	return worst
}

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

func newSimulation(seed uint64, nodes int, doc *service.Account) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), doc: doc,
		fleet: &service.Fleet{
			Regions: map[string]service.Region{"r": {Domains: []string{domainName(0), domainName(1)}}},
			Slots:   service.Slots{PerDomain: perDomain},
		},
	}
	for i := range nodes {
		w.instances = append(w.instances, w.newInstance(i))
	}
	for i := range domains * perDomain {
		w.slots = append(w.slots, &simSlot{domain: i / perDomain, index: i % perDomain})
	}
	w.revision = 1
	for _, n := range w.instances {
		w.deliver(n, doc, w.revision)
	}
	return w
}

func (w *simulation) newInstance(i int) *testInstance {
	return &testInstance{
		id:     slots.Member{ID: fmt.Sprintf("n%d", i), Incarnation: w.rng.Uint64()},
		ledger: New(domainName(i % domains)), clockRate: 1 + 0.004*(2*w.rng.Float64()-1), openCalls: make(map[slots.Member]bool),
	}
}

func (w *simulation) deliver(n *testInstance, doc *service.Account, revision int64) {
	n.doc, n.docRevision = doc, revision
	n.ledger.Update([]*service.Account{doc}, w.fleet, revision, n.clock(w.now))
}

func (w *simulation) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now + d, do})
}

func (w *simulation) delay() time.Duration {
	if w.rng.Float64() < w.lateRate {
		return time.Duration(w.rng.IntN(int(5 * time.Second)))
	}
	return time.Duration(w.rng.IntN(int(100 * time.Millisecond)))
}

func (w *simulation) send(do func()) {
	if w.rng.Float64() >= w.lossRate {
		w.after(w.delay(), do)
	}
}

func (w *simulation) run(until time.Duration, each func()) {
	for ; w.now < until; w.now += tick {
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at <= w.now {
				e.do()
			} else {
				w.events = append(w.events, e)
			}
		}
		for _, n := range w.instances {
			w.step(n)
		}
		w.collectDecisions()
		each()
		w.collectDecisions()
	}
}

func (w *simulation) step(n *testInstance) {
	now := n.clock(w.now)
	n.ledger.Tick(tick, now)
	var lenders []slots.Member
	for _, s := range w.slots {
		if s.holder != nil && s.holder != n && !n.openCalls[s.holder.id] {
			lenders = append(lenders, s.holder.id)
		}
	}
	for _, c := range n.ledger.Plan(lenders, now) {
		w.call(n, c)
	}
}

func (w *simulation) call(n *testInstance, c *Call) {
	n.openCalls[c.Lender] = true
	done := false
	answer := func(lent []LoanGrant) {
		if !done {
			done = true
			delete(n.openCalls, c.Lender)
			n.ledger.CompleteCall(c, lent, n.clock(w.now))
		}
	}
	w.after(500*time.Millisecond, func() { answer(nil) })
	w.send(func() {
		for _, lender := range w.instances {
			if lender.id == c.Lender {
				lent := lender.ledger.Lend(c.Requests, c.Reports, lender.clock(w.now))
				w.send(func() { answer(lent) })
			}
		}
	})
}

// request charges the account, and settles after the given length with the used tokens.
// For the bound the used tokens count, at the time of admission.
func (w *simulation) request(n *testInstance, tokens, used float64, length time.Duration) bool {
	c, ok := n.ledger.Admit("acme", tokens, n.clock(w.now))
	if !ok {
		w.refused++
		w.wait(n, tokens)
		return false
	}
	w.admit(n, c, used, length)
	return true
}

func (w *simulation) admit(n *testInstance, c Charge, used float64, length time.Duration) {
	w.admitted = append(w.admitted, &admission{w.now, used})
	w.after(length, func() { n.ledger.Settle(c, used, n.clock(w.now)) })
}

func (w *simulation) wait(n *testInstance, tokens float64) {
	waiter := n.ledger.Wait("acme", tokens, time.Second, n.clock(w.now))
	w.waiting = append(w.waiting, &waitingRequest{n, waiter, tokens})
}

// collectDecisions applies the decisions about waiting requests.
func (w *simulation) collectDecisions() {
	kept := w.waiting[:0]
	for _, x := range w.waiting {
		select {
		case v := <-x.waiter.Done:
			if v.OK {
				w.admit(x.instance, v.Charge, x.tokens, 0)
			}
		default:
			kept = append(kept, x)
		}
	}
	w.waiting = kept
}

// moveSlot takes a slot from its holder, which stops two seconds later, and then
// gives it to a random instance of the domain.
func (w *simulation) moveSlot(s *simSlot) {
	if s.holder != nil {
		if s.freeAt == 0 {
			s.freeAt = w.now + 2*time.Second
		}
		if w.now < s.freeAt {
			return
		}
		w.setHeld(s.holder, s, false)
	}
	var candidates []*testInstance
	for i, n := range w.instances {
		if i%domains == s.domain {
			candidates = append(candidates, n)
		}
	}
	s.holder, s.freeAt = candidates[w.rng.IntN(len(candidates))], 0
	s.epoch++
	w.setHeld(s.holder, s, true)
}

func (w *simulation) setHeld(n *testInstance, s *simSlot, holds bool) {
	var held []slots.HeldSlot
	for _, h := range n.held {
		if h.Slot != s.index {
			held = append(held, h)
		}
	}
	if holds {
		held = append(held, slots.HeldSlot{Slot: s.index, Epoch: s.epoch, Until: n.clock(w.now).Add(time.Hour)})
	}
	n.held = held
	n.ledger.SetHeldSlots(held, n.clock(w.now))
}

// overshoot returns by how much the worst window exceeds rate*T + burst. A fluid
// queue that drains at the rate holds, at each time, exactly the excess over rate*T
// of the worst window that ends at that time.
func (w *simulation) overshoot(rate, burst float64) float64 {
	worst, queue, last := math.Inf(-1), 0.0, time.Duration(0)
	for _, a := range w.admitted {
		queue = max(0, queue-rate*(a.at-last).Seconds()) + a.tokens
		last = a.at
		worst = max(worst, queue-burst)
	}
	return worst
}

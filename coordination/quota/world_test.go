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

// spender is an instance with its own clock.
type spender struct {
	id     slots.Member
	ledger *Ledger
	rate   float64
	held   []slots.HeldSlot
	busy   map[slots.Member]bool
	doc    *service.Account
	known  int64 // configuration revision
}

func (n *spender) clock(now time.Duration) time.Time {
	return origin.Add(time.Duration(float64(now) * n.rate))
}

// admission is what the account got, at the instant of true time when it got it.
type admission struct {
	at     time.Duration
	tokens float64
}

// world lends over a fake network and hands the slots about: an oracle takes the
// place of the slots' protocol, with at most one holder a slot.
type world struct {
	rng      *rand.Rand
	now      time.Duration
	nodes    []*spender
	fleet    *service.Fleet
	loss     float64
	late     float64
	events   []event
	admitted []*admission
	slots    []*ownedSlot
	revision int64
	doc      *service.Account
	refused  int
	waiting  []*waiting
}

type waiting struct {
	node   *spender
	waiter *Waiter
	tokens float64
}

type ownedSlot struct {
	domain int
	index  int
	epoch  uint64
	holder *spender
	free   time.Duration // the holder has stopped by then
}

type event struct {
	at time.Duration
	do func()
}

const domains, perDomain = 2, 2

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

func newWorld(seed uint64, nodes int, doc *service.Account) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 2)), doc: doc,
		fleet: &service.Fleet{
			Regions: map[string]service.Region{"r": {Domains: []string{domainName(0), domainName(1)}}},
			Slots:   service.Slots{PerDomain: perDomain},
		},
	}
	for i := range nodes {
		w.nodes = append(w.nodes, w.start(i))
	}
	for i := range domains * perDomain {
		w.slots = append(w.slots, &ownedSlot{domain: i / perDomain, index: i % perDomain})
	}
	w.revision = 1
	for _, n := range w.nodes {
		w.learn(n, doc, w.revision)
	}
	return w
}

func (w *world) start(i int) *spender {
	return &spender{
		id:     slots.Member{ID: fmt.Sprintf("n%d", i), Incarnation: w.rng.Uint64()},
		ledger: New(domainName(i % domains)), rate: 1 + 0.004*(2*w.rng.Float64()-1), busy: make(map[slots.Member]bool),
	}
}

func (w *world) learn(n *spender, doc *service.Account, revision int64) {
	n.doc, n.known = doc, revision
	n.ledger.Update([]*service.Account{doc}, w.fleet, revision, n.clock(w.now))
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now + d, do})
}

func (w *world) delay() time.Duration {
	if w.rng.Float64() < w.late {
		return time.Duration(w.rng.IntN(int(5 * time.Second)))
	}
	return time.Duration(w.rng.IntN(int(100 * time.Millisecond)))
}

func (w *world) send(do func()) {
	if w.rng.Float64() >= w.loss {
		w.after(w.delay(), do)
	}
}

func (w *world) run(until time.Duration, each func()) {
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
		for _, n := range w.nodes {
			w.step(n)
		}
		w.poll()
		each()
		w.poll()
	}
}

func (w *world) step(n *spender) {
	now := n.clock(w.now)
	n.ledger.Tick(tick, now)
	var lenders []slots.Member
	for _, s := range w.slots {
		if s.holder != nil && s.holder != n && !n.busy[s.holder.id] {
			lenders = append(lenders, s.holder.id)
		}
	}
	for _, c := range n.ledger.Plan(lenders, now) {
		w.call(n, c)
	}
}

func (w *world) call(n *spender, c *Call) {
	n.busy[c.Lender] = true
	done := false
	answer := func(lent []LoanGrant) {
		if !done {
			done = true
			delete(n.busy, c.Lender)
			n.ledger.CompleteCall(c, lent, n.clock(w.now))
		}
	}
	w.after(500*time.Millisecond, func() { answer(nil) })
	w.send(func() {
		for _, lender := range w.nodes {
			if lender.id == c.Lender {
				lent := lender.ledger.Lend(c.Requests, c.Reports, lender.clock(w.now))
				w.send(func() { answer(lent) })
			}
		}
	})
}

// request charges, and settles after a while with less than was charged. What
// counts is what was used, at the instant of admission.
func (w *world) request(n *spender, tokens, used float64, length time.Duration) bool {
	c, ok := n.ledger.Admit("acme", tokens, n.clock(w.now))
	if !ok {
		w.refused++
		w.wait(n, tokens)
		return false
	}
	w.admit(n, c, used, length)
	return true
}

func (w *world) admit(n *spender, c Charge, used float64, length time.Duration) {
	w.admitted = append(w.admitted, &admission{w.now, used})
	w.after(length, func() { n.ledger.Settle(c, used, n.clock(w.now)) })
}

func (w *world) wait(n *spender, tokens float64) {
	waiter := n.ledger.Wait("acme", tokens, time.Second, n.clock(w.now))
	w.waiting = append(w.waiting, &waiting{n, waiter, tokens})
}

// poll takes in the verdicts of this tick.
func (w *world) poll() {
	kept := w.waiting[:0]
	for _, x := range w.waiting {
		select {
		case v := <-x.waiter.Done:
			if v.OK {
				w.admit(x.node, v.Charge, x.tokens, 0)
			}
		default:
			kept = append(kept, x)
		}
	}
	w.waiting = kept
}

// moveSlot ends a holder's time and gives the slot to another instance of the
// domain. The old one does not hear of it before its grant has run out.
func (w *world) moveSlot(s *ownedSlot) {
	if s.holder != nil {
		if s.free == 0 {
			s.free = w.now + 2*time.Second
		}
		if w.now < s.free {
			return
		}
		w.setHeld(s.holder, s, false)
	}
	var candidates []*spender
	for i, n := range w.nodes {
		if i%domains == s.domain {
			candidates = append(candidates, n)
		}
	}
	s.holder, s.free = candidates[w.rng.IntN(len(candidates))], 0
	s.epoch++
	w.setHeld(s.holder, s, true)
}

func (w *world) setHeld(n *spender, s *ownedSlot, holds bool) {
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

// overshoot returns by how much some window exceeds rate*T + burst: the fluid
// queue that drains at the rate holds exactly the excess of the worst window that
// ends now.
func (w *world) overshoot(rate, burst float64) float64 {
	worst, queue, last := math.Inf(-1), 0.0, time.Duration(0)
	for _, a := range w.admitted {
		queue = max(0, queue-rate*(a.at-last).Seconds()) + a.tokens
		last = a.at
		worst = max(worst, queue-burst)
	}
	return worst
}

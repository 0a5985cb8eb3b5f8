package quota

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

// restartWorld has one permanent part for each instance, as coordination/quotashare
// divides them. Instances restart, alone or all at once, and forget everything.
type restartWorld struct {
	*world
	started map[*spender]time.Time // by the instance's clock; absent when it may use its whole part
}

const restartNodes = 4

func newRestartWorld(seed uint64) *restartWorld {
	doc := &service.Account{Name: "acme", Rate: 100, Burst: 400}
	w := &restartWorld{world: newWorld(seed, 0, doc), started: make(map[*spender]time.Time)}
	var domains []string
	for i := range restartNodes {
		domains = append(domains, domainName(i))
	}
	w.fleet = &service.Fleet{Regions: map[string]service.Region{"r": {Domains: domains}}, Slots: service.Slots{PerDomain: 1}}
	w.slots = nil
	for i := range restartNodes {
		w.nodes = append(w.nodes, nil)
		w.slots = append(w.slots, &ownedSlot{domain: i, epoch: 1})
		w.restart(i)
		delete(w.started, w.nodes[i]) // nothing was lent before the first start
		w.nodes[i].ledger.SetProvisional(false, w.nodes[i].clock(0))
	}
	return w
}

// restart replaces an instance by one that knows nothing and mints the same part.
func (w *restartWorld) restart(i int) {
	n := w.start(i)
	n.ledger = New(domainName(i))
	now := n.clock(w.now)
	n.ledger.SetProvisional(true, now)
	w.learn(n, w.doc, 1)
	n.ledger.SetHeldSlots([]slots.HeldSlot{{Slot: 0, Epoch: 1, Until: now.Add(time.Hour)}}, now)
	if old := w.nodes[i]; old != nil {
		n.id.ID = old.id.ID
		delete(w.started, old)
	}
	w.nodes[i], w.slots[i].holder = n, n
	w.started[n] = now
}

// clear ends what is provisional: when no other instance holds or may still get a loan
// of the predecessor, or when all of them have expired.
func (w *restartWorld) clear() {
	for n, started := range w.started {
		now := n.clock(w.now)
		owes := false
		for _, other := range w.nodes {
			if other == n {
				continue
			}
			owes = owes || other.ledger.Owes(n.id.ID, other.clock(w.now))
			for lender, open := range other.busy {
				owes = owes || open && lender.ID == n.id.ID && lender != n.id
			}
		}
		if !owes || !now.Before(LoanExpiry(started)) {
			n.ledger.SetProvisional(false, now)
			delete(w.started, n)
		}
	}
}

// Instances restart at any moment, one or all of them, while others hold their loans
// and their clocks run unevenly; messages are late or lost. Restarted ones mint again
// at once. In no window does the account get more than its rate and burst. With the
// whole part at once instead, it gets up to a third of the burst more.
func TestRestartsKeepTheBound(t *testing.T) {
	served := 0.0
	for seed := range uint64(40) {
		w := newRestartWorld(seed)
		w.loss, w.late = 0.1, 0.1
		w.run(60*time.Second, func() {
			w.clear()
			if w.rng.IntN(120) == 0 {
				for i := range w.nodes {
					if w.rng.IntN(2) == 0 {
						w.restart(i)
					}
				}
			}
			// Nearly all the demand is at one instance: the others lend.
			at := w.nodes[0]
			if w.rng.IntN(5) == 0 {
				at = w.nodes[w.rng.IntN(restartNodes)]
			}
			tokens := float64(1 + w.rng.IntN(30))
			w.request(at, tokens, tokens, 0)
		})
		if over := w.overshoot(w.doc.Rate, w.doc.Burst); over > 1e-6 {
			t.Errorf("seed %d: %.1f tokens beyond rate and burst", seed, over)
		}
		for _, a := range w.admitted {
			served += a.tokens
		}
	}
	// Of what the rate allows, enough has to be served that the bound is worth keeping.
	if part := served / (40 * 60 * 100); part < 0.5 {
		t.Errorf("%.2f of the rate was served", part)
	}
}

// An instance lends all it may, the borrower keeps it, and the lender restarts. Its
// bucket fills within the loans' time. Would it fill to the whole part, the two
// together could be spent at once beyond the burst: it fills to what could not be lent,
// and lends nothing, so that one more restart adds nothing.
func TestRestartedLenderKeepsToTheRest(t *testing.T) {
	const rate, burst = 1000.0, 1000.0
	doc := acme(rate, burst, map[string]int64{"d0": 1})
	ledger := func(provisional bool, now time.Time) *Ledger {
		l := New("d0")
		l.SetProvisional(provisional, now)
		l.Update([]*service.Account{doc}, oneSlot, 1, now)
		l.SetHeldSlots([]slots.HeldSlot{{Slot: 0, Epoch: 1, Until: now.Add(time.Hour)}}, now)
		return l
	}
	now := start.Add(time.Minute)
	lent := ledger(false, start).Lend([]LoanRequest{{"acme", burst}}, nil, now)[0].Tokens
	if lent < burst/2 {
		t.Fatalf("%.0f tokens lent", lent)
	}
	restarted := ledger(true, now)
	later := now.Add(LoanValidity - time.Millisecond)
	if again := restarted.Lend([]LoanRequest{{"acme", burst}}, nil, later)[0].Tokens; again > 0 {
		t.Errorf("%.0f tokens lent while a predecessor's loans are open", again)
	}
	within(t, lent+takeAll(restarted, later), burst)
	if got := takeAll(ledger(true, now), later); got < burst/5 {
		t.Errorf("%.0f tokens to use meanwhile", got)
	}
	cleared := ledger(true, now)
	cleared.SetProvisional(false, later)
	if got := takeAll(cleared, later.Add(time.Second)); got < burst-1 {
		t.Errorf("%.0f tokens once the loans have ended", got)
	}
}

// A long prompt waits for loans. A small order of the same account has its tokens here
// and goes on at once; a second long prompt queues behind the first.
func TestSmallRequestPassesThoseThatWait(t *testing.T) {
	l := holder(1, start)
	now := start.Add(20 * time.Second) // 200 of 1000 tokens
	l.Wait("acme", 900, time.Minute, now)
	if _, ok := l.Admit("acme", 10, now); !ok {
		t.Error("a small request was refused though its tokens are there")
	}
	if _, ok := l.Admit("acme", 100, now); ok {
		t.Error("a larger one passed the one that waits")
	}
}

// The same order, with passing switched off: it waits behind the long prompt.
func TestPassingIsSwitchedOff(t *testing.T) {
	l := holder(1, start)
	l.DisablePassing()
	now := start.Add(20 * time.Second)
	l.Wait("acme", 900, time.Minute, now)
	if _, ok := l.Admit("acme", 10, now); ok {
		t.Error("a small request passes although passing is off")
	}
}

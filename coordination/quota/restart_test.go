package quota

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

// restartSimulation gives each instance a permanent share, as coordination/quotashare
// does. Instances restart, alone or several at once, and lose their state.
type restartSimulation struct {
	*simulation
	started map[*testInstance]time.Time // provisional instances, with their start by their own clocks
}

const restartInstances = 4

func newRestartSimulation(seed uint64) *restartSimulation {
	doc := &service.Account{Name: "acme", Rate: 100, Burst: 400}
	sim := &restartSimulation{simulation: newSimulation(seed, 0, doc), started: make(map[*testInstance]time.Time)}
	var domains []string
	for i := range restartInstances {
		domains = append(domains, domainName(i))
	}
	sim.fleet = &service.Fleet{Regions: map[string]service.Region{"r": {Domains: domains}}, Slots: service.Slots{PerDomain: 1}}
	sim.slots = nil
	for i := range restartInstances {
		sim.instances = append(sim.instances, nil)
		sim.slots = append(sim.slots, &simSlot{domain: i, epoch: 1})
		sim.restart(i)
		delete(sim.started, sim.instances[i]) // nothing was lent before the first start
		sim.instances[i].ledger.SetProvisional(false, sim.instances[i].clock(0))
	}
	return sim
}

// restart replaces an instance by a new incarnation with the same share and no state.
func (sim *restartSimulation) restart(i int) {
	n := sim.newInstance(i)
	n.ledger = New(domainName(i))
	now := n.clock(sim.now)
	n.ledger.SetProvisional(true, now)
	sim.deliver(n, sim.doc, 1)
	n.ledger.SetHeldSlots([]slots.HeldSlot{{Slot: 0, Epoch: 1, Until: now.Add(time.Hour)}}, now)
	if old := sim.instances[i]; old != nil {
		n.id.ID = old.id.ID
		delete(sim.started, old)
	}
	sim.instances[i], sim.slots[i].holder = n, n
	sim.started[n] = now
}

// clear ends the provisional state of an instance when no other one holds or may
// still receive a loan of its earlier incarnation, or when all such loans have expired.
func (sim *restartSimulation) clear() {
	for n, started := range sim.started {
		now := n.clock(sim.now)
		owes := false
		for _, other := range sim.instances {
			if other == n {
				continue
			}
			owes = owes || other.ledger.Owes(n.id.ID, other.clock(sim.now))
			for lender, open := range other.openCalls {
				owes = owes || open && lender.ID == n.id.ID && lender != n.id
			}
		}
		if !owes || !now.Before(LoanExpiry(started)) {
			n.ledger.SetProvisional(false, now)
			delete(sim.started, n)
		}
	}
}

// Guards against windows beyond rate and burst after restarts. One or more instances
// restart while others hold their loans, clocks run at different rates, and messages are
// late or lost; restarted instances mint again at once. Without the provisional state the
// account gets up to a third of the burst too much.
func TestRestartsKeepTheBound(t *testing.T) {
	served := 0.0
	for seed := range uint64(40) {
		sim := newRestartSimulation(seed)
		sim.lossRate, sim.lateRate = 0.1, 0.1
		sim.run(60*time.Second, func() {
			sim.clear()
			if sim.rng.IntN(120) == 0 {
				for i := range sim.instances {
					if sim.rng.IntN(2) == 0 {
						sim.restart(i)
					}
				}
			}
			// Most of the demand is at one instance; the others lend.
			at := sim.instances[0]
			if sim.rng.IntN(5) == 0 {
				at = sim.instances[sim.rng.IntN(restartInstances)]
			}
			tokens := float64(1 + sim.rng.IntN(30))
			sim.request(at, tokens, tokens, 0)
		})
		if over := sim.overshoot(sim.doc.Rate, sim.doc.Burst); over > 1e-6 {
			t.Errorf("seed %d: %.1f tokens beyond rate and burst", seed, over)
		}
		for _, a := range sim.admitted {
			served += a.tokens
		}
	}
	// The bound must not be kept by refusing most of the requests.
	if part := served / (40 * 60 * 100); part < 0.5 {
		t.Errorf("%.2f of the rate was served", part)
	}
}

// An instance lends as much as it may and restarts while the borrower holds the loan. If
// its bucket filled to the whole share before the loan expires, both together could exceed
// the burst. It may fill only to the fraction that cannot be lent, and must lend nothing,
// so that a further restart adds no more loans.
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
		t.Errorf("%.0f tokens lent while loans of the earlier incarnation are open", again)
	}
	checkBound(t, lent+admitAll(restarted, later), burst)
	if got := admitAll(ledger(true, now), later); got < burst/5 {
		t.Errorf("%.0f tokens available while loans of the earlier incarnation are open", got)
	}
	cleared := ledger(true, now)
	cleared.SetProvisional(false, later)
	if got := admitAll(cleared, later.Add(time.Second)); got < burst-1 {
		t.Errorf("%.0f tokens once no loan of the earlier incarnation is open", got)
	}
}

// A long prompt waits for loans. A small order of the same account, whose tokens are
// available, overtakes it; a larger request queues behind it.
func TestSmallRequestOvertakesLargeOnes(t *testing.T) {
	l := newHolderLedger(1, start)
	now := start.Add(20 * time.Second) // 200 of 1000 tokens
	l.Wait("acme", 900, time.Minute, now)
	if _, ok := l.Admit("acme", 10, now); !ok {
		t.Error("a small request was not admitted although its tokens are available")
	}
	if _, ok := l.Admit("acme", 100, now); ok {
		t.Error("a larger request overtook the waiting one")
	}
}

// With overtaking disabled, the small order waits behind the long prompt.
func TestOvertakingIsDisabled(t *testing.T) {
	l := newHolderLedger(1, start)
	l.DisableOvertaking()
	now := start.Add(20 * time.Second)
	l.Wait("acme", 900, time.Minute, now)
	if _, ok := l.Admit("acme", 10, now); ok {
		t.Error("a small request overtook the waiting one although overtaking is disabled")
	}
}

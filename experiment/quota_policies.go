package experiment

import (
	"fmt"
	"time"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/slots"
)

// loanPolicy runs the product's quota ledgers.
type loanPolicy struct {
	ledgers   []*quota.Ledger
	openCalls []map[int]bool
	waiting   []*waitingRequest
}

type waitingRequest struct {
	request *quotaRequest
	waiter  *quota.Waiter
}

const (
	lendTick    = 50 * time.Millisecond
	lendTimeout = 500 * time.Millisecond
)

var quotaEpoch = time.Unix(1_000_000, 0)

func (w *quotaSim) clock() time.Time { return quotaEpoch.Add(w.now) }

func newLoanPolicy(w *quotaSim) quotaPolicy {
	p := &loanPolicy{}
	perDomain := quotaInstances / quotaDomains
	for instance := range quotaInstances {
		l := quota.New(quotaDomain(quotaDomainOf(instance)))
		l.Update(w.docs, w.fleet, 1, w.clock())
		var held []slots.HeldSlot
		for slot := range quotaSlots {
			if slot%perDomain == instance%perDomain {
				held = append(held, slots.HeldSlot{Slot: slot, Epoch: 1, Until: w.clock().Add(time.Hour)})
			}
		}
		l.SetHeldSlots(held, w.clock())
		p.ledgers = append(p.ledgers, l)
		p.openCalls = append(p.openCalls, make(map[int]bool))
	}
	return p
}

func loanMember(instance int) slots.Member { return slots.Member{ID: fmt.Sprint(instance)} }

func (p *loanPolicy) request(w *quotaSim, r *quotaRequest) {
	name := w.docs[r.account].Name
	if c, ok := p.ledgers[r.instance].Admit(name, r.cost, w.clock()); ok {
		p.admit(w, r, c)
		return
	}
	waiter := p.ledgers[r.instance].Wait(name, r.cost, quotaMaxWait, w.clock())
	p.waiting = append(p.waiting, &waitingRequest{r, waiter})
	p.poll(w)
}

func (p *loanPolicy) admit(w *quotaSim, r *quotaRequest, c quota.Charge) {
	w.admit(r)
	w.after(quotaRequestDuration, func() { p.ledgers[r.instance].Settle(c, r.usedTokens, w.clock()) })
}

func (p *loanPolicy) poll(w *quotaSim) {
	kept := p.waiting[:0]
	for _, x := range p.waiting {
		select {
		case v := <-x.waiter.Done:
			if v.OK {
				p.admit(w, x.request, v.Charge)
			} else {
				w.refuse(x.request)
			}
		default:
			kept = append(kept, x)
		}
	}
	p.waiting = kept
}

func (p *loanPolicy) step(w *quotaSim) {
	for instance, l := range p.ledgers {
		borrowNeeded := false
		select {
		case <-l.BorrowNeeded():
			borrowNeeded = true
		default:
		}
		tick := w.now%lendTick == 0
		if tick {
			l.Tick(lendTick, w.clock())
		}
		if tick || borrowNeeded {
			p.borrow(w, instance)
		}
	}
	p.poll(w)
}

// borrow calls lenders in the local domain first, then in the local region, then in the
// other regions.
func (p *loanPolicy) borrow(w *quotaSim, instance int) {
	var lenders []slots.Member
	index := make(map[slots.Member]int)
	for distance := range 3 {
		for other := range quotaInstances {
			if other != instance && loanDistance(instance, other) == distance && !p.openCalls[instance][other] && w.reachable(instance, other) {
				lenders = append(lenders, loanMember(other))
				index[loanMember(other)] = other
			}
		}
	}
	for _, c := range p.ledgers[instance].Plan(lenders, w.clock()) {
		p.call(w, instance, index[c.Lender], c)
	}
}

func loanDistance(a, b int) int {
	switch {
	case quotaDomainOf(a) == quotaDomainOf(b):
		return 0
	case quotaRegionOf(a) == quotaRegionOf(b):
		return 1
	}
	return 2
}

func (p *loanPolicy) call(w *quotaSim, from, to int, c *quota.Call) {
	p.openCalls[from][to] = true
	answered := false
	answer := func(lent []quota.LoanGrant) {
		if !answered {
			answered = true
			delete(p.openCalls[from], to)
			p.ledgers[from].CompleteCall(c, lent, w.clock())
		}
	}
	w.after(lendTimeout, func() { answer(nil) })
	w.send(from, to, func() {
		lent := p.ledgers[to].Lend(c.Requests, c.Reports, w.clock())
		w.send(to, from, func() { answer(lent) })
	})
}

// splitPolicy is a baseline: it divides rate and burst evenly among the instances.
type splitPolicy struct {
	buckets [quotaInstances][quotaAccounts]tokenBucket
}

func newSplitPolicy(*quotaSim) quotaPolicy { return &splitPolicy{} }

func (p *splitPolicy) request(w *quotaSim, r *quotaRequest) {
	part := &p.buckets[r.instance][r.account]
	if !part.take(r.cost, quotaRate/quotaInstances, quotaBurst/quotaInstances, w.now) {
		w.refuse(r)
		return
	}
	w.admit(r)
	w.after(quotaRequestDuration, func() {
		part.tokens = min(quotaBurst/quotaInstances, part.tokens+r.cost-r.usedTokens)
	})
}

func (p *splitPolicy) step(*quotaSim) {}

// ownerPolicy is a baseline: one instance per account decides every request.
type ownerPolicy struct{ buckets [quotaAccounts]tokenBucket }

func newOwnerPolicy(*quotaSim) quotaPolicy { return &ownerPolicy{} }

func (p *ownerPolicy) request(w *quotaSim, r *quotaRequest) {
	owner := r.account * 7 % quotaInstances
	if !w.reachable(r.instance, owner) {
		w.refuse(r)
		return
	}
	w.send(r.instance, owner, func() {
		ok := p.buckets[r.account].take(r.cost, quotaRate, quotaBurst, w.now)
		if ok {
			w.after(quotaRequestDuration, func() {
				p.buckets[r.account].tokens = min(quotaBurst, p.buckets[r.account].tokens+r.cost-r.usedTokens)
			})
		}
		w.send(owner, r.instance, func() {
			if ok {
				w.admit(r)
			} else {
				w.refuse(r)
			}
		})
	})
}

func (p *ownerPolicy) step(*quotaSim) {}

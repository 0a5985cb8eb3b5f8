package quota

import (
	"time"

	"github.com/basilroute/basilroute/service"
)

// Allocation is what one slot held here has of an account.
type Allocation struct {
	Share     float64 // of the account's rate and burst, which the slot mints
	EvenShare float64 // of them, if all slots had the same
	Lends     bool    // the slot's holder lends to others
	// MinLenderShare is the least share of an instance that lends; 0 when not known.
	MinLenderShare float64
	// Lenders are the ids, ordered, of all instances that lend tokens of the account; nil
	// where all holders of slots do.
	Lenders []string
}

// Division divides accounts over the slots of a fleet. Divisions are compared: an equal one
// gives the same parts.
type Division interface {
	Allocate(doc *service.Account) Allocation
}

// fleetDivision is by a fleet document: the holders of slots lend.
type fleetDivision struct {
	fleet  *service.Fleet
	domain string
}

// Allocate implements Division.
func (d fleetDivision) Allocate(doc *service.Account) Allocation {
	part := share(doc, d.fleet, d.domain)
	return Allocation{Share: part, EvenShare: part, Lends: true}
}

// Update takes in the documents in force at a configuration revision. Accounts
// that are gone lose their tokens.
func (l *Ledger) Update(accounts []*service.Account, fleet *service.Fleet, revision int64, now time.Time) {
	if fleet == nil {
		return // without it no share is known, and the first one need not wait
	}
	l.Divide(accounts, fleetDivision{fleet, l.domain}, revision, now)
}

// Divide is Update where something else than a fleet document divides the accounts.
func (l *Ledger) Divide(accounts []*service.Account, division Division, revision int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	redivided := division != l.division
	l.division = division
	seen := make(map[string]bool, len(accounts))
	for _, doc := range accounts {
		seen[doc.Name] = true
		if !redivided && l.docs[doc.Name] == doc {
			continue
		}
		l.docs[doc.Name] = doc
		s := l.shard(doc.Name)
		s.mu.Lock()
		s.advance(now)
		a := s.account(doc.Name, now)
		a.mint(now, s.minting)
		a.setPart(doc, division.Allocate(doc), revision, s.minting)
		s.mu.Unlock()
	}
	if len(seen) < len(l.docs) {
		l.forget(seen)
	}
}

func (l *Ledger) forget(keep map[string]bool) {
	for name := range l.docs {
		if keep[name] {
			continue
		}
		delete(l.docs, name)
		s := l.shard(name)
		s.mu.Lock()
		if a, ok := s.accounts[name]; ok {
			a.minted, a.level, a.share, a.doc = minted{}, 0, 0, nil
		}
		s.mu.Unlock()
	}
}

// Acknowledged says that every instance goes by the documents up to a revision:
// those whose share shrinks have shrunk. What they lent before may still be spent,
// so shares grow only when these loans have expired. It is called regularly.
func (l *Ledger) Acknowledged(revision int64, now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.advance(now)
		for _, a := range s.accounts {
			if a.grownAt != 0 && a.grownAt <= revision && a.doc != nil {
				a.grow(now, s.minting)
			}
		}
		s.mu.Unlock()
	}
}

func (a *account) grow(now time.Time, minting int) {
	if a.growFrom.IsZero() {
		a.growFrom = LoanExpiry(now)
	}
	if now.Before(a.growFrom) {
		return
	}
	a.mint(now, minting)
	a.history.note(a.headroom(minting))
	a.share, a.grownAt = a.grown, 0
	a.apply(minting)
}

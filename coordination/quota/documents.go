package quota

import (
	"time"

	"github.com/basilroute/basilroute/service"
)

// Allocation is what a locally held slot has of an account, and who lends its tokens.
type Allocation struct {
	Share     float64 // fraction of the account's rate and burst that the slot mints
	EvenShare float64 // the fraction if all slots had the same
	Lends     bool    // the slot's holder lends to others
	// MinLenderShare is the smallest share of an instance that lends; 0 if unknown.
	MinLenderShare float64
	// Lenders are the sorted ids of all instances that lend tokens of the account; nil
	// if all holders of slots do.
	Lenders []string
}

// Division divides accounts over the slots of a fleet. It has to be comparable: equal
// divisions give equal allocations.
type Division interface {
	Allocate(doc *service.Account) Allocation
}

// fleetDivision divides accounts by a fleet document. All holders of slots lend.
type fleetDivision struct {
	fleet  *service.Fleet
	domain string
}

// Allocate implements Division.
func (d fleetDivision) Allocate(doc *service.Account) Allocation {
	fraction := share(doc, d.fleet, d.domain)
	return Allocation{Share: fraction, EvenShare: fraction, Lends: true}
}

// Update applies the documents in force at a configuration revision. Removed
// accounts lose their tokens.
func (l *Ledger) Update(accounts []*service.Account, fleet *service.Fleet, revision int64, now time.Time) {
	if fleet == nil {
		return // without it no share is known; the first share takes effect at once
	}
	l.UpdateDivided(accounts, fleetDivision{fleet, l.domain}, revision, now)
}

// UpdateDivided is like Update, with a division other than that of the fleet document.
func (l *Ledger) UpdateDivided(accounts []*service.Account, division Division, revision int64, now time.Time) {
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
		a.setAllocation(doc, division.Allocate(doc), revision, s.minting)
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
			a.perSlot, a.level, a.share, a.doc = slotQuota{}, 0, 0, nil
		}
		s.mu.Unlock()
	}
}

// Acknowledged records that every instance has applied the documents up to a
// revision, so that every smaller share is in force. Tokens lent before that may
// still be spent: pending shares take effect only after these loans have expired.
// It is called regularly.
func (l *Ledger) Acknowledged(revision int64, now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.advance(now)
		for _, a := range s.accounts {
			if a.pendingRevision != 0 && a.pendingRevision <= revision && a.doc != nil {
				a.applyPendingShare(now, s.minting)
			}
		}
		s.mu.Unlock()
	}
}

func (a *account) applyPendingShare(now time.Time, minting int) {
	if a.pendingStart.IsZero() {
		a.pendingStart = LoanExpiry(now)
	}
	if now.Before(a.pendingStart) {
		return
	}
	a.mint(now, minting)
	a.history.note(a.headroom(minting))
	a.share, a.pendingRevision = a.pendingShare, 0
	a.apply(minting)
}

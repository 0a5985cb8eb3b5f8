package quota

import (
	"time"

	"github.com/basilroute/basilroute/service"
)

// Update takes in the documents in force at a configuration revision. Accounts
// that are gone lose their tokens.
func (l *Ledger) Update(accounts []*service.Account, fleet *service.Fleet, revision int64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fleet == nil {
		return // without it no share is known, and the first one need not wait
	}
	newFleet := fleet != l.fleet
	l.fleet = fleet
	seen := make(map[string]bool, len(accounts))
	for _, doc := range accounts {
		seen[doc.Name] = true
		if !newFleet && l.docs[doc.Name] == doc {
			continue
		}
		l.docs[doc.Name] = doc
		s := l.shard(doc.Name)
		s.mu.Lock()
		s.advance(now)
		a := s.account(doc.Name, now)
		a.mint(now, s.minting)
		a.setShare(doc, share(doc, fleet, l.domain), revision, s.minting)
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
			a.part, a.level, a.share, a.doc = part{}, 0, 0, nil
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
		a.growFrom = LentUntil(now)
	}
	if now.Before(a.growFrom) {
		return
	}
	a.mint(now, minting)
	a.history.note(a.headroom(minting))
	a.share, a.grownAt = a.grown, 0
	a.apply(minting)
}

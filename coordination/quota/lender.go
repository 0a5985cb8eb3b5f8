package quota

import (
	"math"
	"sort"
	"time"
)

// loan is what was lent and is not reported yet. It fills the capacity.
type loan struct {
	id     uint64 // point of the history at which it was lent
	tokens float64
	until  time.Time
}

// LoanRequest asks for tokens of an account.
type LoanRequest struct {
	Account string
	Tokens  float64
}

// LoanGrant answers a Want.
type LoanGrant struct {
	Account string
	Tokens  float64
	LoanID  uint64
}

// LoanReport says what became of a loan since the last report.
type LoanReport struct {
	Account  string
	LoanID   uint64
	Spent    float64 // admitted: it no longer fills the lender's capacity
	Returned float64 // neither spent nor to be spent
	Refunded float64 // admitted before, but not used
}

// mostLent is the part of the capacity that may be lent at a time. The rest is what a
// restarted instance may use at once, while what its predecessor lent may still be
// spent: together they are no more than the capacity.
const mostLent = 0.75

// reserveFor is how much of its own demand a lender keeps.
const reserveFor = 200 * time.Millisecond

// Lend takes in the borrower's reports and answers its wants. The tokens are
// debited before the answer leaves: a lost answer loses tokens and never makes any.
func (l *Ledger) Lend(wants []LoanRequest, reports []LoanReport, now time.Time) []LoanGrant {
	for _, r := range reports {
		l.takeReport(r, now)
	}
	out := make([]LoanGrant, 0, len(wants))
	for _, w := range wants {
		out = append(out, l.lend(w, now))
	}
	return out
}

func (l *Ledger) lend(w LoanRequest, now time.Time) LoanGrant {
	s := l.shard(w.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a, ok := s.accounts[w.Account]
	if !ok || !(w.Tokens > 0) {
		return LoanGrant{Account: w.Account}
	}
	a.mint(now, s.minting)
	if len(a.waiters) > 0 {
		return LoanGrant{Account: w.Account}
	}
	tokens := math.Floor(min(w.Tokens, a.level-a.demand*reserveFor.Seconds(), a.lendable(s.minting))) // loans travel as whole tokens
	if tokens < 1 {
		return LoanGrant{Account: w.Account}
	}
	id := a.debit(tokens, s.minting)
	a.lent += tokens
	a.loans = append(a.loans, loan{id: id, tokens: tokens, until: LoanExpiry(now)})
	return LoanGrant{Account: w.Account, Tokens: tokens, LoanID: id}
}

func (l *Ledger) takeReport(r LoanReport, now time.Time) {
	s := l.shard(r.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a, ok := s.accounts[r.Account]
	if !ok {
		return
	}
	a.mint(now, s.minting)
	a.history.note(a.headroom(s.minting))
	if open := a.openLoan(r.LoanID); open != nil {
		a.lent -= open.take(r.Spent)
		back := open.take(r.Returned)
		a.lent -= back
		a.level += back
		a.clamp(s.minting) // the slot that it was minted for may be lost
	}
	a.refund(r.Refunded, r.LoanID, s.minting)
}

func (a *account) openLoan(id uint64) *loan {
	i := sort.Search(len(a.loans), func(i int) bool { return a.loans[i].id >= id })
	if i == len(a.loans) || a.loans[i].id != id {
		return nil
	}
	return &a.loans[i]
}

// take reduces what is open of a loan and returns by how much.
func (l *loan) take(tokens float64) float64 {
	tokens = max(0, min(tokens, l.tokens))
	l.tokens -= tokens
	return tokens
}

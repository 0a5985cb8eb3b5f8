package quota

import (
	"math"
	"sort"
	"time"
)

// loan is a granted loan with the tokens that are not reported yet. They occupy
// capacity.
type loan struct {
	id     uint64 // point in the history at which it was granted
	tokens float64
	until  time.Time
}

// LoanRequest asks for tokens of an account.
type LoanRequest struct {
	Account string
	Tokens  float64
}

// LoanGrant is the answer to a LoanRequest.
type LoanGrant struct {
	Account string
	Tokens  float64
	LoanID  uint64
}

// LoanReport says how the tokens of a loan were used since the last report.
type LoanReport struct {
	Account  string
	LoanID   uint64
	Spent    float64 // on admitted requests; they no longer occupy the lender's capacity
	Returned float64 // unspent, and no longer available to the borrower
	Refunded float64 // reported as spent before, but not used
}

// maxLentFraction is the fraction of the capacity that may be lent at a time. A restarted
// instance may use the rest at once, while tokens that its earlier incarnation lent may still
// be spent: together they do not exceed the capacity.
const maxLentFraction = 0.75

// reservePeriod is the period for which a lender keeps enough tokens for its local demand.
const reservePeriod = 200 * time.Millisecond

// Lend applies a borrower's reports and answers its requests. Tokens are debited
// before the answer is sent, so a lost answer loses tokens and never creates any.
func (l *Ledger) Lend(requests []LoanRequest, reports []LoanReport, now time.Time) []LoanGrant {
	for _, r := range reports {
		l.applyReport(r, now)
	}
	out := make([]LoanGrant, 0, len(requests))
	for _, req := range requests {
		out = append(out, l.lend(req, now))
	}
	return out
}

func (l *Ledger) lend(req LoanRequest, now time.Time) LoanGrant {
	s := l.shard(req.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a, ok := s.accounts[req.Account]
	if !ok || !(req.Tokens > 0) {
		return LoanGrant{Account: req.Account}
	}
	a.mint(now, s.minting)
	if len(a.waiters) > 0 {
		return LoanGrant{Account: req.Account}
	}
	tokens := math.Floor(min(req.Tokens, a.level-a.demandRate*reservePeriod.Seconds(), a.lendable(s.minting))) // loans are whole tokens on the wire
	if tokens < 1 {
		return LoanGrant{Account: req.Account}
	}
	id := a.debit(tokens, s.minting)
	a.lent += tokens
	a.loans = append(a.loans, loan{id: id, tokens: tokens, until: LoanExpiry(now)})
	return LoanGrant{Account: req.Account, Tokens: tokens, LoanID: id}
}

func (l *Ledger) applyReport(r LoanReport, now time.Time) {
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
	if loan := a.openLoan(r.LoanID); loan != nil {
		a.lent -= loan.reduce(r.Spent)
		back := loan.reduce(r.Returned)
		a.lent -= back
		a.level += back
		a.clamp(s.minting) // the slot that minted them may no longer be held
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

// reduce takes up to the given tokens off the open part of a loan and returns how many.
func (l *loan) reduce(tokens float64) float64 {
	tokens = max(0, min(tokens, l.tokens))
	l.tokens -= tokens
	return tokens
}

package quota

import (
	"math"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
)

const (
	demandHalfLife      = time.Second            // of the averages of demand
	borrowAheadPeriod   = time.Second            // demand for so long is borrowed ahead
	lowWater            = 0.6                    // fraction of the demand ahead below which more is borrowed
	returnMargin        = 600 * time.Millisecond // before a loan's expiry, when its unspent tokens are returned
	borrowAheadInterval = 400 * time.Millisecond // between calls that borrow ahead
	roundInterval       = 250 * time.Millisecond // between rounds for an account whose lenders are all exhausted
	minDemandRate       = 0.1                    // tokens per second below which an account counts as idle
	// minRequestsAhead is the number of requests expected within borrowAheadPeriod from which
	// tokens are borrowed ahead. With fewer, most of the tokens are returned unspent, and other
	// instances lack them in the meantime.
	minRequestsAhead = 2
)

// borrowing is a loan from a peer.
type borrowing struct {
	lender slots.Member
	loanID uint64
	tokens float64
	until  time.Time // LoanValidity after the request was sent
}

// pendingReport is a report to be sent with the next call to the lender.
type pendingReport struct {
	lender slots.Member
	LoanReport
	at time.Time
}

// reportTTL is how long a report waits for a call to its lender. After that it is
// dropped, which loses tokens.
const reportTTL = 2 * time.Second

// responseTimeout is how long an account waits for open calls before it requests
// loans again.
const responseTimeout = time.Second

func (a *account) borrowed(now time.Time) float64 {
	total := 0.0
	for i := range a.borrowings {
		if now.Before(a.borrowings[i].until) {
			total += a.borrowings[i].tokens
		}
	}
	return total
}

// spendLoans spends tokens of the loans and returns how many remain to be charged.
func (a *account) spendLoans(tokens float64, now time.Time, c *Charge) float64 {
	for i := range a.borrowings {
		b := &a.borrowings[i]
		paid := min(b.tokens, tokens)
		if paid <= 0 || !now.Before(b.until) {
			continue
		}
		b.tokens -= paid
		tokens -= paid
		c.loans = append(c.loans, loanPayment{b.lender, b.loanID, paid})
		a.report(b.lender, LoanReport{LoanID: b.loanID, Spent: paid}, now)
	}
	return tokens
}

// report merges r into the pending report of its loan.
func (a *account) report(lender slots.Member, r LoanReport, now time.Time) {
	for i := range a.reports {
		p := &a.reports[i]
		if p.lender == lender && p.LoanID == r.LoanID {
			p.Spent += r.Spent
			p.Returned += r.Returned
			p.Refunded += r.Refunded
			return
		}
	}
	r.Account = a.name
	a.reports = append(a.reports, pendingReport{lender: lender, LoanReport: r, at: now})
}

func (a *account) reportRefund(payments []loanPayment, refund float64, now time.Time) {
	for _, payment := range payments {
		back := min(refund, payment.tokens)
		if back <= 0 {
			return
		}
		refund -= back
		a.report(payment.lender, LoanReport{LoanID: payment.loanID, Refunded: back}, now)
	}
}

// Call is one message to a lender.
type Call struct {
	Lender   slots.Member
	Requests []LoanRequest
	Reports  []LoanReport
	sentAt   time.Time
}

// Plan returns the calls to make now. holders are the holders of slots in order of
// preference, without those that have an open call. A holder of several slots gets
// one call, since a report sent twice would refund twice.
func (l *Ledger) Plan(holders []slots.Member, now time.Time) []*Call {
	p := &plan{holders: holders, ahead: l.borrowAheadDue(now), now: now}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.advance(now)
		s.plan(p)
		s.mu.Unlock()
	}
	return p.out
}

// borrowAheadDue reports whether it is time to borrow ahead. All accounts do so at the
// same time, so that their requests and reports share calls.
func (l *Ledger) borrowAheadDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextBorrowAhead) {
		return false
	}
	l.nextBorrowAhead = now.Add(borrowAheadInterval)
	return true
}

func (s *shard) plan(p *plan) {
	kept := s.active[:0]
	for _, a := range s.active {
		a.mint(p.now, s.minting)
		a.dropExpired(p.now)
		if p.ahead || len(a.waiters) > 0 {
			a.borrow(p, s.minting)
		}
		if p.ahead {
			a.returnSurplus(s.minting, p.now)
		}
		a.flushReports(p)
		if a.idle() {
			a.active = false
			continue
		}
		kept = append(kept, a)
	}
	clear(s.active[len(kept):])
	s.active = kept
}

func (a *account) idle() bool {
	return a.requestedSinceTick == 0 && a.demandRate < minDemandRate && len(a.waiters) == 0 && len(a.borrowings) == 0 && len(a.reports) == 0
}

// dropExpired returns loans that are about to expire and drops expired ones.
func (a *account) dropExpired(now time.Time) {
	kept := a.borrowings[:0]
	for _, b := range a.borrowings {
		if b.tokens > 0 && now.Before(b.until) && b.until.Sub(now) < returnMargin {
			a.report(b.lender, LoanReport{LoanID: b.loanID, Returned: b.tokens}, now)
			continue
		}
		if b.tokens > 0 && now.Before(b.until) {
			kept = append(kept, b)
		}
	}
	a.borrowings = kept
}

// flushReports adds reports to calls that are made anyway. When accounts borrow ahead, it also
// makes calls for reports alone.
func (a *account) flushReports(p *plan) {
	kept := a.reports[:0]
	for _, r := range a.reports {
		if c := p.reportTo(r.lender); c != nil {
			c.Reports = append(c.Reports, r.LoanReport)
			continue
		}
		if p.now.Sub(r.at) < reportTTL {
			kept = append(kept, r)
		}
	}
	a.reports = kept
}

// measure updates the averages of demand. It is called at every tick.
func (a *account) measure(elapsed time.Duration) {
	keep := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	a.demandRate = a.demandRate*keep + a.requestedSinceTick/elapsed.Seconds()*(1-keep)
	a.admittedRate = a.admittedRate*keep + a.chargedSinceTick/elapsed.Seconds()*(1-keep)
	a.requestRate = a.requestRate*keep + float64(a.requestsSinceTick)/elapsed.Seconds()*(1-keep)
	a.requestedSinceTick, a.chargedSinceTick, a.requestsSinceTick = 0, 0, 0
}

// round is the current search for lenders. It asks the nearest lender first and
// doubles the number with each step: small amounts cost few calls, and a request of
// nearly the whole burst still reaches all lenders in time.
type round struct {
	askedLenders []slots.Member
	fanout       int       // number of lenders to ask at once
	openCalls    int       // calls without an answer yet
	exhaustedAt  time.Time // when a round last ended with too few tokens
}

// exhausted reports whether all lenders were out of tokens in a recent round.
func (r *round) exhausted(now time.Time) bool {
	return !r.exhaustedAt.IsZero() && now.Sub(r.exhaustedAt) <= 2*roundInterval
}

// borrow requests the tokens that queued requests lack. It also borrows ahead when
// less than lowWater of the expected demand is available.
func (a *account) borrow(p *plan, minting int) {
	if len(p.holders) == 0 {
		a.round.exhaustedAt = p.now
		return
	}
	if p.now.Before(a.nextBorrow) {
		return
	}
	available := a.level + a.borrowed(p.now)
	queued, ahead := a.queuedTokens(), a.aheadDemand(minting)
	if available >= queued+ahead*lowWater {
		return
	}
	a.requestLoans(queued+ahead-available, p)
}

// aheadDemand returns the tokens to borrow ahead, beyond what is minted here.
func (a *account) aheadDemand(minting int) float64 {
	if a.requestRate*borrowAheadPeriod.Seconds() < minRequestsAhead {
		return 0
	}
	return max(0, a.demandRate-a.perSlot.rate*float64(minting)) * borrowAheadPeriod.Seconds()
}

// returnSurplus returns borrowed tokens that exceed the demand. Several lenders are asked for
// more than is needed, since some have less, so the loans may add up to too much. In a traffic
// spike other instances would lack the surplus until the loans expire.
func (a *account) returnSurplus(minting int, now time.Time) {
	surplus := a.borrowed(now) - a.queuedTokens() - a.aheadDemand(minting)
	for i := len(a.borrowings) - 1; i >= 0 && surplus >= 1; i-- {
		b := &a.borrowings[i]
		back := math.Floor(min(b.tokens, surplus))
		if back < 1 || !now.Before(b.until) {
			continue
		}
		b.tokens -= back
		surplus -= back
		a.report(b.lender, LoanReport{LoanID: b.loanID, Returned: back}, now)
	}
}

// requestLoans spreads the missing tokens over the round's lenders. Several lenders are each
// asked for twice an even fraction, since some will have less.
func (a *account) requestLoans(missing float64, p *plan) {
	fanout := max(1, a.round.fanout, a.minLenders(missing))
	tokens := missing
	if fanout > 1 {
		tokens = min(missing, 2*missing/float64(fanout))
	}
	lenders := a.candidates(p)
	lenders = lenders[:min(len(lenders), fanout)]
	for _, lender := range lenders {
		c := p.call(lender)
		c.Requests = append(c.Requests, LoanRequest{Account: a.name, Tokens: math.Ceil(tokens)})
	}
	a.round.askedLenders = append(a.round.askedLenders, lenders...)
	a.round.openCalls = len(lenders)
	a.nextBorrow = p.now.Add(responseTimeout)
	if a.round.openCalls == 0 {
		a.endRound(p.now)
	}
}

// minLenders returns how many lenders with full buckets it takes to lend the tokens. A round
// starts with no fewer, since one round trip to another region takes most of the time that a
// request may wait.
func (a *account) minLenders(tokens float64) int {
	if a.doc == nil || a.minLenderShare <= 0 {
		return 1
	}
	return int(min(math.Ceil(tokens/(maxLentFraction*a.minLenderShare*a.doc.Burst)), float64(len(a.lenders))))
}

func (a *account) endRound(now time.Time) {
	a.round = round{exhaustedAt: now}
	a.nextBorrow = now.Add(roundInterval)
}

// CompleteCall applies a lender's answer, nil if there was none. Loans expire
// LoanValidity after the call was sent.
func (l *Ledger) CompleteCall(c *Call, answer []LoanGrant, now time.Time) {
	grants := make(map[string]LoanGrant, len(answer))
	for _, grant := range answer {
		grants[grant.Account] = grant
	}
	for _, req := range c.Requests {
		l.applyGrant(c, grants[req.Account], req, now)
	}
}

func (l *Ledger) applyGrant(c *Call, grant LoanGrant, req LoanRequest, now time.Time) {
	s := l.shard(req.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a := s.account(req.Account, now)
	a.mint(now, s.minting)
	a.recordLenderResult(c.Lender, grant.Tokens > 0, now)
	if grant.Tokens > 0 {
		a.borrowings = append(a.borrowings, borrowing{
			lender: c.Lender, loanID: grant.LoanID, tokens: grant.Tokens, until: c.sentAt.Add(LoanValidity),
		})
	}
	s.activate(a)
	a.serveWaiters(s.minting, now)
	if a.round.openCalls--; a.round.openCalls > 0 {
		return
	}
	a.nextBorrow = time.Time{}
	if grant.Tokens >= req.Tokens {
		a.round = round{}
		return
	}
	a.round.fanout = 2 * max(1, a.round.fanout)
	if len(a.waiters) > 0 {
		l.signalBorrow()
	}
}

// ReturnAll returns every loan, for a graceful shutdown. The caller has to make the
// returned calls.
func (l *Ledger) ReturnAll(now time.Time) []*Call {
	p := &plan{ahead: true, reportToAll: true, now: now}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, a := range s.active {
			for _, b := range a.borrowings {
				a.report(b.lender, LoanReport{LoanID: b.loanID, Returned: b.tokens}, now)
			}
			a.borrowings = nil
			a.flushReports(p)
		}
		s.mu.Unlock()
	}
	return p.out
}

// Owes reports whether loans of any incarnation of a lender may still be spent here.
func (l *Ledger) Owes(lender string, now time.Time) bool {
	for i := range l.shards {
		if l.shards[i].owes(lender, now) {
			return true
		}
	}
	return false
}

func (s *shard) owes(lender string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		for _, b := range a.borrowings {
			if b.lender.ID == lender && b.tokens > 0 && now.Before(b.until) {
				return true
			}
		}
	}
	return false
}

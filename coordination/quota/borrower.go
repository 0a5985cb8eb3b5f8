package quota

import (
	"math"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
)

const (
	demandHalfLife = time.Second            // of the demand average
	demandFor      = time.Second            // demand that is borrowed ahead
	lowWater       = 0.6                    // part of that below which more is borrowed
	returnBefore   = 600 * time.Millisecond // the end of a loan, when what is left goes back
	aheadPause     = 400 * time.Millisecond // between calls for tokens that no request waits for
	askPause       = 250 * time.Millisecond // between rounds for an account for which all lenders were dry
	leastDemand    = 0.1                    // tokens per second below which an account counts as idle
	// leastAhead is how many requests are expected in demandFor where tokens are borrowed ahead:
	// those borrowed for fewer mostly go back unspent, and are missing elsewhere meanwhile.
	leastAhead = 2
)

// borrowing is a loan from a peer.
type borrowing struct {
	lender slots.Member
	loan   uint64
	tokens float64
	until  time.Time // counted from when it was asked for
}

// pendingReport waits for the next call to the lender. A report that is not
// delivered in reportFor is dropped, which loses tokens.
type pendingReport struct {
	lender slots.Member
	LoanReport
	at time.Time
}

const reportFor = 2 * time.Second

// answerTimeout is when an account asks again though an answer is open.
const answerTimeout = time.Second

func (a *account) borrowed(now time.Time) float64 {
	total := 0.0
	for i := range a.borrowings {
		if now.Before(a.borrowings[i].until) {
			total += a.borrowings[i].tokens
		}
	}
	return total
}

// spendLoans pays from the loans and returns what is left to pay.
func (a *account) spendLoans(tokens float64, now time.Time, c *Charge) float64 {
	for i := range a.borrowings {
		b := &a.borrowings[i]
		paid := min(b.tokens, tokens)
		if paid <= 0 || !now.Before(b.until) {
			continue
		}
		b.tokens -= paid
		tokens -= paid
		c.loans = append(c.loans, loanPart{b.lender, b.loan, paid})
		a.report(b.lender, LoanReport{LoanID: b.loan, Spent: paid}, now)
	}
	return tokens
}

// report adds to what the lender is told, one report for each loan.
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

func (a *account) reportRefund(parts []loanPart, refund float64, now time.Time) {
	for _, part := range parts {
		back := min(refund, part.tokens)
		if back <= 0 {
			return
		}
		refund -= back
		a.report(part.lender, LoanReport{LoanID: part.loan, Refunded: back}, now)
	}
}

// Call is one message to a lender.
type Call struct {
	Lender   slots.Member
	Requests []LoanRequest
	Reports  []LoanReport
	asked    time.Time
}

// Plan returns the calls to make now. holders are the holders of slots in the
// order in which they are asked, without those to whom a call is still open. One
// that holds several slots gets one call: reports sent twice would refund twice.
func (l *Ledger) Plan(holders []slots.Member, now time.Time) []*Call {
	p := &plan{holders: holders, ahead: l.aheadDue(now), now: now}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.advance(now)
		s.plan(p)
		s.mu.Unlock()
	}
	return p.out
}

// aheadDue tells whether it is time to borrow ahead. All accounts do so at the
// same time, so that their wants and reports share calls.
func (l *Ledger) aheadDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.nextAhead) {
		return false
	}
	l.nextAhead = now.Add(aheadPause)
	return true
}

func (s *shard) plan(p *plan) {
	kept := s.active[:0]
	for _, a := range s.active {
		a.mint(p.now, s.minting)
		a.dropExpired(p.now)
		if p.ahead || len(a.waiters) > 0 {
			a.want(p, s.minting)
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
	return a.asked == 0 && a.demand < leastDemand && len(a.waiters) == 0 && len(a.borrowings) == 0 && len(a.reports) == 0
}

// dropExpired returns loans near their end and forgets those past it.
func (a *account) dropExpired(now time.Time) {
	kept := a.borrowings[:0]
	for _, b := range a.borrowings {
		if b.tokens > 0 && now.Before(b.until) && b.until.Sub(now) < returnBefore {
			a.report(b.lender, LoanReport{LoanID: b.loan, Returned: b.tokens}, now)
			continue
		}
		if b.tokens > 0 && now.Before(b.until) {
			kept = append(kept, b)
		}
	}
	a.borrowings = kept
}

// flushReports hands reports to calls that are made anyway, and when accounts borrow ahead
// also to calls of their own.
func (a *account) flushReports(p *plan) {
	kept := a.reports[:0]
	for _, r := range a.reports {
		if c := p.reportTo(r.lender); c != nil {
			c.Reports = append(c.Reports, r.LoanReport)
			continue
		}
		if p.now.Sub(r.at) < reportFor {
			kept = append(kept, r)
		}
	}
	a.reports = kept
}

// measure updates the demand average; it is called at every tick.
func (a *account) measure(elapsed time.Duration) {
	keep := math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	a.demand = a.demand*keep + a.asked/elapsed.Seconds()*(1-keep)
	a.admitted = a.admitted*keep + a.charged/elapsed.Seconds()*(1-keep)
	a.often = a.often*keep + float64(a.requests)/elapsed.Seconds()*(1-keep)
	a.asked, a.charged, a.requests = 0, 0, 0
}

// round is the present search for lenders. It asks the nearest one first, then
// twice as many each time, so that few are bothered for a little and a request of
// nearly the whole burst still finds all of them in time.
type round struct {
	asked       []slots.Member
	fan         int       // lenders asked at once
	open        int       // answers to come
	exhaustedAt time.Time // when a round last ended with too little
}

// exhausted tells whether all lenders were found dry just now.
func (r *round) exhausted(now time.Time) bool {
	return !r.exhaustedAt.IsZero() && now.Sub(r.exhaustedAt) <= 2*askPause
}

// want asks lenders for what the queue lacks, and for a second's demand ahead
// when less than half of it is left.
func (a *account) want(p *plan, minting int) {
	if len(p.holders) == 0 {
		a.round.exhaustedAt = p.now
		return
	}
	if p.now.Before(a.nextAsk) {
		return
	}
	have := a.level + a.borrowed(p.now)
	queued, ahead := a.queued(), a.neededAhead(minting)
	if have >= queued+ahead*lowWater {
		return
	}
	a.ask(queued+ahead-have, p)
}

// neededAhead is what is borrowed for requests to come.
func (a *account) neededAhead(minting int) float64 {
	if a.often*demandFor.Seconds() < leastAhead {
		return 0
	}
	return max(0, a.demand-a.minted.rate*float64(minting)) * demandFor.Seconds()
}

// returnSurplus gives back what nobody here waits for. Lenders found to have less than was asked
// of them are made up for by others, so more comes than is needed; in a peak it is missing
// elsewhere for as long as loans last.
func (a *account) returnSurplus(minting int, now time.Time) {
	surplus := a.borrowed(now) - a.queued() - a.neededAhead(minting)
	for i := len(a.borrowings) - 1; i >= 0 && surplus >= 1; i-- {
		b := &a.borrowings[i]
		back := math.Floor(min(b.tokens, surplus))
		if back < 1 || !now.Before(b.until) {
			continue
		}
		b.tokens -= back
		surplus -= back
		a.report(b.lender, LoanReport{LoanID: b.loan, Returned: back}, now)
	}
}

// ask spreads what is missing over the round's lenders. Several are asked for
// twice their even part, since some will have less.
func (a *account) ask(missing float64, p *plan) {
	fan := max(1, a.round.fan, a.leastLenders(missing))
	tokens := missing
	if fan > 1 {
		tokens = min(missing, 2*missing/float64(fan))
	}
	lenders := a.askable(p)
	lenders = lenders[:min(len(lenders), fan)]
	for _, lender := range lenders {
		c := p.call(lender)
		c.Requests = append(c.Requests, LoanRequest{Account: a.name, Tokens: math.Ceil(tokens)})
	}
	a.round.asked = append(a.round.asked, lenders...)
	a.round.open = len(lenders)
	a.nextAsk = p.now.Add(answerTimeout)
	if a.round.open == 0 {
		a.endRound(p.now)
	}
}

// leastLenders is how many lenders with full buckets it takes to lend some tokens. Fewer need
// not be asked first: each round to another region takes most of the time that a request waits.
func (a *account) leastLenders(tokens float64) int {
	if a.doc == nil || a.lender <= 0 {
		return 1
	}
	return int(min(math.Ceil(tokens/(mostLent*a.lender*a.doc.Burst)), float64(len(a.lenders))))
}

func (a *account) endRound(now time.Time) {
	a.round = round{exhaustedAt: now}
	a.nextAsk = now.Add(askPause)
}

// CompleteCall takes in a lender's answer, nil when none came. Loans count from when
// they were asked for.
func (l *Ledger) CompleteCall(c *Call, lent []LoanGrant, now time.Time) {
	got := make(map[string]LoanGrant, len(lent))
	for _, item := range lent {
		got[item.Account] = item
	}
	for _, w := range c.Requests {
		l.takeLoan(c, got[w.Account], w, now)
	}
}

func (l *Ledger) takeLoan(c *Call, item LoanGrant, w LoanRequest, now time.Time) {
	s := l.shard(w.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a := s.account(w.Account, now)
	a.mint(now, s.minting)
	a.heard(c.Lender, item.Tokens > 0, now)
	if item.Tokens > 0 {
		a.borrowings = append(a.borrowings, borrowing{
			lender: c.Lender, loan: item.LoanID, tokens: item.Tokens, until: c.asked.Add(LoanValidity),
		})
	}
	s.activate(a)
	a.serveWaiters(s.minting, now)
	if a.round.open--; a.round.open > 0 {
		return
	}
	a.nextAsk = time.Time{}
	if item.Tokens >= w.Tokens {
		a.round = round{}
		return
	}
	a.round.fan = 2 * max(1, a.round.fan)
	if len(a.waiters) > 0 {
		l.signal()
	}
}

// ReturnAll gives every loan back, for a planned stop. The calls have to be made.
func (l *Ledger) ReturnAll(now time.Time) []*Call {
	p := &plan{ahead: true, anyone: true, now: now}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, a := range s.active {
			for _, b := range a.borrowings {
				a.report(b.lender, LoanReport{LoanID: b.loan, Returned: b.tokens}, now)
			}
			a.borrowings = nil
			a.flushReports(p)
		}
		s.mu.Unlock()
	}
	return p.out
}

// Owes tells whether loans of a lender may still be spent here, whatever its
// incarnation.
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

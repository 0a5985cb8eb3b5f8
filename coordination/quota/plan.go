package quota

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
)

// plan collects the calls of one scan of the accounts. Most scans find nothing to request or
// report, so the structures whose cost grows with the holders are built on first use.
type plan struct {
	holders     []slots.Member // that may be called, in order of preference
	reportToAll bool           // reports also go to lenders that are not among the holders
	ahead       bool           // accounts borrow ahead, and reports are due
	now         time.Time

	holderSet map[slots.Member]bool // of holders
	calls     map[slots.Member]*Call
	out       []*Call
}

func (p *plan) isHolder(m slots.Member) bool {
	if p.holderSet == nil {
		p.holderSet = make(map[slots.Member]bool, len(p.holders))
		for _, h := range p.holders {
			p.holderSet[h] = true
		}
	}
	return p.holderSet[m]
}

// call returns the call to a lender.
func (p *plan) call(lender slots.Member) *Call {
	c := p.calls[lender]
	if c != nil {
		return c
	}
	if p.calls == nil {
		p.calls = make(map[slots.Member]*Call)
	}
	c = &Call{Lender: lender, sentAt: p.now}
	p.calls[lender] = c
	p.out = append(p.out, c)
	return c
}

// reportTo returns the call that a report to a lender is added to, or nil if none is made now.
func (p *plan) reportTo(lender slots.Member) *Call {
	if c := p.calls[lender]; c != nil {
		return c
	}
	if p.ahead && (p.reportToAll || p.isHolder(lender)) {
		return p.call(lender)
	}
	return nil
}

// exhaustedTTL is how long a lender that had no tokens of an account is asked last. In a
// region's traffic spike all near lenders are out of tokens, and asking them in turn each time
// would use up the time that a request may wait.
const exhaustedTTL = 800 * time.Millisecond

// exhaustedLender is a lender that had no tokens of an account.
type exhaustedLender struct {
	lender slots.Member
	until  time.Time
}

// recordLenderResult records whether a lender had tokens of the account.
func (a *account) recordLenderResult(lender slots.Member, had bool, now time.Time) {
	a.exhausted = slices.DeleteFunc(a.exhausted, func(d exhaustedLender) bool { return d.lender == lender || !now.Before(d.until) })
	if !had {
		a.exhausted = append(a.exhausted, exhaustedLender{lender, now.Add(exhaustedTTL)})
	}
}

func (a *account) isExhausted(lender slots.Member, now time.Time) bool {
	return slices.ContainsFunc(a.exhausted, func(d exhaustedLender) bool { return d.lender == lender && now.Before(d.until) })
}

// candidates returns the lenders of the account that were not asked in this round, with
// exhausted ones last.
func (a *account) candidates(p *plan) []slots.Member {
	var available, exhausted []slots.Member
	for _, lender := range p.holders {
		if !a.isLender(lender.ID) || slices.Contains(a.round.askedLenders, lender) || slices.Contains(available, lender) || slices.Contains(exhausted, lender) {
			continue
		}
		if a.isExhausted(lender, p.now) {
			exhausted = append(exhausted, lender)
			continue
		}
		available = append(available, lender)
	}
	return append(available, exhausted...)
}

func (a *account) isLender(id string) bool {
	if a.lenders == nil {
		return true
	}
	_, ok := slices.BinarySearch(a.lenders, id)
	return ok
}

package quota

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
)

// plan collects the calls of one look at the accounts. Most looks find nothing to ask and
// nothing to report, so what costs something for each holder is made when it is first needed.
type plan struct {
	holders []slots.Member // may be called, in the order in which they are asked
	anyone  bool           // reports go to those too that are not among the holders
	ahead   bool           // accounts borrow ahead, and reports are due
	now     time.Time

	known map[slots.Member]bool // the holders
	calls map[slots.Member]*Call
	out   []*Call
}

func (p *plan) isHolder(m slots.Member) bool {
	if p.known == nil {
		p.known = make(map[slots.Member]bool, len(p.holders))
		for _, h := range p.holders {
			p.known[h] = true
		}
	}
	return p.known[m]
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
	c = &Call{Lender: lender, asked: p.now}
	p.calls[lender] = c
	p.out = append(p.out, c)
	return c
}

// reportTo returns the call that takes a report to a lender now, nil when none is made.
func (p *plan) reportTo(lender slots.Member) *Call {
	if c := p.calls[lender]; c != nil {
		return c
	}
	if p.ahead && (p.anyone || p.isHolder(lender)) {
		return p.call(lender)
	}
	return nil
}

// dryFor is how long a lender that had nothing of an account is asked last. In a region's
// peak all near lenders are short: asked in turn each time, they would take up the time that
// a request may wait.
const dryFor = 800 * time.Millisecond

// dryLender is one that had nothing of an account.
type dryLender struct {
	lender slots.Member
	until  time.Time
}

// heard takes in whether a lender had tokens of the account.
func (a *account) heard(lender slots.Member, had bool, now time.Time) {
	a.dry = slices.DeleteFunc(a.dry, func(d dryLender) bool { return d.lender == lender || !now.Before(d.until) })
	if !had {
		a.dry = append(a.dry, dryLender{lender, now.Add(dryFor)})
	}
}

func (a *account) isDry(lender slots.Member, now time.Time) bool {
	return slices.ContainsFunc(a.dry, func(d dryLender) bool { return d.lender == lender && now.Before(d.until) })
}

// askable returns those who may lend tokens of the account and were not asked in this round,
// those who just had none last.
func (a *account) askable(p *plan) []slots.Member {
	var able, dry []slots.Member
	for _, m := range p.holders {
		if !a.lentBy(m.ID) || slices.Contains(a.round.asked, m) || slices.Contains(able, m) || slices.Contains(dry, m) {
			continue
		}
		if a.isDry(m, p.now) {
			dry = append(dry, m)
			continue
		}
		able = append(able, m)
	}
	return append(able, dry...)
}

func (a *account) lentBy(id string) bool {
	if a.lenders == nil {
		return true
	}
	_, ok := slices.BinarySearch(a.lenders, id)
	return ok
}

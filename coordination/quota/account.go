package quota

import (
	"time"

	"github.com/basilroute/basilroute/service"
)

// minted is what one slot mints of an account.
type minted struct {
	rate  float64 // tokens per second
	burst float64 // tokens
}

// account is one account's state on this instance.
type account struct {
	name    string
	doc     *service.Account
	minted  minted
	even    float64  // fraction of the rate that a slot would have if all had the same
	lends   bool     // tokens minted here may be lent
	lender  float64  // see Part.Lender
	lenders []string // see Part.Lenders
	dry     []dryLender
	// share is the fraction of the account's rate and burst that one slot has.
	// A larger one waits in grown until those who shrink have acknowledged.
	share, grown float64
	// provisional is set while a predecessor's loans may be unspent, see
	// Ledger.SetProvisional.
	provisional bool
	grownAt     int64     // configuration revision to be acknowledged; 0 when nothing waits
	growFrom    time.Time // when it is in force, once acknowledged

	level   float64 // minted tokens
	at      time.Time
	lent    float64 // tokens of loans that are neither reported nor expired
	loans   []loan  // lent, oldest first
	history history

	borrowings []borrowing // oldest first
	reports    []pendingReport
	asked      float64   // tokens asked for since the last tick
	demand     float64   // average of asked, tokens per second
	requests   int       // that asked since the last tick
	often      float64   // average of requests, in a second
	charged    float64   // tokens charged since the last tick
	admitted   float64   // average of charged, tokens per second
	toldNext   time.Time // the time to come back that was told last, and what stands behind it
	waiters    []*Waiter
	round      round
	nextAsk    time.Time // not before
	active     bool
}

func (a *account) capacity(minting int) float64 { return a.minted.burst * float64(minting) }

// headroom is how much more the bucket and open loans could hold.
func (a *account) headroom(minting int) float64 {
	return max(0, a.capacity(minting)-a.level-a.lent)
}

// mint brings the bucket to now, one expired loan after the other: what a loan
// filled before it expired could not be minted then.
func (a *account) mint(now time.Time, minting int) {
	for len(a.loans) > 0 && !now.Before(a.loans[0].until) {
		a.mintTo(a.loans[0].until, minting)
		a.history.note(a.headroom(minting))
		a.lent -= a.loans[0].tokens
		a.loans = a.loans[1:]
	}
	if len(a.loans) == 0 {
		a.lent = 0 // without this, rounding would add up
	}
	a.mintTo(now, minting)
}

func (a *account) mintTo(now time.Time, minting int) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	a.at = now
	a.level += min(elapsed.Seconds()*a.minted.rate*float64(minting), a.headroom(minting))
}

// clamp drops what exceeds the capacity of a smaller number of slots or of a
// smaller part. Open loans count first: they cannot be called back.
func (a *account) clamp(minting int) {
	a.level = max(0, min(a.level, a.capacity(minting)-a.lent))
	a.history.note(a.headroom(minting))
}

func (a *account) charge(tokens float64, now time.Time, minting int) (Charge, bool) {
	if a.level+a.borrowed(now) < tokens {
		return Charge{}, false
	}
	c := Charge{Account: a.name, Tokens: tokens}
	a.charged += tokens
	c.own = a.spendLoans(tokens, now, &c)
	if c.own > 0 {
		c.seq = a.debit(c.own, minting)
	}
	return c, true
}

// debit takes tokens from the bucket. The headroom is noted before: it is
// smallest there.
func (a *account) debit(tokens float64, minting int) (seq uint64) {
	seq = a.history.note(a.headroom(minting))
	a.level = max(0, a.level-tokens)
	return seq
}

// refund gives back an overestimate of a charge. Had the charge been right from
// the start, the bucket would be fuller by at most the smallest headroom since;
// more would let tokens through that the capacity had cut off, and a full bucket
// spent twice would exceed the burst.
func (a *account) refund(tokens float64, seq uint64, minting int) {
	back := min(tokens, a.history.since(seq, a.headroom(minting)))
	if back <= 0 {
		return
	}
	a.level += back
	a.history.raise(back)
}

// setPart takes in a document and what is held of it. A smaller share is in force at once.
func (a *account) setPart(doc *service.Account, part Allocation, revision int64, minting int) {
	first := a.doc == nil
	a.history.note(a.headroom(minting))
	a.doc, a.even = doc, part.EvenShare
	a.lends, a.lender, a.lenders = part.Lends, part.MinLenderShare, part.Lenders
	switch {
	case first, part.Share <= a.share:
		a.share, a.grownAt = part.Share, 0
	default:
		a.grown, a.grownAt, a.growFrom = part.Share, revision, time.Time{}
	}
	a.apply(minting)
}

func (a *account) apply(minting int) {
	a.minted = minted{rate: a.doc.Rate * a.share, burst: a.doc.Burst * a.share}
	if a.provisional && a.lends {
		a.minted.burst *= 1 - mostLent
	}
	a.clamp(minting)
}

// setProvisional changes the capacity of the bucket.
func (a *account) setProvisional(provisional bool, minting int) {
	a.history.note(a.headroom(minting))
	a.provisional = provisional
	if a.doc != nil {
		a.apply(minting)
	}
}

// lendable is how much more may be lent.
func (a *account) lendable(minting int) float64 {
	if a.provisional {
		return 0
	}
	return max(0, mostLent*a.capacity(minting)-a.lent)
}

// share returns the fraction of an account's rate and burst that one slot of the
// failure domain has. Without shares in its document the account's part is even
// over the domains where it may run.
func share(doc *service.Account, fleet *service.Fleet, domain string) float64 {
	if fleet == nil || fleet.Slots.PerDomain <= 0 {
		return 0
	}
	total, own := 0.0, 0.0
	add := func(name string, weight float64) {
		total += weight
		if name == domain {
			own = weight
		}
	}
	if len(doc.Shares) > 0 {
		for name, weight := range doc.Shares {
			add(name, float64(weight))
		}
	} else {
		for region, r := range fleet.Regions {
			if doc.Home != "" && doc.Home != region {
				continue
			}
			for _, name := range r.Domains {
				add(name, 1)
			}
		}
	}
	if total <= 0 {
		return 0
	}
	return own / total / float64(fleet.Slots.PerDomain)
}

package quota

import (
	"time"

	"github.com/basilroute/basilroute/service"
)

// slotQuota is the rate and burst of an account that one slot mints.
type slotQuota struct {
	rate  float64 // tokens per second
	burst float64 // tokens
}

// account is one account's state on this instance.
type account struct {
	name           string
	doc            *service.Account
	perSlot        slotQuota
	evenShare      float64  // see Allocation.EvenShare
	lends          bool     // tokens minted here may be lent
	minLenderShare float64  // see Allocation.MinLenderShare
	lenders        []string // see Allocation.Lenders
	exhausted      []exhaustedLender
	// share is the fraction of the account's rate and burst that one slot mints.
	// A larger one is kept in pendingShare until the instances whose share shrinks
	// have acknowledged the change.
	share, pendingShare float64
	// provisional is set while loans of an earlier incarnation may be unspent,
	// see Ledger.SetProvisional.
	provisional     bool
	pendingRevision int64     // configuration revision to be acknowledged; 0 without a pending share
	pendingStart    time.Time // when pendingShare takes effect; zero until it is acknowledged

	level       float64   // tokens in the bucket
	mintedUntil time.Time // the time that level refers to
	lent        float64   // tokens of loans that are neither reported nor expired
	loans       []loan    // oldest first
	history     history

	borrowings         []borrowing // oldest first
	reports            []pendingReport
	requestedSinceTick float64 // tokens
	demandRate         float64 // average of requested tokens, per second
	requestsSinceTick  int
	requestRate        float64   // average of requests, per second
	chargedSinceTick   float64   // tokens
	admittedRate       float64   // average of charged tokens, per second
	nextRetry          time.Time // earliest Retry-After time of the next refusal, see retryAfter
	waiters            []*Waiter
	round              round
	nextBorrow         time.Time // earliest time of the next request for loans
	active             bool
}

func (a *account) capacity(minting int) float64 { return a.perSlot.burst * float64(minting) }

// headroom returns how many more tokens fit into the capacity beside the bucket
// and the open loans.
func (a *account) headroom(minting int) float64 {
	return max(0, a.capacity(minting)-a.level-a.lent)
}

// mint brings the bucket up to now in steps that end at each loan's expiry: a
// loan occupies capacity until it expires, and nothing is minted into that part.
func (a *account) mint(now time.Time, minting int) {
	for len(a.loans) > 0 && !now.Before(a.loans[0].until) {
		a.mintTo(a.loans[0].until, minting)
		a.history.note(a.headroom(minting))
		a.lent -= a.loans[0].tokens
		a.loans = a.loans[1:]
	}
	if len(a.loans) == 0 {
		a.lent = 0 // prevents rounding errors from adding up
	}
	a.mintTo(now, minting)
}

func (a *account) mintTo(now time.Time, minting int) {
	elapsed := now.Sub(a.mintedUntil)
	if elapsed <= 0 {
		return
	}
	a.mintedUntil = now
	a.level += min(elapsed.Seconds()*a.perSlot.rate*float64(minting), a.headroom(minting))
}

// clamp drops tokens beyond the capacity, after the number of slots or the share
// has shrunk. Open loans count first since they cannot be recalled.
func (a *account) clamp(minting int) {
	a.level = max(0, min(a.level, a.capacity(minting)-a.lent))
	a.history.note(a.headroom(minting))
}

// charge debits a request from loans and the bucket, or fails if they have too few tokens.
func (a *account) charge(tokens float64, now time.Time, minting int) (Charge, bool) {
	if a.level+a.borrowed(now) < tokens {
		return Charge{}, false
	}
	c := Charge{Account: a.name, Tokens: tokens}
	a.chargedSinceTick += tokens
	c.fromBucket = a.spendLoans(tokens, now, &c)
	if c.fromBucket > 0 {
		c.seq = a.debit(c.fromBucket, minting)
	}
	return c, true
}

// debit takes tokens from the bucket. The headroom is recorded before that, when
// it is smallest.
func (a *account) debit(tokens float64, minting int) (seq uint64) {
	seq = a.history.note(a.headroom(minting))
	a.level = max(0, a.level-tokens)
	return seq
}

// refund credits the bucket with the part of a charge that was not used. With the
// right charge from the start, the bucket would be fuller by at most the smallest
// headroom since then. A larger refund would restore tokens that the capacity had
// cut off, so that a full bucket could be spent twice, beyond the burst.
func (a *account) refund(tokens float64, seq uint64, minting int) {
	back := min(tokens, a.history.since(seq, a.headroom(minting)))
	if back <= 0 {
		return
	}
	a.level += back
	a.history.raise(back)
}

// setAllocation applies a document and its allocation. A smaller share is in force
// at once, a larger one becomes pending.
func (a *account) setAllocation(doc *service.Account, alloc Allocation, revision int64, minting int) {
	first := a.doc == nil
	a.history.note(a.headroom(minting))
	a.doc, a.evenShare = doc, alloc.EvenShare
	a.lends, a.minLenderShare, a.lenders = alloc.Lends, alloc.MinLenderShare, alloc.Lenders
	switch {
	case first, alloc.Share <= a.share:
		a.share, a.pendingRevision = alloc.Share, 0
	default:
		a.pendingShare, a.pendingRevision, a.pendingStart = alloc.Share, revision, time.Time{}
	}
	a.apply(minting)
}

// apply recomputes the slot quota from the document and the share.
func (a *account) apply(minting int) {
	a.perSlot = slotQuota{rate: a.doc.Rate * a.share, burst: a.doc.Burst * a.share}
	if a.provisional && a.lends {
		a.perSlot.burst *= 1 - maxLentFraction
	}
	a.clamp(minting)
}

// setProvisional sets or clears the provisional state, which changes the bucket's capacity.
func (a *account) setProvisional(provisional bool, minting int) {
	a.history.note(a.headroom(minting))
	a.provisional = provisional
	if a.doc != nil {
		a.apply(minting)
	}
}

// lendable returns how many more tokens may be lent.
func (a *account) lendable(minting int) float64 {
	if a.provisional {
		return 0
	}
	return max(0, maxLentFraction*a.capacity(minting)-a.lent)
}

// share returns the fraction of an account's rate and burst that one slot of the
// failure domain mints. Without shares in its document the account is divided
// evenly over the domains of its home region, or over all domains if it has none.
func share(doc *service.Account, fleet *service.Fleet, domain string) float64 {
	if fleet == nil || fleet.Slots.PerDomain <= 0 {
		return 0
	}
	total, local := 0.0, 0.0
	add := func(name string, weight float64) {
		total += weight
		if name == domain {
			local = weight
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
	return local / total / float64(fleet.Slots.PerDomain)
}

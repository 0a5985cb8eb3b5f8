package quota

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

// oneSlot is a fleet of two domains with one slot each.
var oneSlot = &service.Fleet{
	Regions: map[string]service.Region{"r": {Domains: []string{"d0", "d1"}}},
	Slots:   service.Slots{PerDomain: 1},
}

var (
	start    = time.Unix(1000, 0)
	lenderID = slots.Member{ID: "lender"}
)

const testRate, testBurst = 10.0, 1000.0

// newHolderLedger returns the ledger of an instance that holds the only slot of domain d0,
// which has the account's whole rate and burst.
func newHolderLedger(epoch uint64, now time.Time) *Ledger {
	l := New("d0")
	l.Update([]*service.Account{acme(testRate, testBurst, map[string]int64{"d0": 1})}, oneSlot, 1, now)
	l.SetHeldSlots([]slots.HeldSlot{{Slot: 0, Epoch: epoch, Until: now.Add(time.Hour)}}, now)
	return l
}

// newFullLedger returns such a ledger, and a time at which its bucket is full.
func newFullLedger() (*Ledger, time.Time) {
	l := newHolderLedger(1, start)
	return l, start.Add(200 * time.Second)
}

// admitAll admits requests of one token until one is not admitted, and returns their number.
func admitAll(l *Ledger, now time.Time) float64 {
	total := 0.0
	for {
		if _, ok := l.Admit("acme", 1, now); !ok {
			return total
		}
		total++
	}
}

func checkBound(t *testing.T, got, bound float64) {
	t.Helper()
	if got > bound+1e-6 {
		t.Errorf("%.1f tokens admitted, the bound is %.1f", got, bound)
	}
}

// An instance lends as much of its bucket as it may and loses its slot. If the new
// holder minted at once, its bucket and the open loan together could exceed the
// burst, so it has to wait until the loan has expired.
func TestNewHolderWaitsForOldLoans(t *testing.T) {
	old, now := newFullLedger()
	lent := old.Lend([]LoanRequest{{"acme", testBurst}}, nil, now)[0].Tokens
	old.SetHeldSlots(nil, now)
	next := newHolderLedger(2, now)
	later := now.Add(LoanValidity - time.Millisecond)
	checkBound(t, lent+admitAll(next, later)+admitAll(old, later), testBurst)
	if got := admitAll(next, now.Add(10*time.Second)); got < testRate {
		t.Errorf("the new holder minted %.1f tokens in ten seconds", got)
	}
}

// A holder loses its slot with a full bucket. The next holder mints into its own
// bucket, so the old one has to be emptied.
func TestLostSlotDropsTokens(t *testing.T) {
	l, now := newFullLedger()
	l.SetHeldSlots(nil, now)
	checkBound(t, admitAll(l, now), 0)
}

// The grant of a paused process expires. When it resumes, another instance may hold
// the slot, so it must not admit anything from its bucket.
func TestPausedHolderAdmitsNothing(t *testing.T) {
	l := newHolderLedger(1, start)
	checkBound(t, admitAll(l, start.Add(2*time.Hour)), 0)
}

// A request is charged far too much, the bucket fills up again, and then the
// request settles. With a full refund the burst could be spent twice at once, so
// the refund must exclude what the capacity had cut off.
func TestRefundEndsAtCapacity(t *testing.T) {
	l, now := newFullLedger()
	c, ok := l.Admit("acme", testBurst, now)
	if !ok {
		t.Fatal("a full bucket refused its burst")
	}
	now = now.Add(100 * time.Second) // full again
	spent := admitAll(l, now)
	l.Settle(c, 0, now)
	checkBound(t, spent+admitAll(l, now), testBurst)
}

// A short request is overcharged and settles before the bucket is full. The refund
// has to be complete, or accounts within their rate would be refused.
func TestRefundWithinCapacityIsComplete(t *testing.T) {
	l, now := newFullLedger()
	c, _ := l.Admit("acme", testBurst, now)
	l.Settle(c, 100, now.Add(time.Second))
	if got := admitAll(l, now.Add(time.Second)); got < testBurst-100 {
		t.Errorf("%.0f tokens left after a refund", got)
	}
}

// A loan is spent just before it expires, and not reported. It occupied the lender's
// capacity until then, so the lender must not have minted in its place.
func TestOpenLoanFillsCapacity(t *testing.T) {
	l, now := newFullLedger()
	lent := l.Lend([]LoanRequest{{"acme", testBurst}}, nil, now)[0].Tokens
	expired := LoanExpiry(now)
	checkBound(t, lent+admitAll(l, expired), testBurst)
	checkBound(t, lent+admitAll(l, expired.Add(time.Second)), testBurst+2*testRate)
}

// The share of one domain shrinks and that of another grows. The first one may have
// lent from its old share just before it received the document, so the larger share
// takes effect only when all have the document and such loans have expired.
func TestGrownShareWaits(t *testing.T) {
	l, now := newFullLedger()
	shares := func(d0, d1 int64) *service.Account {
		return acme(testRate, testBurst, map[string]int64{"d0": d0, "d1": d1})
	}
	l.Update([]*service.Account{shares(1, 9)}, oneSlot, 2, now)
	checkBound(t, l.Available("acme", now), testBurst/10)
	l.Update([]*service.Account{shares(1, 1)}, oneSlot, 3, now)
	now = now.Add(time.Hour / 2)
	l.Acknowledged(2, now)
	now = now.Add(time.Minute)
	l.Acknowledged(2, now)
	checkBound(t, l.Available("acme", now), testBurst/10)
	l.Acknowledged(3, now)
	l.Acknowledged(3, now.Add(LoanValidity))
	checkBound(t, l.Available("acme", now.Add(LoanValidity)), testBurst/10)
	now = now.Add(2 * LoanValidity)
	l.Acknowledged(3, now)
	if got := l.Available("acme", now.Add(time.Minute)); got <= testBurst/10 {
		t.Errorf("%.0f tokens after the share has grown", got)
	}
}

// A request that lacks tokens waits and is served by a loan that arrives within its
// limit. The loan expires LoanValidity after the borrower's request.
func TestWaitingRequestIsServedByLoan(t *testing.T) {
	lender, now := newFullLedger()
	l := New("d1")
	l.Update([]*service.Account{acme(testRate, testBurst, map[string]int64{"d0": 1})}, oneSlot, 1, now)
	w := l.Wait("acme", 100, time.Second, now)
	calls := l.Plan([]slots.Member{lenderID, lenderID}, now)
	if len(calls) != 1 {
		t.Fatalf("%d calls to one lender", len(calls))
	}
	lent := lender.Lend(calls[0].Requests, calls[0].Reports, now)
	lent[0].Tokens += 50 // more than it waits for
	l.CompleteCall(calls[0], lent, now.Add(200*time.Millisecond))
	select {
	case v := <-w.Done:
		if !v.OK {
			t.Error("refused although the loan arrived")
		}
	default:
		t.Error("still waiting")
	}
	checkBound(t, l.Available("acme", now.Add(LoanValidity)), 0)
}

// All lenders are exhausted, and the account's whole rate cannot mint the missing
// tokens in time. The request has to be refused at once, with a Retry-After, and not
// only when its limit ends.
func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	l := New("d1")
	l.Update([]*service.Account{acme(testRate, testBurst, nil)}, oneSlot, 1, start)
	w := l.Wait("acme", 500, 20*time.Second, start)
	for _, c := range l.Plan([]slots.Member{lenderID}, start) {
		l.CompleteCall(c, nil, start)
	}
	l.Plan([]slots.Member{lenderID}, start)
	l.Tick(50*time.Millisecond, start.Add(50*time.Millisecond))
	select {
	case v := <-w.Done:
		if v.OK || v.RetryAfter < 40*time.Second || v.RetryAfter > time.Minute {
			t.Errorf("decision %+v, want a refusal with a Retry-After of about 50 s", v)
		}
	default:
		t.Error("still waiting")
	}
}

// An account requests many times its rate, and its requests are refused one after the
// other. With the time in which the account's whole rate mints the tokens of each, all
// would retry at the same moment, so each gets a later Retry-After, up to a maximum.
func TestRefusedRequestsComeBackApart(t *testing.T) {
	l := New("d1")
	l.Update([]*service.Account{acme(1000, testBurst, nil)}, oneSlot, 1, start)
	var last time.Duration
	for n := range 20 {
		w := l.Wait("acme", 500, time.Millisecond, start)
		l.Tick(50*time.Millisecond, start.Add(50*time.Millisecond))
		v := <-w.Done
		if v.OK || v.RetryAfter < last || v.RetryAfter > maxRetryQueueDelay {
			t.Fatalf("request %d: %+v after %s", n, v, last)
		}
		if n == 1 && v.RetryAfter <= last {
			t.Errorf("the second request has a Retry-After of %s like the first", v.RetryAfter)
		}
		last = v.RetryAfter
	}
	if last != maxRetryQueueDelay {
		t.Errorf("the last request has a Retry-After of %s", last)
	}
}

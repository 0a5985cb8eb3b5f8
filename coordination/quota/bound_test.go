package quota

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

// oneSlot is a fleet of one domain with one slot: its holder mints everything.
var oneSlot = &service.Fleet{
	Regions: map[string]service.Region{"r": {Domains: []string{"d0", "d1"}}},
	Slots:   service.Slots{PerDomain: 1},
}

var (
	start    = time.Unix(1000, 0)
	lenderID = slots.Member{ID: "lender"}
)

const testRate, testBurst = 10.0, 1000.0

// holder returns the ledger of domain d0's only slot with a full bucket.
func holder(epoch uint64, now time.Time) *Ledger {
	l := New("d0")
	l.Update([]*service.Account{acme(testRate, testBurst, map[string]int64{"d0": 1})}, oneSlot, 1, now)
	l.SetHeldSlots([]slots.HeldSlot{{Slot: 0, Epoch: epoch, Until: now.Add(time.Hour)}}, now)
	return l
}

func fullHolder() (*Ledger, time.Time) {
	l := holder(1, start)
	return l, start.Add(200 * time.Second)
}

// takeAll admits everything that the ledger gives at once.
func takeAll(l *Ledger, now time.Time) float64 {
	total := 0.0
	for {
		if _, ok := l.Admit("acme", 1, now); !ok {
			return total
		}
		total++
	}
}

func within(t *testing.T, got, bound float64) {
	t.Helper()
	if got > bound+1e-6 {
		t.Errorf("%.1f tokens admitted, the bound is %.1f", got, bound)
	}
}

// An instance lends its whole bucket and loses its slot. Would the new holder mint
// at once, its bucket and the open loan together could exceed the burst: it waits
// until the loan has expired.
func TestNewHolderWaitsForOldLoans(t *testing.T) {
	old, now := fullHolder()
	lent := old.Lend([]LoanRequest{{"acme", testBurst}}, nil, now)[0].Tokens
	old.SetHeldSlots(nil, now)
	next := holder(2, now)
	later := now.Add(LoanValidity - time.Millisecond)
	within(t, lent+takeAll(next, later)+takeAll(old, later), testBurst)
	if got := takeAll(next, now.Add(10*time.Second)); got < testRate {
		t.Errorf("the new holder minted %.1f tokens in ten seconds", got)
	}
}

// A holder loses its slot with a full bucket. The next holder mints into a bucket
// of its own, so the old one has to be empty.
func TestLostSlotDropsTokens(t *testing.T) {
	l, now := fullHolder()
	l.SetHeldSlots(nil, now)
	within(t, takeAll(l, now), 0)
}

// The grant of a paused holder runs out while nothing happens. When it wakes,
// another may hold the slot: it admits nothing of its bucket.
func TestPausedHolderAdmitsNothing(t *testing.T) {
	l := holder(1, start)
	within(t, takeAll(l, start.Add(2*time.Hour)), 0)
}

// A request is charged far too much, the bucket fills up again, and then the
// request settles. Were all of it refunded, the burst could be spent twice in no
// time: the refund ends where the capacity had cut off minting.
func TestRefundEndsAtCapacity(t *testing.T) {
	l, now := fullHolder()
	c, ok := l.Admit("acme", testBurst, now)
	if !ok {
		t.Fatal("a full bucket refused its burst")
	}
	now = now.Add(100 * time.Second) // full again
	spent := takeAll(l, now)
	l.Settle(c, 0, now)
	within(t, spent+takeAll(l, now), testBurst)
}

// A short request is overcharged and settles while the bucket has room: all of it
// comes back, or accounts that keep to their rate would be refused.
func TestRefundWithinCapacityIsWhole(t *testing.T) {
	l, now := fullHolder()
	c, _ := l.Admit("acme", testBurst, now)
	l.Settle(c, 100, now.Add(time.Second))
	if got := takeAll(l, now.Add(time.Second)); got < testBurst-100 {
		t.Errorf("%.0f tokens left after a refund", got)
	}
}

// A loan is spent just before it expires, unreported. It filled the bucket's
// capacity until then, so the lender has minted nothing meanwhile.
func TestOpenLoanFillsCapacity(t *testing.T) {
	l, now := fullHolder()
	lent := l.Lend([]LoanRequest{{"acme", testBurst}}, nil, now)[0].Tokens
	expired := LoanExpiry(now)
	within(t, lent+takeAll(l, expired), testBurst)
	within(t, lent+takeAll(l, expired.Add(time.Second)), testBurst+2*testRate)
}

// A domain's share shrinks and another's grows. The other domain may have lent its
// old part just before it learned so: the grown part counts only when everyone has
// the document and such loans have expired.
func TestGrownShareWaits(t *testing.T) {
	l, now := fullHolder()
	shares := func(d0, d1 int64) *service.Account {
		return acme(testRate, testBurst, map[string]int64{"d0": d0, "d1": d1})
	}
	l.Update([]*service.Account{shares(1, 9)}, oneSlot, 2, now)
	within(t, l.Available("acme", now), testBurst/10)
	l.Update([]*service.Account{shares(1, 1)}, oneSlot, 3, now)
	now = now.Add(time.Hour / 2)
	l.Acknowledged(2, now)
	now = now.Add(time.Minute)
	l.Acknowledged(2, now)
	within(t, l.Available("acme", now), testBurst/10)
	l.Acknowledged(3, now)
	l.Acknowledged(3, now.Add(LoanValidity))
	within(t, l.Available("acme", now.Add(LoanValidity)), testBurst/10)
	now = now.Add(2 * LoanValidity)
	l.Acknowledged(3, now)
	if got := l.Available("acme", now.Add(time.Minute)); got <= testBurst/10 {
		t.Errorf("%.0f tokens after the share has grown", got)
	}
}

// A request short of tokens waits. A loan that arrives within its limit serves
// it; the borrower counts the loan from when it asked.
func TestWaitingRequestIsServedByLoan(t *testing.T) {
	lender, now := fullHolder()
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
			t.Error("refused though the loan came")
		}
	default:
		t.Error("still waiting")
	}
	within(t, l.Available("acme", now.Add(LoanValidity)), 0)
}

// No lender has anything left and the account's whole rate cannot make up for what
// is missing in time. The caller hears so at once, with when to come back, and
// not only when its waiting limit ends.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
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
			t.Errorf("verdict %+v, want a refusal with 50 s to come back", v)
		}
	default:
		t.Error("still waiting")
	}
}

// An account asks for many times its rate and its requests are refused one after the
// other. Told the time in which the account's whole rate makes up for each, they would all
// come back together; each is told a time behind the one before it, up to a most.
func TestRefusedRequestsComeBackApart(t *testing.T) {
	l := New("d1")
	l.Update([]*service.Account{acme(1000, testBurst, nil)}, oneSlot, 1, start)
	var last time.Duration
	for n := range 20 {
		w := l.Wait("acme", 500, time.Millisecond, start)
		l.Tick(50*time.Millisecond, start.Add(50*time.Millisecond))
		v := <-w.Done
		if v.OK || v.RetryAfter < last || v.RetryAfter > comebackMost {
			t.Fatalf("request %d: %+v after %s", n, v, last)
		}
		if n == 1 && v.RetryAfter <= last {
			t.Errorf("the second one is told %s like the first", v.RetryAfter)
		}
		last = v.RetryAfter
	}
	if last != comebackMost {
		t.Errorf("the last one is told %s", last)
	}
}

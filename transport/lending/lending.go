// Package lending carries the loans of quota tokens between instances: it asks the
// lenders that the ledger plans to ask, at most one call at a time to each.
package lending

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/transport/peer"
)

const (
	// TickInterval is how often the ledger is looked at when no request waits.
	TickInterval = 50 * time.Millisecond

	lendersEvery  = 200 * time.Millisecond // the members are looked through
	borrowTimeout = 500 * time.Millisecond
	returnTimeout = time.Second
)

// Lender is an instance that may have tokens to lend.
type Lender struct {
	Member  slots.Member
	Address string
	Rank    int // 0 for the own failure domain, 1 for the own region, 2 for others

	order uint64 // within the rank, see Sort
}

// Sort orders lenders the nearest first. Instances differ in the order within a
// rank, which spreads the calls.
func Sort(list []Lender, self string) {
	own := xxhash.Sum64String(self)
	for i := range list {
		list[i].order = xxhash.Sum64String(list[i].Member.ID) * (own | 1)
	}
	slices.SortFunc(list, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.order, b.order), cmp.Compare(a.Member.ID, b.Member.ID))
	})
}

// Borrower borrows for a ledger.
type Borrower struct {
	Ledger  *quota.Ledger
	Pool    *peer.Pool
	Self    func() slots.Member
	Lenders func(now time.Time) []Lender // the nearest first
	// OnRefresh is called as often as the lenders are looked for; it may be nil.
	OnRefresh func(now time.Time)
	// ApplyDocuments hands changed documents to the ledger.
	ApplyDocuments func(now time.Time)

	mu     sync.Mutex
	open   map[slots.Member]bool      // at most one call to each lender, so that reports arrive in order
	silent map[slots.Member]time.Time // lenders that did not answer, until when they are asked last
}

// Run keeps the ledger going until ctx ends: documents, waiting requests and loans.
func (l *Borrower) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	last, looked := time.Now(), time.Time{}
	found := newLenders(nil)
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(looked) >= lendersEvery {
			looked, found = now, newLenders(l.Lenders(now))
			if l.OnRefresh != nil {
				l.OnRefresh(now)
			}
		}
		if now.Sub(last) >= TickInterval/2 {
			l.ApplyDocuments(now)
			l.Ledger.Tick(now.Sub(last), now)
			last = now
		}
		l.borrow(ctx, found, &running, now)
		select {
		case <-ticker.C:
		case <-l.Ledger.BorrowNeeded():
		case <-ctx.Done():
		}
	}
}

func (l *Borrower) set(m slots.Member, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[slots.Member]bool)
	}
	if !open {
		delete(l.open, m)
		return
	}
	l.open[m] = true
}

// HasOpenCall tells whether a call to some incarnation of an instance is open: its answer
// may still bring a loan.
func (l *Borrower) HasOpenCall(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for m := range l.open {
		if m.ID == id {
			return true
		}
	}
	return false
}

func (l *Borrower) borrow(ctx context.Context, found *lenders, running *sync.WaitGroup, now time.Time) {
	for _, c := range l.Ledger.Plan(l.callable(found.members, now), now) {
		l.set(c.Lender, true)
		running.Go(func() {
			defer l.set(c.Lender, false)
			lent := l.call(ctx, found.addresses[c.Lender], c, borrowTimeout)
			l.heard(c.Lender, lent != nil, time.Now())
			l.Ledger.CompleteCall(c, lent, time.Now())
		})
	}
}

// lenders is what one look at the members found. It is not changed.
type lenders struct {
	members   []slots.Member // the nearest first
	addresses map[slots.Member]string
}

func newLenders(list []Lender) *lenders {
	out := &lenders{addresses: make(map[slots.Member]string, len(list))}
	for _, lender := range list {
		out.members = append(out.members, lender.Member)
		out.addresses[lender.Member] = lender.Address
	}
	return out
}

// silentFor is how long a lender that did not answer is asked last.
const silentFor = 800 * time.Millisecond

// heard notes whether a lender answered.
func (l *Borrower) heard(lender slots.Member, answered bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		delete(l.silent, lender)
		return
	}
	if l.silent == nil {
		l.silent = make(map[slots.Member]time.Time)
	}
	l.silent[lender] = now.Add(silentFor)
}

// callable returns the members to whom no call is open, those who did not answer just
// now last.
func (l *Borrower) callable(members []slots.Member, now time.Time) []slots.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.silent, func(_ slots.Member, until time.Time) bool { return !now.Before(until) })
	if len(l.open) == 0 && len(l.silent) == 0 {
		return members
	}
	out := make([]slots.Member, 0, len(members))
	var silent []slots.Member
	for _, m := range members {
		switch _, isSilent := l.silent[m]; {
		case l.open[m]:
		case isSilent:
			silent = append(silent, m)
		default:
			out = append(out, m)
		}
	}
	return append(out, silent...)
}

// call returns nil when no answer came.
func (l *Borrower) call(ctx context.Context, address string, c *quota.Call, timeout time.Duration) []quota.LoanGrant {
	client, err := l.Pool.Get(address)
	if err != nil {
		return nil // counts as no answer: the ledger asks another lender
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := client.Borrow(ctx, peer.EncodeBorrow(l.Self(), c))
	if err != nil {
		return nil // as above; the tokens lent meanwhile are lost until the loan expires
	}
	return peer.DecodeGrants(c, resp)
}

// ReturnAll gives back what was borrowed, for a planned stop.
func (l *Borrower) ReturnAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	found := newLenders(l.Lenders(time.Now()))
	var running sync.WaitGroup
	for _, c := range l.Ledger.ReturnAll(time.Now()) {
		if address, ok := found.addresses[c.Lender]; ok {
			running.Go(func() { l.call(ctx, address, c, returnTimeout) })
		}
	}
	running.Wait()
}

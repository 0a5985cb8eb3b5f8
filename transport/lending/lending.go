// Package lending carries loans of quota tokens between instances. It calls the lenders
// that the ledger plans to borrow from, with at most one open call to each.
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
	// TickInterval is the interval of the ledger ticks when no request is waiting.
	TickInterval = 50 * time.Millisecond

	lenderRefreshInterval = 200 * time.Millisecond // how often the list of lenders is refreshed
	borrowTimeout         = 500 * time.Millisecond
	returnTimeout         = time.Second
)

// Lender is an instance that may have tokens to lend.
type Lender struct {
	Member  slots.Member
	Address string
	Rank    int // 0 for the local failure domain, 1 for the local region, 2 for other regions

	order uint64 // within the rank, see Sort
}

// Sort sorts lenders by rank, nearest first. The order within a rank differs between
// instances, which spreads the calls.
func Sort(list []Lender, self string) {
	selfHash := xxhash.Sum64String(self)
	for i := range list {
		list[i].order = xxhash.Sum64String(list[i].Member.ID) * (selfHash | 1)
	}
	slices.SortFunc(list, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.order, b.order), cmp.Compare(a.Member.ID, b.Member.ID))
	})
}

// Borrower borrows tokens for a ledger.
type Borrower struct {
	Ledger  *quota.Ledger
	Pool    *peer.Pool
	Self    func() slots.Member
	Lenders func(now time.Time) []Lender // nearest first
	// OnRefresh is called after each refresh of the list of lenders; it may be nil.
	OnRefresh func(now time.Time)
	// ApplyDocuments applies changed service documents to the ledger.
	ApplyDocuments func(now time.Time)

	mu           sync.Mutex
	openCalls    map[slots.Member]bool      // at most one call to each lender, so that reports arrive in order
	unresponsive map[slots.Member]time.Time // lenders that did not respond; they are called last until the time
}

// Run ticks the ledger until ctx ends: it applies documents, serves waiting requests and
// borrows tokens.
func (l *Borrower) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	last, refreshed := time.Now(), time.Time{}
	current := newLenders(nil)
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(refreshed) >= lenderRefreshInterval {
			refreshed, current = now, newLenders(l.Lenders(now))
			if l.OnRefresh != nil {
				l.OnRefresh(now)
			}
		}
		if now.Sub(last) >= TickInterval/2 {
			l.ApplyDocuments(now)
			l.Ledger.Tick(now.Sub(last), now)
			last = now
		}
		l.borrow(ctx, current, &calls, now)
		select {
		case <-ticker.C:
		case <-l.Ledger.BorrowNeeded():
		case <-ctx.Done():
		}
	}
}

func (l *Borrower) setOpen(m slots.Member, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openCalls == nil {
		l.openCalls = make(map[slots.Member]bool)
	}
	if !open {
		delete(l.openCalls, m)
		return
	}
	l.openCalls[m] = true
}

// HasOpenCall reports whether a call to any incarnation of an instance is open. Its
// response may still bring a loan.
func (l *Borrower) HasOpenCall(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for m := range l.openCalls {
		if m.ID == id {
			return true
		}
	}
	return false
}

func (l *Borrower) borrow(ctx context.Context, current *lenders, calls *sync.WaitGroup, now time.Time) {
	for _, c := range l.Ledger.Plan(l.callable(current.members, now), now) {
		l.setOpen(c.Lender, true)
		calls.Go(func() {
			defer l.setOpen(c.Lender, false)
			grants := l.call(ctx, current.addresses[c.Lender], c, borrowTimeout)
			l.recordResponse(c.Lender, grants != nil, time.Now())
			l.Ledger.CompleteCall(c, grants, time.Now())
		})
	}
}

// lenders is an immutable snapshot of the list of lenders.
type lenders struct {
	members   []slots.Member // nearest first
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

// unresponsivePeriod is how long a lender that did not respond is called last.
const unresponsivePeriod = 800 * time.Millisecond

// recordResponse records whether a lender responded.
func (l *Borrower) recordResponse(lender slots.Member, responded bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if responded {
		delete(l.unresponsive, lender)
		return
	}
	if l.unresponsive == nil {
		l.unresponsive = make(map[slots.Member]time.Time)
	}
	l.unresponsive[lender] = now.Add(unresponsivePeriod)
}

// callable returns the members without an open call, with those that recently did not
// respond last.
func (l *Borrower) callable(members []slots.Member, now time.Time) []slots.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.unresponsive, func(_ slots.Member, until time.Time) bool { return !now.Before(until) })
	if len(l.openCalls) == 0 && len(l.unresponsive) == 0 {
		return members
	}
	out := make([]slots.Member, 0, len(members))
	var unresponsive []slots.Member
	for _, m := range members {
		switch _, isUnresponsive := l.unresponsive[m]; {
		case l.openCalls[m]:
		case isUnresponsive:
			unresponsive = append(unresponsive, m)
		default:
			out = append(out, m)
		}
	}
	return append(out, unresponsive...)
}

// call returns nil if no response arrived.
func (l *Borrower) call(ctx context.Context, address string, c *quota.Call, timeout time.Duration) []quota.LoanGrant {
	client, err := l.Pool.Get(address)
	if err != nil {
		return nil // counts as no response: the ledger calls another lender
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := client.Borrow(ctx, peer.EncodeBorrow(l.Self(), c))
	if err != nil {
		return nil // as above; tokens that were lent are unusable until the loan expires
	}
	return peer.DecodeGrants(c, resp)
}

// ReturnAll returns all borrowed tokens, for a graceful shutdown.
func (l *Borrower) ReturnAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	current := newLenders(l.Lenders(time.Now()))
	var calls sync.WaitGroup
	for _, c := range l.Ledger.ReturnAll(time.Now()) {
		if address, ok := current.addresses[c.Lender]; ok {
			calls.Go(func() { l.call(ctx, address, c, returnTimeout) })
		}
	}
	calls.Wait()
}

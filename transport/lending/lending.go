// Package lending carries the loans of quota tokens between instances: it asks the
// lenders that the ledger plans to ask, at most one call at a time to each.
package lending

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/transport/peer"
)

const (
	// Every is how often the ledger is looked at when no request waits.
	Every = 50 * time.Millisecond

	lendersEvery  = 200 * time.Millisecond // the members are looked through
	borrowTimeout = 500 * time.Millisecond
	returnTimeout = time.Second
)

// Lender is an instance that may have tokens to lend.
type Lender struct {
	Member  slots.Member
	Address string
	Rank    int // 0 for the own failure domain, 1 for the own region, 2 for others
}

// Sort orders lenders the nearest first. Instances differ in the order within a
// rank, which spreads the calls.
func Sort(list []Lender, self string) {
	slices.SortFunc(list, func(a, b Lender) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank),
			cmp.Compare(xxhash.Sum64String(self+a.Member.ID), xxhash.Sum64String(self+b.Member.ID)))
	})
}

// Loop borrows for a ledger.
type Loop struct {
	Ledger  *quota.Ledger
	Pool    *peer.Pool
	Self    func() slots.Member
	Lenders func(now time.Time) []Lender // the nearest first
	// Looked is called as often as the lenders are looked for; it may be nil.
	Looked func(now time.Time)
	// Update hands changed documents to the ledger.
	Update func(now time.Time)

	mu   sync.Mutex
	open map[slots.Member]bool      // at most one call to each lender, so that reports arrive in order
	dry  map[slots.Member]time.Time // lenders that had nothing, until when they are asked last
}

// Run keeps the ledger going until ctx ends: documents, waiting requests and loans.
func (l *Loop) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(Every)
	defer ticker.Stop()
	last, looked := time.Now(), time.Time{}
	var lenders []Lender
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(looked) >= lendersEvery {
			looked, lenders = now, l.Lenders(now)
			if l.Looked != nil {
				l.Looked(now)
			}
		}
		if now.Sub(last) >= Every/2 {
			l.Update(now)
			l.Ledger.Tick(now.Sub(last), now)
			last = now
		}
		l.borrow(ctx, lenders, &running, now)
		select {
		case <-ticker.C:
		case <-l.Ledger.Wanted():
		case <-ctx.Done():
		}
	}
}

func (l *Loop) set(m slots.Member, open bool) {
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

// OpenTo tells whether a call to some incarnation of an instance is open: its answer
// may still bring a loan.
func (l *Loop) OpenTo(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for m := range l.open {
		if m.ID == id {
			return true
		}
	}
	return false
}

func (l *Loop) isOpen(m slots.Member) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[m]
}

func (l *Loop) borrow(ctx context.Context, lenders []Lender, running *sync.WaitGroup, now time.Time) {
	addresses := make(map[slots.Member]string, len(lenders))
	var free []slots.Member
	for _, lender := range lenders {
		addresses[lender.Member] = lender.Address
		if !l.isOpen(lender.Member) {
			free = append(free, lender.Member)
		}
	}
	for _, c := range l.Ledger.Plan(l.dryLast(free, now), now) {
		l.set(c.Lender, true)
		running.Go(func() {
			defer l.set(c.Lender, false)
			lent := l.call(ctx, addresses[c.Lender], c, borrowTimeout)
			l.heard(c, lent, time.Now())
			l.Ledger.Answered(c, lent, time.Now())
		})
	}
}

// dryFor is how long a lender that had nothing is asked last. In a region's peak all
// near lenders are short: asked in turn each time, they would take up the time that a
// request may wait.
const dryFor = 800 * time.Millisecond

// heard notes whether a lender had anything of what was wanted.
func (l *Loop) heard(c *quota.Call, lent []quota.Lent, now time.Time) {
	if len(c.Wants) == 0 {
		return
	}
	total := 0.0
	for _, item := range lent {
		total += item.Tokens
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dry == nil {
		l.dry = make(map[slots.Member]time.Time)
	}
	if total > 0 {
		delete(l.dry, c.Lender)
		return
	}
	l.dry[c.Lender] = now.Add(dryFor)
}

// dryLast puts lenders that had nothing just now behind the others.
func (l *Loop) dryLast(lenders []slots.Member, now time.Time) []slots.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortStableFunc(lenders, func(a, b slots.Member) int {
		dryA, dryB := now.Before(l.dry[a]), now.Before(l.dry[b])
		switch {
		case dryA == dryB:
			return 0
		case dryA:
			return 1
		}
		return -1
	})
	for m, until := range l.dry {
		if !now.Before(until) {
			delete(l.dry, m)
		}
	}
	return lenders
}

// call returns nil when no answer came.
func (l *Loop) call(ctx context.Context, address string, c *quota.Call, timeout time.Duration) []quota.Lent {
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
	return peer.DecodeLent(c, resp)
}

// ReturnAll gives back what was borrowed, for a planned stop.
func (l *Loop) ReturnAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	addresses := make(map[slots.Member]string)
	for _, lender := range l.Lenders(time.Now()) {
		addresses[lender.Member] = lender.Address
	}
	var running sync.WaitGroup
	for _, c := range l.Ledger.ReturnAll(time.Now()) {
		if address, ok := addresses[c.Lender]; ok {
			running.Go(func() { l.call(ctx, address, c, returnTimeout) })
		}
	}
	running.Wait()
}

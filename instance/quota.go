package instance

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/transport/peer"
)

const (
	lendEvery     = 50 * time.Millisecond
	lendersEvery  = 200 * time.Millisecond // the members are looked through
	borrowTimeout = 500 * time.Millisecond
	returnTimeout = time.Second
	affordWait    = 300 * time.Millisecond
)

// lender is a peer that holds slots.
type lender struct {
	member  slots.Member
	address string
	rank    int // 0 for the own failure domain, 1 for the own region, 2 for others
}

// calls keeps at most one open call to each lender, so that reports arrive in order.
type calls struct {
	mu   sync.Mutex
	open map[slots.Member]bool
}

func (c *calls) begin(m slots.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[m] = true
}

func (c *calls) end(m slots.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, m)
}

func (c *calls) has(m slots.Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[m]
}

// lend keeps the ledger going: documents, waiting requests and loans from peers.
func (i *Instance) lend(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	open := &calls{open: make(map[slots.Member]bool)}
	ticker := time.NewTicker(lendEvery)
	defer ticker.Stop()
	known := int64(-1)
	last, looked := time.Now(), time.Time{}
	var lenders []lender
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(looked) >= lendersEvery {
			looked, lenders = now, i.lenders(now)
			i.ledger.Acknowledged(i.acknowledged(now), now)
		}
		if now.Sub(last) >= lendEvery/2 {
			known = i.updateLedger(known, now)
			i.ledger.Tick(now.Sub(last), now)
			last = now
		}
		i.borrow(ctx, lenders, open, &running, now)
		select {
		case <-ticker.C:
		case <-i.ledger.Wanted():
		case <-ctx.Done():
		}
	}
}

// updateLedger hands the documents to the ledger when they have changed.
func (i *Instance) updateLedger(known int64, now time.Time) int64 {
	revision := i.config.Revision()
	if revision != known {
		i.ledger.Update(i.catalog.Accounts(), i.catalog.Fleet(), revision, now)
	}
	return revision
}

// acknowledged returns up to which revision every instance goes by the documents
// that is reachable, or that holds a slot as last read and so may mint unseen.
func (i *Instance) acknowledged(now time.Time) int64 {
	oldest, holders := i.config.Revision(), i.slots.holders()
	for _, m := range i.members.Members(now) {
		member := slots.Member{ID: m.Entry.GetId(), Incarnation: m.Entry.GetIncarnation()}
		if m.Entry.GetId() != i.settings.ID && (m.Reachable || holders[member]) {
			oldest = min(oldest, m.Entry.GetConfigRevision())
		}
	}
	return oldest
}

func (i *Instance) borrow(ctx context.Context, lenders []lender, open *calls, running *sync.WaitGroup, now time.Time) {
	addresses := make(map[slots.Member]string, len(lenders))
	var free []slots.Member
	for _, l := range lenders {
		addresses[l.member] = l.address
		if !open.has(l.member) {
			free = append(free, l.member)
		}
	}
	for _, c := range i.ledger.Plan(free, now) {
		open.begin(c.Lender)
		running.Go(func() {
			defer open.end(c.Lender)
			i.ledger.Answered(c, i.callLender(ctx, addresses[c.Lender], c, borrowTimeout), time.Now())
		})
	}
}

// callLender returns nil when no answer came.
func (i *Instance) callLender(ctx context.Context, address string, c *quota.Call, timeout time.Duration) []quota.Lent {
	client, err := i.pool.Get(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := client.Borrow(ctx, peer.EncodeBorrow(i.member(), c))
	if err != nil {
		return nil
	}
	return peer.DecodeLent(c, resp)
}

// lenders returns the reachable holders of slots, the nearest first, by the store
// or by their own word: an instance that starts while the store is out of reach
// would else know no lender and refuse every caller. Instances differ in the
// order within a distance, which spreads the calls.
func (i *Instance) lenders(now time.Time) []lender {
	holders := i.slots.holders()
	var out []lender
	for _, m := range i.members.Members(now) {
		member := slots.Member{ID: m.Entry.GetId(), Incarnation: m.Entry.GetIncarnation()}
		if m.Reachable && (holders[member] || m.Entry.GetSlots() > 0) && member.ID != i.settings.ID {
			out = append(out, lender{member: member, address: m.Entry.GetPeerAddress(), rank: i.distance(m)})
		}
	}
	slices.SortFunc(out, func(a, b lender) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank),
			cmp.Compare(xxhash.Sum64String(i.settings.ID+a.member.ID), xxhash.Sum64String(i.settings.ID+b.member.ID)))
	})
	return out
}

func (i *Instance) distance(m membership.Member) int {
	switch {
	case m.Entry.GetDomain() == i.settings.Domain:
		return 0
	case m.Entry.GetRegion() == i.settings.Region:
		return 1
	}
	return 2
}

// Borrow implements peer.Quota.
func (i *Instance) Borrow(req *peerpb.BorrowRequest) *peerpb.BorrowResponse {
	self := i.member()
	wants, reports := peer.DecodeBorrow(self, req)
	return peer.EncodeLent(self, i.ledger.Lend(wants, reports, time.Now()))
}

// returnLoans gives back what was borrowed and waits for the slots to be released.
func (i *Instance) returnLoans(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	addresses := make(map[slots.Member]string)
	for _, l := range i.lenders(time.Now()) {
		addresses[l.member] = l.address
	}
	var running sync.WaitGroup
	for _, c := range i.ledger.ReturnAll(time.Now()) {
		if address, ok := addresses[c.Lender]; ok {
			running.Go(func() { i.callLender(ctx, address, c, returnTimeout) })
		}
	}
	running.Wait()
	for !i.slots.machine.Idle() && wait(ctx, time.After(slotsEvery)) == nil {
		continue
	}
}

// Affords tells whether the account could be charged some tokens here, after a
// short wait for a loan.
func (i *Instance) Affords(account string, tokens float64) bool {
	charge, ok := i.ledger.Admit(account, tokens, time.Now())
	if !ok {
		verdict := <-i.ledger.Wait(account, tokens, affordWait, time.Now()).Done
		charge, ok = verdict.Charge, verdict.OK
	}
	if ok {
		i.ledger.Settle(charge, 0, time.Now())
	}
	return ok
}

// Minting returns how many slots this instance mints for.
func (i *Instance) Minting() int { return i.ledger.Minting(time.Now()) }

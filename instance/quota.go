package instance

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/transport/lending"
	"github.com/basilroute/basilroute/transport/peer"
)

const (
	affordWait    = 300 * time.Millisecond
	returnTimeout = time.Second // for loans and slots at a planned stop
)

// lend keeps the ledger going: documents, waiting requests and loans from peers.
func (i *Instance) lend(ctx context.Context) {
	known := int64(-1)
	i.lending.OnRefresh = func(now time.Time) { i.ledger.Acknowledged(i.acknowledged(now), now) }
	i.lending.ApplyDocuments = func(now time.Time) { known = i.updateLedger(known, now) }
	i.lending.Run(ctx)
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

// lenders returns the reachable holders of slots, the nearest first, by the store
// or by their own word: an instance that starts while the store is out of reach
// would else know no lender and refuse every caller. Instances differ in the
// order within a distance, which spreads the calls.
func (i *Instance) lenders(now time.Time) []lending.Lender {
	holders := i.slots.holders()
	var out []lending.Lender
	for _, m := range i.members.Members(now) {
		member := slots.Member{ID: m.Entry.GetId(), Incarnation: m.Entry.GetIncarnation()}
		if m.Reachable && (holders[member] || m.Entry.GetSlots() > 0) && member.ID != i.settings.ID {
			out = append(out, lending.Lender{Member: member, Address: m.Entry.GetPeerAddress(), Rank: i.distance(m)})
		}
	}
	lending.Sort(out, i.settings.ID)
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
	return peer.EncodeGrants(self, i.ledger.Lend(wants, reports, time.Now()))
}

// returnLoans gives back what was borrowed and waits for the slots to be released.
func (i *Instance) returnLoans(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	i.lending.ReturnAll(ctx)
	for !i.slots.machine.Idle() && wait(ctx, time.After(slotsEvery)) == nil {
		continue
	}
}

// CanCharge tells whether the account could be charged some tokens here, after a
// short wait for a loan.
func (i *Instance) CanCharge(account string, tokens float64) bool {
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

// MintingSlots returns how many slots this instance mints for.
func (i *Instance) MintingSlots() int { return i.ledger.MintingSlots(time.Now()) }

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
	maxChargeWait = 300 * time.Millisecond
	returnTimeout = time.Second // for loans and slots at a graceful shutdown
)

// runLending runs the ledger: it applies documents, serves waiting requests and borrows
// from peers.
func (i *Instance) runLending(ctx context.Context) {
	known := int64(-1)
	i.lending.OnRefresh = func(now time.Time) { i.ledger.Acknowledged(i.acknowledgedRevision(now), now) }
	i.lending.ApplyDocuments = func(now time.Time) { known = i.updateLedger(known, now) }
	i.lending.Run(ctx)
}

// updateLedger passes the documents to the ledger when they have changed.
func (i *Instance) updateLedger(known int64, now time.Time) int64 {
	revision := i.config.Revision()
	if revision != known {
		i.ledger.Update(i.catalog.Accounts(), i.catalog.Fleet(), revision, now)
	}
	return revision
}

// acknowledgedRevision returns the revision up to which the documents are applied by every
// instance that is reachable, or that held a slot at the last read and so may mint without
// being seen.
func (i *Instance) acknowledgedRevision(now time.Time) int64 {
	oldest, holders := i.config.Revision(), i.slots.holders()
	for _, m := range i.members.Members(now) {
		member := slots.Member{ID: m.Entry.GetId(), Incarnation: m.Entry.GetIncarnation()}
		if m.Entry.GetId() != i.settings.ID && (m.Reachable || holders[member]) {
			oldest = min(oldest, m.Entry.GetConfigRevision())
		}
	}
	return oldest
}

// lenders returns the reachable holders of slots, the nearest first. Holders are known from
// the store or from their own entries: otherwise an instance that starts while the store is
// unreachable would know no lender and refuse every caller. Instances differ in the order
// within a rank, which spreads the calls.
func (i *Instance) lenders(now time.Time) []lending.Lender {
	holders := i.slots.holders()
	var out []lending.Lender
	for _, m := range i.members.Members(now) {
		member := slots.Member{ID: m.Entry.GetId(), Incarnation: m.Entry.GetIncarnation()}
		if m.Reachable && (holders[member] || m.Entry.GetSlots() > 0) && member.ID != i.settings.ID {
			out = append(out, lending.Lender{Member: member, Address: m.Entry.GetPeerAddress(), Rank: i.lenderRank(m)})
		}
	}
	lending.Sort(out, i.settings.ID)
	return out
}

func (i *Instance) lenderRank(m membership.Member) int {
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

// returnLoans returns what was borrowed and waits for the slots to be released.
func (i *Instance) returnLoans(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	i.lending.ReturnAll(ctx)
	for !i.slots.machine.Idle() && wait(ctx, time.After(slotsInterval)) == nil {
		continue
	}
}

// CanCharge reports whether the account can be charged the tokens on this instance, after a
// short wait for a loan if needed.
func (i *Instance) CanCharge(account string, tokens float64) bool {
	charge, ok := i.ledger.Admit(account, tokens, time.Now())
	if !ok {
		decision := <-i.ledger.Wait(account, tokens, maxChargeWait, time.Now()).Done
		charge, ok = decision.Charge, decision.OK
	}
	if ok {
		i.ledger.Settle(charge, 0, time.Now())
	}
	return ok
}

// MintingSlots returns the number of slots that this instance mints for.
func (i *Instance) MintingSlots() int { return i.ledger.MintingSlots(time.Now()) }

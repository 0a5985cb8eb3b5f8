package routed

import (
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/transport/lending"
	"github.com/basilroute/basilroute/transport/peer"
)

// member identifies this incarnation.
func (n *Instance) member() slots.Member {
	self := n.members.Self()
	return slots.Member{ID: self.GetId(), Incarnation: self.GetIncarnation()}
}

// heldForever is the validity of the share of an instance that needs no proof, see ownItem.
const heldForever = 365 * 24 * time.Hour

// updateHeldShare sets in the ledger until when this instance mints its share.
func (n *Instance) updateHeldShare(now time.Time) {
	n.heldMu.Lock()
	defer n.heldMu.Unlock()
	var held []slots.HeldSlot
	if until := n.item.mintsUntil(now); until.After(now) && n.shares.Mints() {
		held = []slots.HeldSlot{{Slot: 0, Epoch: n.epoch(), Until: until}}
	}
	n.ledger.SetProvisional(!n.shares.Cleared(), now)
	n.ledger.SetHeldSlots(held, now)
	if count := uint32(len(held)); count != n.members.Self().GetSlots() {
		n.log.Info("quota_part", "mints", count > 0, "holders", n.shares.Size())
		n.members.UpdateSelf(now, func(m *peerpb.Member) { m.Slots = count })
	}
}

// Epochs in which a share is held: the ledger mints at once in the first one, and in a
// later one when the loans of former holders have expired. Each generation has its own.
const (
	epochImmediate  = 1
	epochAfterLoans = 2 // other instances may have lent tokens of what is its share now
)

func (n *Instance) epoch() uint64 {
	if n.shares.NoEarlierMint() {
		generation, _ := n.shares.Generation(n.settings.ID)
		return epochAfterLoans + generation
	}
	return epochImmediate
}

// lenders returns the reachable instances that mint, the nearest first.
func (n *Instance) lenders(now time.Time) []lending.Lender {
	var out []lending.Lender
	for _, m := range n.members.Members(now) {
		if !m.Reachable || m.Entry.GetSlots() == 0 || m.Entry.GetId() == n.settings.ID {
			continue
		}
		rank := 2
		switch {
		case m.Entry.GetDomain() == n.settings.Domain:
			rank = 0
		case m.Entry.GetRegion() == n.settings.Region:
			rank = 1
		}
		out = append(out, lending.Lender{
			Member:  slots.Member{ID: m.Entry.GetId(), Incarnation: m.Entry.GetIncarnation()},
			Address: m.Entry.GetPeerAddress(), Rank: rank,
		})
	}
	lending.Sort(out, n.settings.ID)
	return out
}

// Borrow implements peer.Quota.
func (n *Instance) Borrow(req *peerpb.BorrowRequest) *peerpb.BorrowResponse {
	self := n.member()
	wants, reports := peer.DecodeBorrow(self, req)
	return peer.EncodeGrants(self, n.ledger.Lend(wants, reports, time.Now()))
}

// Promise implements peer.Quota: shares are never transferred between these instances.
func (n *Instance) Promise(*peerpb.PromiseRequest) *peerpb.PromiseResponse {
	return &peerpb.PromiseResponse{}
}

// Consent implements peer.Quota, like Promise.
func (n *Instance) Consent(*peerpb.ConsentRequest) *peerpb.ConsentResponse {
	return &peerpb.ConsentResponse{}
}

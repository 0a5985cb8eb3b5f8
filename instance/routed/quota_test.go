package routed

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/quotashare"
)

// Guards against a newcomer that mints beside loans which others made of what is its part now.
func TestNewcomerMintsWhenLoansOfItsPartHaveExpired(t *testing.T) {
	for minted, want := range map[bool]int{false: 0, true: 1} {
		n := newQuotaNode()
		if minted {
			n.shares.RecordMinted()
		}
		n.shares.Merge([]quotashare.Holder{{ID: n.settings.ID, Domain: n.settings.Domain}}, true)
		now := time.Now()
		n.updateHeld(now)
		if got := n.ledger.MintingSlots(now); got != want {
			t.Errorf("minted before: %v, mints %d parts, want %d", minted, got, want)
		}
		if got := n.ledger.MintingSlots(quota.LoanExpiry(now)); got != 1 {
			t.Errorf("minted before: %v, mints %d parts once loans have expired", minted, got)
		}
	}
}

// Guards against a fleet's first start in which each instance asks all others for loans that nobody can hold.
func TestFirstStartAsksNobodyForLoans(t *testing.T) {
	n := newQuotaNode()
	if _, err := n.enter(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !n.shares.Cleared() || len(n.shares.Unconfirmed()) > 0 {
		t.Errorf("cleared: %v, to be asked: %v", n.shares.Cleared(), n.shares.Unconfirmed())
	}
	n.updateHeld(time.Now())
	if got := n.ledger.MintingSlots(time.Now()); got != 0 {
		t.Errorf("mints %d parts at once, beside what a predecessor may have lent whose word to the store was lost", got)
	}
}

func newQuotaNode() *Instance {
	settings := DefaultSettings()
	settings.ID, settings.Domain = "front-0", "east-a"
	return newNode(settings, bulkSource{client: &bulkClient{store: newBulkStore()}}, nil, slog.New(slog.DiscardHandler))
}

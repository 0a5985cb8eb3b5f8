package routed

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/quotashare"
)

// Guards against a joining instance that mints while loans are valid that others made from
// what is its share now.
func TestNewcomerMintsWhenLoansOfItsPartHaveExpired(t *testing.T) {
	for minted, want := range map[bool]int{false: 0, true: 1} {
		n := newQuotaInstance()
		if minted {
			n.shares.RecordMinted()
		}
		n.shares.Merge([]quotashare.Holder{{ID: n.settings.ID, Domain: n.settings.Domain}}, true)
		now := time.Now()
		n.updateHeldShare(now)
		if got := n.ledger.MintingSlots(now); got != want {
			t.Errorf("minted before: %v, mints %d shares, want %d", minted, got, want)
		}
		if got := n.ledger.MintingSlots(quota.LoanExpiry(now)); got != 1 {
			t.Errorf("minted before: %v, mints %d shares once loans have expired", minted, got)
		}
	}
}

// Guards against the first start of a fleet in which each instance queries all others for
// loans that none of them can hold.
func TestFirstStartAsksNobodyForLoans(t *testing.T) {
	n := newQuotaInstance()
	if _, err := n.register(context.Background()); err != nil {
		t.Fatal(err)
	}
	if !n.shares.Cleared() || len(n.shares.Unconfirmed()) > 0 {
		t.Errorf("cleared: %v, to be queried: %v", n.shares.Cleared(), n.shares.Unconfirmed())
	}
	n.updateHeldShare(time.Now())
	if got := n.ledger.MintingSlots(time.Now()); got != 0 {
		t.Errorf("mints %d shares at once, although a predecessor whose record in the store was lost may have lent tokens", got)
	}
}

func newQuotaInstance() *Instance {
	settings := DefaultSettings()
	settings.ID, settings.Domain = "front-0", "east-a"
	return newInstance(settings, testSource{client: &memoryClient{store: newMemoryStore()}}, nil, slog.New(slog.DiscardHandler))
}

package routed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service/features"
)

// A restarted instance lends nothing and uses a part of its share only until it is sure
// that no loan of its predecessor can still be spent. Until then a long prompt, which
// needs the tokens of several instances, is refused. After a restart of the whole fleet
// that is every long prompt.
const (
	// silentEvery is between two rounds of questions, and silentFan how many instances
	// are asked in one, so that each of some ninety has been asked within half a second. By
	// the exchanges alone, which go to a few at random, it takes as long as loans run.
	silentEvery = 100 * time.Millisecond
	silentFan   = 24
	// silentWait bounds one question: three times the way there and back between regions.
	silentWait = 500 * time.Millisecond
)

// askSilent asks all that share the quotas whether they hold loans of a predecessor.
func (n *Instance) askSilent(ctx context.Context) {
	for ctx.Err() == nil && !n.shares.Cleared() && n.features.On(features.ConfirmLoans) {
		silent := n.shares.Unconfirmed()
		rand.Shuffle(len(silent), func(a, b int) { silent[a], silent[b] = silent[b], silent[a] })
		for _, id := range silent[:min(len(silent), silentFan)] {
			if address, ok := n.holderAddress.Load(id); ok {
				n.loops.Go(func() { n.askOwed(ctx, id, address.(string)) })
			}
		}
		pause(ctx, silentEvery)
	}
}

// askOwed asks one of them. An instance that cannot be reached may hold a loan: it is
// asked again, until loans have expired.
func (n *Instance) askOwed(ctx context.Context, id, address string) {
	client, err := n.pool.Get(address)
	if err != nil {
		n.log.Error("peer_address", "address", address, "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, silentWait)
	defer cancel()
	resp, err := client.Exchange(ctx, &peerpb.ExchangeRequest{From: n.settings.ID, LentBefore: true})
	if err != nil {
		n.log.Debug("loans_unknown", "holder", id, "error", err.Error())
		return
	}
	if !resp.GetOwes() && resp.GetFrom() == id {
		n.shares.ConfirmNoLoans(id)
	}
}

// clearLoans lets this instance use its whole part when nothing that a predecessor lent
// can be spent any more.
func (n *Instance) clearLoans(now time.Time) {
	if n.shares.TryClear(!now.Before(quota.LoanExpiry(n.started))) {
		n.log.Info("quota_cleared", "after_ms", now.Sub(n.started).Milliseconds())
	}
}

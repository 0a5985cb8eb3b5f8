package routed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service/features"
)

// A restarted instance lends nothing and uses only a fraction of its share until it is
// certain that no loan of its predecessor can still be spent. Until then a long prompt,
// which needs the tokens of several instances, is refused. After a restart of the whole
// fleet that is every long prompt.
const (
	// loanQueryInterval is the time between two rounds of queries, and loanQueryFanout the
	// number of instances queried in one, so that each of some ninety is queried within
	// half a second. By the exchanges alone, which go to a few instances at random, it
	// takes as long as loans are valid.
	loanQueryInterval = 100 * time.Millisecond
	loanQueryFanout   = 24
	// loanQueryTimeout bounds one query: three round trips between regions.
	loanQueryTimeout = 500 * time.Millisecond
)

// queryLoans asks all instances that share the quotas whether they hold loans of a
// predecessor.
func (n *Instance) queryLoans(ctx context.Context) {
	for ctx.Err() == nil && !n.shares.Cleared() && n.features.On(features.ConfirmLoans) {
		unconfirmed := n.shares.Unconfirmed()
		rand.Shuffle(len(unconfirmed), func(a, b int) { unconfirmed[a], unconfirmed[b] = unconfirmed[b], unconfirmed[a] })
		for _, id := range unconfirmed[:min(len(unconfirmed), loanQueryFanout)] {
			if address, ok := n.holderAddresses.Load(id); ok {
				n.loops.Go(func() { n.queryLoansOf(ctx, id, address.(string)) })
			}
		}
		sleep(ctx, loanQueryInterval)
	}
}

// queryLoansOf queries one instance. An instance that cannot be reached may hold a loan: it
// is queried again until loans have expired.
func (n *Instance) queryLoansOf(ctx context.Context, id, address string) {
	client, err := n.pool.Get(address)
	if err != nil {
		n.log.Error("peer_address", "address", address, "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loanQueryTimeout)
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

// clearLoans lets this instance use its whole share once nothing that a predecessor lent
// can be spent any more.
func (n *Instance) clearLoans(now time.Time) {
	if n.shares.TryClear(!now.Before(quota.LoanExpiry(n.started))) {
		n.log.Info("quota_cleared", "after_ms", now.Sub(n.started).Milliseconds())
	}
}

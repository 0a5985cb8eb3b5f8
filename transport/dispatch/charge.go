package dispatch

import (
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/metrics"
)

func (f *Front) charge(account *service.Account, cost float64) *refusal.Refusal {
	if cost > account.Burst {
		return refusal.New(refusal.CodeTooLarge, "the request may use %.0f tokens, the account's burst is %.0f", cost, account.Burst)
	}
	ok, wait := f.Ledger.Admit(account, cost, time.Now())
	if !ok {
		f.Metrics.Quota(metrics.QuotaRefused, cost)
		return refusal.New(refusal.CodeRateLimited, "the account is at its rate").After(wait)
	}
	f.Metrics.Quota(metrics.QuotaCharged, cost)
	return nil
}

// settle refunds what the worst-case charge was too high by.
func (f *Front) settle(account *service.Account, w *Work, u *usage, cost float64, err error) {
	used := cost
	switch {
	case w.Generation != nil && u.done:
		used = float64(u.prompt + u.output)
	case err != nil && refusal.From(err).Run == refusal.NotRun:
		used = 0
	}
	if used < cost {
		f.Ledger.Settle(account, cost-used, time.Now())
		f.Metrics.Quota(metrics.QuotaRefunded, cost-used)
	}
}

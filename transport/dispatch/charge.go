package dispatch

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/metrics"
)

// charge takes the maximum number of tokens that the work can use. A request short of
// tokens waits for minting or a loan, at most as long as its class allows. It is refused
// as soon as it is clear that the tokens cannot arrive in time.
func (f *Front) charge(ctx context.Context, account *service.Account, w *Work, cost float64) (quota.Charge, *refusal.Refusal) {
	if cost > account.Burst {
		return quota.Charge{}, refusal.New(refusal.CodeTooLarge, "the request may use %.0f tokens, the account's burst is %.0f", cost, account.Burst)
	}
	if charge, ok := f.Ledger.Admit(account.Name, cost, time.Now()); ok {
		f.Metrics.RecordQuota(metrics.QuotaCharged, cost)
		return charge, nil
	}
	limit := min(w.MaxWait, time.Until(w.Deadline))
	waiter := f.Ledger.Wait(account.Name, cost, limit, time.Now())
	select {
	case decision := <-waiter.Done:
		if !decision.OK {
			f.Metrics.RecordQuota(metrics.QuotaRefused, cost)
			return quota.Charge{}, refusal.New(refusal.CodeRateLimited, "the account is at its rate").WithRetryAfter(decision.RetryAfter)
		}
		f.Metrics.RecordQuota(metrics.QuotaCharged, cost)
		return decision.Charge, nil
	case <-ctx.Done():
		f.Ledger.Abandon(waiter, time.Now())
		return quota.Charge{}, refusal.FromError(f.cancelError(ctx, refusal.New(refusal.CodeDeadline, "the request ran out of time"))).WithRunState(refusal.NotRun)
	}
}

// settle refunds the difference between the charge, which is an upper bound, and the
// tokens used.
func (f *Front) settle(charge quota.Charge, w *Work, u *usage, err error) {
	used := charge.Tokens
	switch {
	case w.Generation != nil && u.done:
		used = float64(u.prompt + u.output)
	case err != nil && refusal.FromError(err).RunState == refusal.NotRun:
		used = 0
	}
	if used < charge.Tokens {
		f.Ledger.Settle(charge, used, time.Now())
		f.Metrics.RecordQuota(metrics.QuotaRefunded, charge.Tokens-used)
	}
}

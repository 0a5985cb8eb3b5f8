package instance

import (
	"context"
	"time"
)

const quotaEvery = time.Second

// shareQuotaLoop keeps the instance's part of every account's quota up to date.
func (i *Instance) shareQuotaLoop(ctx context.Context) {
	every(ctx, quotaEvery, func(context.Context) { i.shareQuota() })
}

// shareQuota splits every account's rate evenly over the instances in the list.
func (i *Instance) shareQuota() {
	count := len(i.members.Members(time.Now()))
	i.ledger.SetShare(1 / float64(count))
}

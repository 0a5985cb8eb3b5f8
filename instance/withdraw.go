package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	withdrawStoreWait  = 2 * time.Second
	withdrawRetryEvery = 2 * time.Second
)

// Withdraw implements operator.Instance. The key stops working here at once, on
// every peer in reach before the call returns, and elsewhere when the store or a
// peer brings it there. It needs no store: what the store misses is written when
// it answers again.
func (i *Instance) Withdraw(ctx context.Context, keyID string) (*operatorapi.Withdrawal, error) {
	if !service.ValidName(keyID) {
		return nil, errors.Newf("key id %q: want lower-case letters, digits and dashes", keyID)
	}
	nonce, err := uuid.NewV7()
	if err != nil {
		return nil, errors.Wrap(err, "withdrawal")
	}
	d := i.config.Withdraw(keyID, nonce.String())
	i.withdrawn.Store(keyID, true)
	result := &operatorapi.Withdrawal{ID: keyID}
	var both sync.WaitGroup
	both.Go(func() {
		result.Peers = i.tellAll(func(address string) bool { return i.tellDocument(ctx, address, d) })
	})
	both.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, withdrawStoreWait)
		defer cancel()
		result.Stored = d.Revision > 0 || i.storeWithdrawal(ctx, d) == nil
	})
	both.Wait()
	return result, nil
}

// tellDocument hands a peer one document. It moves no watermark there.
func (i *Instance) tellDocument(ctx context.Context, address string, d configwatch.Document) bool {
	client, err := i.pool.Get(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	revision := i.config.Revision()
	_, err = client.Exchange(ctx, &peerpb.ExchangeRequest{
		From: i.settings.ID, ConfigRevision: revision, DocumentsAfter: revision,
		Documents: encodeDocuments([]configwatch.Document{d}),
	})
	return err == nil
}

// storeWithdrawal creates the withdrawal in the store. A conflict means that the
// store has it.
func (i *Instance) storeWithdrawal(ctx context.Context, d configwatch.Document) error {
	_, err := i.platform.Put(ctx, platform.Write{Key: d.Key, Value: d.Value})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// storeWithdrawals writes withdrawals that the store misses. The instance that
// took one does, and the watchers of each domain, one write at a time and none
// while the store does not answer, so that its return is not met by a storm.
func (i *Instance) storeWithdrawals(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait(ctx, time.After(withdrawRetryEvery/2+rand.N(withdrawRetryEvery)))
		watches := i.watches()
		for _, d := range i.config.Pending() {
			id, _ := d.WithdrawnKeyID()
			if _, own := i.withdrawn.Load(id); !own && !watches {
				continue
			}
			if !i.storePending(ctx, d) {
				break
			}
		}
	}
}

func (i *Instance) storePending(ctx context.Context, d configwatch.Document) bool {
	ctx, cancel := context.WithTimeout(ctx, withdrawStoreWait)
	defer cancel()
	return i.storeWithdrawal(ctx, d) == nil
}

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
	withdrawStoreTimeout  = 2 * time.Second
	withdrawRetryInterval = 2 * time.Second
)

// Withdraw implements operator.Instance. The key stops working on this instance at once, on
// every reachable peer before the call returns, and elsewhere when the store or a peer
// delivers the withdrawal. It needs no store: a withdrawal that the store lacks is written
// when it responds again.
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
	var calls sync.WaitGroup
	calls.Go(func() {
		result.Peers = i.callPeers(func(address string) bool { return i.sendDocument(ctx, address, d) })
	})
	calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, withdrawStoreTimeout)
		defer cancel()
		result.Stored = d.Revision > 0 || i.storeWithdrawal(ctx, d) == nil
	})
	calls.Wait()
	return result, nil
}

// sendDocument sends a peer one document. It does not move the peer's watermark.
func (i *Instance) sendDocument(ctx context.Context, address string, d configwatch.Document) bool {
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

// storeWithdrawal creates the withdrawal in the store. A conflict means that the store
// already has it.
func (i *Instance) storeWithdrawal(ctx context.Context, d configwatch.Document) error {
	_, err := i.platform.Put(ctx, platform.Write{Key: d.Key, Value: d.Value})
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// storeWithdrawals writes withdrawals that the store lacks. The instance that an operator
// sent one to writes it, and so do the watchers of each domain, one write at a time and
// none while the store does not respond, so that it is not flooded when it comes back.
func (i *Instance) storeWithdrawals(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait(ctx, time.After(withdrawRetryInterval/2+rand.N(withdrawRetryInterval)))
		watcher := i.isWatcher()
		for _, d := range i.config.Pending() {
			id, _ := d.WithdrawnKeyID()
			if _, accepted := i.withdrawn.Load(id); !accepted && !watcher {
				continue
			}
			if !i.storePending(ctx, d) {
				break
			}
		}
	}
}

func (i *Instance) storePending(ctx context.Context, d configwatch.Document) bool {
	ctx, cancel := context.WithTimeout(ctx, withdrawStoreTimeout)
	defer cancel()
	return i.storeWithdrawal(ctx, d) == nil
}

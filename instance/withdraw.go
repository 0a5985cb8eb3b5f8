package instance

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/platform"
)

const withdrawStoreWait = 2 * time.Second

// Withdraw implements operator.Instance. The key stops working here at once, on
// every peer in reach before the call returns, and elsewhere when the store or a
// peer brings it there.
func (i *Instance) Withdraw(ctx context.Context, keyID string) (*operatorapi.Withdrawal, error) {
	now := time.Now()
	i.catalog.Withdraw(keyID, now.UnixMilli())
	result := &operatorapi.Withdrawal{ID: keyID}
	for _, address := range i.members.Targets() {
		if i.exchangeWith(ctx, address) {
			result.Peers++
		}
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawStoreWait)
	defer cancel()
	_, err := i.platform.Put(ctx, platform.Write{
		Key:   service.StoreKey(configwatch.KindWithdrawn, keyID),
		Value: []byte(strconv.FormatInt(now.UnixMilli(), 10)),
	})
	result.Stored = err == nil || errors.Is(err, platform.ErrConflict)
	return result, nil
}

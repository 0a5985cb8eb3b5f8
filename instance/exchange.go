package instance

import (
	"context"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	exchangeEvery   = time.Second
	exchangeTimeout = 2 * time.Second
)

// exchange brings the own view and the peers' together.
func (i *Instance) exchange(ctx context.Context) {
	every(ctx, exchangeEvery, i.exchangeAll)
}

func (i *Instance) exchangeAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, address := range i.members.Targets() {
		calls.Go(func() { i.exchangeWith(ctx, address) })
	}
	calls.Wait()
}

func (i *Instance) exchangeWith(ctx context.Context, address string) bool {
	client, err := i.pool.Get(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := client.Exchange(ctx, &peerpb.ExchangeRequest{
		From: i.settings.ID, Digests: i.members.Digests(), Members: []*peerpb.Member{i.members.Self()},
		ConfigRevision: i.config.Revision(), Withdrawals: i.withdrawals(), Quarantines: i.quarantines(),
	})
	if err != nil {
		return false
	}
	i.members.Merge(resp.GetMembers(), time.Now())
	i.takeShared(resp.GetDocuments(), resp.GetConfigRevision(), resp.GetWithdrawals(), resp.GetQuarantines())
	return true
}

// Exchange implements peer.Exchanger.
func (i *Instance) Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	i.members.Merge(req.GetMembers(), time.Now())
	i.takeShared(req.GetDocuments(), req.GetConfigRevision(), req.GetWithdrawals(), req.GetQuarantines())
	documents, revision := i.config.Since(req.GetConfigRevision())
	resp := &peerpb.ExchangeResponse{
		Members: i.members.Newer(req.GetDigests()), ConfigRevision: revision,
		Withdrawals: i.withdrawals(), Quarantines: i.quarantines(),
	}
	for _, d := range documents {
		resp.Documents = append(resp.Documents, &peerpb.Document{Key: d.Key, Revision: d.Revision, Value: d.Value, Deleted: d.Deleted})
	}
	return resp
}

// takeShared takes in what a peer knows. A peer that is ahead but sent no
// documents is asked at the next exchange.
func (i *Instance) takeShared(documents []*peerpb.Document, revision int64, withdrawals []*peerpb.Withdrawal, quarantines []*peerpb.Quarantine) {
	for _, w := range withdrawals {
		i.catalog.Withdraw(w.GetKeyId(), w.GetAtUnixMs())
	}
	for _, q := range quarantines {
		i.quarantine.Merge(decodeQuarantine(q))
	}
	if len(documents) == 0 {
		return
	}
	offered := make([]configwatch.Document, len(documents))
	for n, d := range documents {
		offered[n] = configwatch.Document{Key: d.GetKey(), Revision: d.GetRevision(), Value: d.GetValue(), Deleted: d.GetDeleted()}
	}
	i.offer("peer", offered, revision)
}

func (i *Instance) withdrawals() []*peerpb.Withdrawal {
	var out []*peerpb.Withdrawal
	for id, at := range i.catalog.Withdrawn() {
		out = append(out, &peerpb.Withdrawal{KeyId: id, AtUnixMs: at})
	}
	return out
}

package routed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/transport/platform"
)

// membersPrefix is where each instance writes its own item. The items list the addresses to
// try at a start, and the set of instances among which quotas are divided; they are never
// deleted and not bound to a lease. Liveness is determined by exchanges between the instances.
const membersPrefix = "fleet/members/"

// memberItem is what an instance writes about itself.
type memberItem struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	Peer   string `json:"peer"`
	Minted bool   `json:"minted"` // it has minted its share of the quotas at least once
	Link   int    `json:"link"`   // Mbit/s of its machine; 0 if not known
}

// join writes this instance's item and reads those of all others. It writes the item again
// once the instance has started to mint.
func (n *Instance) join(ctx context.Context) {
	minted := false
	n.retryUntilDone(ctx, func() (err error) {
		minted, err = n.register(ctx)
		return err
	})
	for ctx.Err() == nil && !n.shares.Mints() {
		sleep(ctx, minBackoff)
	}
	if minted {
		return
	}
	n.retryUntilDone(ctx, func() error { return n.putMember(ctx, true) })
}

// retryUntilDone calls try with backoff until it succeeds or ctx ends.
func (n *Instance) retryUntilDone(ctx context.Context, try func() error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := try()
		if err == nil {
			return
		}
		n.log.Debug("store_call_failed", "error", err.Error())
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// register writes this instance's item unless the store has it, and reads the others'.
// minted reports whether the instance has minted before. An instance whose item is stored
// from an earlier incarnation needs a single call: the item was there before it read the
// others', and until the call returns every account is refused on this instance.
func (n *Instance) register(ctx context.Context) (minted bool, err error) {
	found, err := n.listMembers(ctx)
	if err != nil {
		return false, err
	}
	stored := found[n.settings.ID]
	if stored.Peer != n.settings.Listen.Peers {
		if err := n.putMember(ctx, stored.Minted); err != nil {
			return false, err
		}
		if found, err = n.listMembers(ctx); err != nil {
			return false, err
		}
	}
	var seeds []membership.Seed
	var holders []quotashare.Holder
	for _, m := range found {
		holders = append(holders, quotashare.Holder{ID: m.ID, Domain: m.Domain})
		n.holderAddresses.Store(m.ID, m.Peer)
		seeds = append(seeds, membership.Seed{ID: m.ID, PeerAddress: m.Peer, Region: m.Region, Domain: m.Domain})
	}
	n.members.SetSeeds(append(seeds, n.staticSeeds()...))
	n.setStartReaders(found)
	if stored.Minted {
		n.shares.RecordMinted()
	} else if !n.shares.Mints() {
		n.shares.RecordNeverMinted()
	}
	n.shares.Merge(holders, true)
	n.log.Info("joined", "holders", len(found), "minted_before", stored.Minted)
	n.updateLedgerHolders()
	n.triggerExchange()
	return stored.Minted, nil
}

// listMembers reads the items of all instances, by id.
func (n *Instance) listMembers(ctx context.Context) (map[string]memberItem, error) {
	items, _, err := n.source.Store().List(ctx, membersPrefix, 0)
	if err != nil {
		return nil, err
	}
	found := make(map[string]memberItem, len(items))
	for _, kv := range items {
		if m, ok := n.decodeMember(kv.Key, kv.Value); ok {
			found[m.ID] = m
		}
	}
	return found, nil
}

func (n *Instance) decodeMember(key string, value []byte) (memberItem, bool) {
	var m memberItem
	if len(value) == 0 {
		return m, false
	}
	if err := json.Unmarshal(value, &m); err != nil || m.ID != strings.TrimPrefix(key, membersPrefix) {
		n.log.Info("member_unreadable", "key", key)
		return memberItem{}, false
	}
	return m, true
}

func (n *Instance) putMember(ctx context.Context, minted bool) error {
	value, err := json.Marshal(memberItem{
		ID: n.settings.ID, Region: n.settings.Region, Domain: n.settings.Domain, Peer: n.settings.Listen.Peers, Minted: minted,
		Link: int(n.settings.LinkMbps),
	})
	if err != nil {
		return errors.Wrap(err, "member")
	}
	_, err = n.source.Store().Put(ctx, platform.Write{Key: membersPrefix + n.settings.ID, Value: value, ExpectRevision: platform.ExpectAny})
	return err
}

// updateLedgerHolders passes a changed set of instances to the ledger.
func (n *Instance) updateLedgerHolders() {
	if config := n.routes.Current(); config != nil {
		n.updateLedger(config)
	}
}

// reseedInterval is how often an instance that reaches no other one reads the seeds again:
// the instances that it knew may have been replaced.
const reseedInterval = 5 * time.Second

// reseed reads the members again while this instance reaches no other one.
func (n *Instance) reseed(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, reseedInterval)
		if fleet, _ := n.reachableCounts(); fleet > 1 || ctx.Err() != nil {
			continue
		}
		if _, err := n.register(ctx); err != nil {
			n.log.Debug("store_call_failed", "error", err.Error())
		}
	}
}

// rejoinSpread is the time over which the instances look for their items after a restore: all of them
// learn of it at once.
const rejoinSpread = time.Second

// rejoin writes this instance's item again after each restore of the store that has lost it.
func (n *Instance) rejoin(ctx context.Context) {
	for {
		select {
		case <-n.storeRestored:
		case <-ctx.Done():
			return
		}
		sleep(ctx, rand.N(rejoinSpread))
		n.retryUntilDone(ctx, func() error { return n.rewriteMember(ctx) })
	}
}

// rewriteMember writes this instance's item unless the store has it as it is.
func (n *Instance) rewriteMember(ctx context.Context) error {
	key := membersPrefix + n.settings.ID
	stored, err := n.source.Store().Get(ctx, key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	m, _ := n.decodeMember(key, stored.Value)
	if m.Peer == n.settings.Listen.Peers && (m.Minted || !n.shares.Mints()) {
		return nil
	}
	n.log.Info("member_written_again", "minted", n.shares.Mints())
	return n.putMember(ctx, m.Minted || n.shares.Mints())
}

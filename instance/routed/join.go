package routed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quotashare"
)

// membersPrefix is where each instance writes its own item. The items list the addresses to
// try at a start, and the set of instances among which quotas are divided; they are never
// deleted and not bound to a lease. Liveness is determined by exchanges between the instances.
const membersPrefix = "fleet/members/"

// join writes this instance's item, reads those of all others and keeps the item until ctx ends.
// An instance that was removed while it could not be heard joins anew.
func (n *Instance) join(ctx context.Context) {
	n.item.require()
	for ctx.Err() == nil {
		n.retryUntilDone(ctx, func() error {
			_, err := n.register(ctx)
			return err
		})
		n.keepItem(ctx)
	}
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

// register writes this instance's item unless the store has it, and reads the others'. An instance
// whose item is stored from an earlier incarnation needs a single call: the item was there before it
// read the others', and until the call returns every account is refused on this instance.
// minted reports whether the instance has minted before.
func (n *Instance) register(ctx context.Context) (minted bool, err error) {
	if !n.item.lock(ctx) {
		return false, ctx.Err()
	}
	defer n.item.unlock()
	if _, left, _ := n.item.state(); left {
		return false, nil
	}
	began := time.Now()
	found, rank, err := n.listMembers(ctx)
	if err != nil {
		return false, err
	}
	era, _ := configwatch.SplitRank(rank)
	if want, stands := n.initialItem(found[n.settings.ID], era); !stands {
		if err := n.putItem(ctx, want, found[n.settings.ID].revision); err != nil {
			return false, err
		}
		began = time.Now()
		if found, _, err = n.listMembers(ctx); err != nil {
			return false, err
		}
	}
	stored := found[n.settings.ID]
	if stored.Removed != "" {
		return false, errItemGone
	}
	n.item.prove(stored, began)
	n.applyMemberItems(found, stored.memberItem)
	n.log.Info("joined", "holders", n.shares.Size(), "minted_before", stored.Minted, "generation", stored.Generation)
	n.updateLedgerHolders()
	n.triggerExchange()
	return stored.Minted, nil
}

// initialItem returns the item that this instance has to write at its start, and whether the one that
// is stored of it stands.
func (n *Instance) initialItem(stored storedMember, era int64) (want memberItem, stands bool) {
	generation := stored.Generation
	if stored.Removed != "" {
		generation++
	}
	known, removed := n.shares.Generation(n.settings.ID)
	if removed {
		known++
	}
	if known > generation {
		generation = known
	}
	stands = stored.ID != "" && stored.Peer == n.settings.Listen.Peers && stored.Doubted == "" && stored.ProofMs != 0 &&
		generation == stored.Generation
	base := memberItem{Generation: generation, Minted: stored.Minted && generation == stored.Generation}
	return n.desiredItem(base, era), stands
}

// applyMemberItems applies the items of all instances, of which one is this instance's own.
func (n *Instance) applyMemberItems(found map[string]storedMember, own memberItem) {
	var seeds []membership.Seed
	var entries []quotashare.Entry
	running := make(map[string]memberItem, len(found))
	for id, m := range found {
		entries = append(entries, m.entry())
		if m.Removed != "" || m.Left {
			continue
		}
		running[id] = m.memberItem
		n.holderAddresses.Store(id, m.Peer)
		seeds = append(seeds, membership.Seed{ID: id, PeerAddress: m.Peer, Region: m.Region, Domain: m.Domain})
	}
	n.members.SetSeeds(append(seeds, n.staticSeeds()...))
	n.setStartReaders(running)
	n.shares.MergeEntries(entries, false)
	if own.Minted {
		n.shares.RecordMinted()
	} else if !n.shares.Mints() {
		n.shares.RecordNeverMinted()
	}
	n.shares.MergeEntries(nil, true)
}

// listMembers reads the items of all instances, by id, and the store's rank.
func (n *Instance) listMembers(ctx context.Context) (map[string]storedMember, int64, error) {
	items, rank, err := n.source.Store().List(ctx, membersPrefix, 0)
	if err != nil {
		return nil, 0, err
	}
	found := make(map[string]storedMember, len(items))
	for _, kv := range items {
		if m, ok := n.decodeMember(kv); ok {
			found[m.entry().ID] = m
		}
	}
	return found, rank, nil
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
	if stored, _, _ := n.item.state(); stored.ID == "" {
		return nil // it has not joined yet
	}
	err := n.proveItem(ctx)
	if errors.Is(err, errItemGone) {
		return nil // it joins anew
	}
	return err
}

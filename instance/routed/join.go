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

// membersPrefix is where each instance writes one item of its own. The items are
// whom to try at a start, and the set among which quotas are divided; they are never
// taken away and no lease is on them. Who lives is told by the instances themselves.
const membersPrefix = "fleet/members/"

// memberItem is what an instance writes of itself.
type memberItem struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	Peer   string `json:"peer"`
	Minted bool   `json:"minted"` // it has once minted its part of the quotas
}

// join writes this instance's item and reads all others', and writes once more when
// the instance has begun to mint.
func (n *Instance) join(ctx context.Context) {
	minted := false
	n.until(ctx, func() (err error) {
		minted, err = n.enter(ctx)
		return err
	})
	for ctx.Err() == nil && !n.shares.Mints() {
		pause(ctx, minBackoff)
	}
	if minted {
		return
	}
	n.until(ctx, func() error { return n.putMember(ctx, true) })
}

// until tries until it succeeds or ctx ends.
func (n *Instance) until(ctx context.Context, try func() error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := try()
		if err == nil {
			return
		}
		n.log.Debug("store_call_failed", "error", err.Error())
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// enter makes this instance known and learns of the others. minted tells whether it
// has minted before. One that the store knows from an earlier lifetime needs a single
// call: its item stood there before it read the others', and until then every account is
// refused here.
func (n *Instance) enter(ctx context.Context) (minted bool, err error) {
	found, err := n.listMembers(ctx)
	if err != nil {
		return false, err
	}
	own := found[n.settings.ID]
	if own.Peer != n.settings.Listen.Peers {
		if err := n.putMember(ctx, own.Minted); err != nil {
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
		n.holderAddress.Store(m.ID, m.Peer)
		seeds = append(seeds, membership.Seed{ID: m.ID, PeerAddress: m.Peer, Region: m.Region, Domain: m.Domain})
	}
	n.members.SetSeeds(append(seeds, n.staticSeeds()...))
	if own.Minted {
		n.shares.RecordMinted()
	} else if !n.shares.Mints() {
		n.shares.RecordNeverMinted()
	}
	n.shares.Merge(holders, true)
	n.log.Info("joined", "holders", len(found), "minted_before", own.Minted)
	n.quotasChanged()
	n.spread()
	return own.Minted, nil
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
	})
	if err != nil {
		return errors.Wrap(err, "member")
	}
	_, err = n.source.Store().Put(ctx, platform.Write{Key: membersPrefix + n.settings.ID, Value: value, ExpectRevision: platform.ExpectAny})
	return err
}

// quotasChanged hands a changed set of instances to the ledger.
func (n *Instance) quotasChanged() {
	if config := n.routes.Current(); config != nil {
		n.updateAccounts(config)
	}
}

// reseedEvery is how often an instance that reaches no other one reads again whom to
// try: those that it knew may have been replaced.
const reseedEvery = 5 * time.Second

// reseed reads the members again while this instance is alone.
func (n *Instance) reseed(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, reseedEvery)
		if fleet, _ := n.reachable(); fleet > 1 || ctx.Err() != nil {
			continue
		}
		if _, err := n.enter(ctx); err != nil {
			n.log.Debug("store_call_failed", "error", err.Error())
		}
	}
}

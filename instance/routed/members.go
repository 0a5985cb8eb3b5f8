package routed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/state/mirror"
	"github.com/basilroute/basilroute/transport/peer"
	"github.com/basilroute/basilroute/transport/platform"
)

// Keys of the fleet's own items in the store.
const (
	ownPrefix     = "fleet/"
	membersPrefix = ownPrefix + "members/"
	sharesKey     = ownPrefix + "quota"
)

const (
	// memberLease is how long an instance that said nothing stays on the list of
	// whom to try. The list never makes a live instance dead.
	memberLease  = 8 * time.Second
	memberRenew  = memberLease / 4
	exchangeSoon = 300 * time.Millisecond // between rounds while the store is out of reach
	exchangeWait = 1500 * time.Millisecond
	// dropAfter is how many exchanges in a row fail before the connection is given
	// up: one that went silent never heals, and a new one may work.
	dropAfter = 2
	// exchangeFirst is between rounds until this instance may mint: after a restart of
	// the whole fleet every account waits for it.
	exchangeFirst = 100 * time.Millisecond
)

// memberItem is what an instance writes of itself.
type memberItem struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	Domain string `json:"domain"`
	Peer   string `json:"peer"`
}

// register keeps the own item in the store, under a lease.
func (n *Node) register(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := n.source.Store().Grant(ctx, max(memberLease, n.settings.Store.LeastLease))
		if err == nil {
			err = n.putMember(ctx, lease)
		}
		if err != nil {
			n.log.Debug("register", "error", err.Error())
			pause(ctx, minBackoff+rand.N(maxBackoff))
			continue
		}
		n.log.Info("registered", "lease", lease)
		n.renew(ctx, lease)
	}
}

func (n *Node) putMember(ctx context.Context, lease int64) error {
	value, err := json.Marshal(memberItem{ID: n.settings.ID, Region: n.settings.Region, Domain: n.settings.Domain, Peer: n.settings.Listen.Peers})
	if err != nil {
		return errors.Wrap(err, "member")
	}
	_, err = n.source.Store().Put(ctx, platform.Write{Key: membersPrefix + n.settings.ID, Value: value, Expect: platform.ExpectAny, Lease: lease})
	return err
}

// renew returns when the lease has ended.
func (n *Node) renew(ctx context.Context, lease int64) {
	for ctx.Err() == nil {
		pause(ctx, memberRenew)
		err := n.source.Store().KeepAlive(ctx, lease)
		if errors.Is(err, platform.ErrLeaseNotFound) {
			n.log.Info("registration_lost", "lease", lease)
			return
		}
	}
}

// ownChanged takes in the fleet's own items.
func (n *Node) ownChanged(changed []mirror.Item) {
	members := false
	for _, item := range changed {
		switch {
		case strings.HasPrefix(item.Key, membersPrefix):
			members = true
		case item.Key == sharesKey && !item.Removed:
			n.takeShares(item.Value)
		}
	}
	if members {
		n.members.SetSeeds(n.seeds())
	}
}

func (n *Node) seeds() []membership.Seed {
	var out []membership.Seed
	for _, address := range n.settings.Seeds {
		if address != n.settings.Listen.Peers {
			out = append(out, membership.Seed{PeerAddress: address})
		}
	}
	for _, item := range n.own.mirror.Items() {
		if !strings.HasPrefix(item.Key, membersPrefix) {
			continue
		}
		var m memberItem
		if err := json.Unmarshal(item.Value, &m); err != nil {
			n.log.Info("member_unreadable", "key", item.Key, "error", err.Error())
			continue
		}
		out = append(out, membership.Seed{ID: m.ID, PeerAddress: m.Peer, Region: m.Region, Domain: m.Domain})
	}
	return out
}

func (n *Node) takeShares(value []byte) {
	record, err := quotashare.DecodeRecord(value)
	if err != nil {
		n.log.Error("quota_shares_unreadable", "error", err.Error())
		return
	}
	n.shares.Observe(record)
	if config := n.routes.Current(); config != nil {
		n.updateAccounts(config)
	}
	n.spread()
}

// joinShares writes this instance into the document of quota shares.
func (n *Node) joinShares(ctx context.Context) {
	for ctx.Err() == nil {
		joined, err := n.tryJoin(ctx)
		if joined {
			return
		}
		if err != nil {
			n.log.Debug("join_quota", "error", err.Error())
		}
		pause(ctx, minBackoff/2+rand.N(2*minBackoff))
	}
}

func (n *Node) tryJoin(ctx context.Context) (bool, error) {
	store := n.source.Store()
	kv, err := store.Get(ctx, sharesKey)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return false, err
	}
	record, err := quotashare.DecodeRecord(kv.Value)
	if err != nil {
		return false, err
	}
	for _, holder := range record.Holders {
		if holder == n.settings.ID {
			n.takeShares(kv.Value)
			return true, nil
		}
	}
	value, err := record.With(n.settings.ID).Encode()
	if err != nil {
		return false, err
	}
	if _, err = store.Put(ctx, platform.Write{Key: sharesKey, Value: value, Expect: kv.Revision}); err != nil {
		return false, err
	}
	n.log.Info("quota_joined", "holders", record.Version()+1)
	n.takeShares(value)
	return true, nil
}

// exchange brings the own view and the peers' together, each second, at once after
// news, and more often while the store is out of reach.
func (n *Node) exchange(ctx context.Context) {
	last := time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(last) >= membership.RoundEvery {
			n.members.Beat(now)
			last = now
		}
		n.publishLoads(now)
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		for _, address := range n.members.Round(now, rng) {
			if _, busy := n.exchanging.LoadOrStore(address, true); busy {
				continue
			}
			n.loops.Go(func() {
				defer n.exchanging.Delete(address)
				n.exchangeWith(ctx, address)
			})
		}
		wait := membership.RoundEvery
		switch {
		case !n.shares.Cleared():
			wait = exchangeFirst
		case n.storeAway(now):
			wait = exchangeSoon
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-n.news:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// spread starts a round at once.
func (n *Node) spread() {
	select {
	case n.news <- struct{}{}:
	default:
	}
}

func (n *Node) exchangeWith(ctx context.Context, address string) {
	client, err := n.pool.Get(address)
	if err != nil {
		n.log.Error("peer_address", "address", address, "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeWait)
	defer cancel()
	req := n.members.Request(n.members.At(address))
	req.Quarantines = peer.EncodeQuarantines(n.quarantine.Records(time.Now()))
	if n.storeAway(time.Now()) {
		req.StoreViews = n.knowledge()
	}
	req.LentBefore = !n.shares.Cleared()
	req.ConfigRevision = n.members.Self().GetConfigRevision()
	resp, err := client.Exchange(ctx, req)
	if err != nil {
		n.exchangeFailed(address, err)
		return
	}
	n.failures.Delete(address)
	n.takeResponse(ctx, client, resp)
}

// exchangeFailed gives up a connection that has gone silent.
func (n *Node) exchangeFailed(address string, err error) {
	count, _ := n.failures.LoadOrStore(address, 0)
	failed, _ := count.(int)
	failed++
	n.failures.Store(address, failed)
	if failed == 1 {
		n.log.Info("peer_silent", "address", address, "error", err.Error())
	}
	if failed%dropAfter == 0 {
		n.pool.Drop(address)
	}
}

func (n *Node) takeResponse(ctx context.Context, client peerpb.PeerClient, resp *peerpb.ExchangeResponse) {
	next := n.members.Finish(resp, time.Now())
	n.takeViews(resp.GetStoreViews(), resp.GetFrom())
	for _, q := range resp.GetQuarantines() {
		n.quarantine.Merge(peer.DecodeQuarantine(q))
	}
	n.hearLoans(resp)
	if next != nil {
		followed, err := client.Exchange(ctx, next)
		if err != nil {
			n.log.Debug("exchange_follow_up", "error", err.Error())
		} else {
			n.members.Finish(followed, time.Now())
		}
	}
	n.lookAtMembers(time.Now())
}

// hearLoans notes that a peer holds nothing that this instance's predecessor lent.
func (n *Node) hearLoans(resp *peerpb.ExchangeResponse) {
	if n.shares.Cleared() || resp.GetOwes() {
		return
	}
	n.noLoans.Store(resp.GetFrom(), true)
}

// clearLoans lets this instance use its whole part when nothing that a predecessor lent can be
// spent any more: every holder of a part says so, or the loans have expired.
func (n *Node) clearLoans(now time.Time) {
	if n.shares.Cleared() {
		return
	}
	if now.Before(quota.LentUntil(n.started)) {
		for _, holder := range n.shares.Record().Holders {
			if _, ok := n.noLoans.Load(holder); !ok && holder != n.settings.ID {
				return
			}
		}
		if n.shares.Record().Version() == 0 {
			return
		}
	}
	n.log.Info("quota_cleared", "after_ms", now.Sub(n.started).Milliseconds())
	n.shares.Clear()
}

// Exchange implements peer.Exchanger.
func (n *Node) Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	now := time.Now()
	resp := n.members.Respond(req, now)
	if req.GetView() == nil {
		return resp
	}
	for _, q := range req.GetQuarantines() {
		n.quarantine.Merge(peer.DecodeQuarantine(q))
	}
	resp.Quarantines = peer.EncodeQuarantines(n.quarantine.Records(now))
	resp.StoreViews = n.lacking(req.GetStoreViews())
	if req.GetLentBefore() {
		resp.Owes = n.ledger.Owes(req.GetFrom(), now) || n.lending.OpenTo(req.GetFrom())
	}
	return resp
}

// lookAtMembers takes in what the members say of quota shares, and who lives.
func (n *Node) lookAtMembers(now time.Time) {
	var regional []string
	var casts []netip.AddrPort
	fleet := 0
	for _, m := range n.members.Members(now) {
		n.shares.Acknowledged(m.Entry.GetId(), int(m.Entry.GetQuotaVersion()))
		if !m.Reachable || m.Leaving() {
			continue
		}
		fleet++
		if m.Entry.GetRegion() == n.settings.Region {
			regional = append(regional, m.Entry.GetId())
			if address, err := netip.ParseAddrPort(m.Entry.GetRelayAddress()); err == nil && m.Entry.GetId() != n.settings.ID {
				casts = append(casts, address)
			}
		}
	}
	n.castTo.Store(&casts)
	n.regional.Store(&regional)
	n.fleetSize.Store(int64(max(fleet, n.shares.Record().Version())))
}

// Instances implements httproute.Remotes. The fleet counts those too that cannot be
// reached: they go on spending their part of what is shared.
func (n *Node) Instances() (fleet, region int) {
	return int(max(n.fleetSize.Load(), 1)), max(len(*n.regional.Load()), 1)
}

// rendezvousTop returns the member that the hash names for a key.
func rendezvousTop(members []string, key string) string {
	top, best := "", uint64(0)
	for _, m := range members {
		if score := xxhash.Sum64String(m + "\x00" + key); top == "" || score > best {
			top, best = m, score
		}
	}
	return top
}

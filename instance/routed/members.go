package routed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/loadhub"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/transport/peer"
)

const (
	exchangeSoon = 300 * time.Millisecond // between rounds while the store is out of reach
	exchangeWait = 1500 * time.Millisecond
	// dropAfter is how many exchanges in a row fail before the connection is given
	// up: one that went silent never heals, and a new one may work.
	dropAfter = 2
	// exchangeFirst is between rounds until this instance may mint: after a restart of
	// the whole fleet every account waits for it.
	exchangeFirst = 100 * time.Millisecond
)

// exchange brings the own view and the peers' together, each second, at once after
// news, and more often while the store is out of reach.
func (n *Instance) exchange(ctx context.Context) {
	last := time.Time{}
	for ctx.Err() == nil {
		now := time.Now()
		if now.Sub(last) >= membership.RoundInterval {
			n.members.StartRound(now)
			last = now
		}
		n.publishLoads(now)
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		for _, address := range n.members.RoundTargets(now, rng) {
			if _, busy := n.exchanging.LoadOrStore(address, true); busy {
				continue
			}
			n.loops.Go(func() {
				defer n.exchanging.Delete(address)
				n.exchangeWith(ctx, address)
			})
		}
		wait := membership.RoundInterval
		switch {
		case !n.shares.Cleared():
			wait = exchangeFirst
		case n.storeAway():
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
func (n *Instance) spread() {
	select {
	case n.news <- struct{}{}:
	default:
	}
}

func (n *Instance) exchangeWith(ctx context.Context, address string) {
	client, err := n.pool.Get(address)
	if err != nil {
		n.log.Error("peer_address", "address", address, "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeWait)
	defer cancel()
	req := n.members.Request(n.members.ByPeerAddress(address))
	req.Quarantines = peer.EncodeQuarantines(n.quarantine.Records(time.Now()))
	req.StoreViews = n.knowledge()
	req.LentBefore = !n.shares.Cleared()
	req.QuotaHash = n.shares.Hash()
	req.ConfigRevision = n.members.Self().GetConfigRevision()
	resp, err := client.Exchange(ctx, req)
	if err != nil {
		n.exchangeFailed(address, err)
		return
	}
	n.failures.Delete(address)
	n.takeResponse(ctx, client, req, resp)
}

// exchangeFailed gives up a connection that has gone silent.
func (n *Instance) exchangeFailed(address string, err error) {
	count, _ := n.failures.LoadOrStore(address, 0)
	failed, _ := count.(int)
	failed++
	n.failures.Store(address, failed)
	n.copies.fail(wayExchange)
	if failed == 1 {
		n.log.Info("peer_silent", "address", address, "error", err.Error())
	}
	if failed%dropAfter == 0 {
		n.pool.Drop(address)
	}
}

func (n *Instance) takeResponse(ctx context.Context, client peerpb.PeerClient, asked *peerpb.ExchangeRequest, resp *peerpb.ExchangeResponse) {
	next := n.members.ApplyResponse(resp, time.Now())
	n.takeViews(resp.GetStoreViews(), origin{way: wayExchange, peer: resp.GetFrom()})
	n.catchUp(client, resp.GetFrom(), resp.GetStoreViews())
	for _, q := range resp.GetQuarantines() {
		n.quarantine.Merge(peer.DecodeQuarantine(q))
	}
	if asked.GetLentBefore() && !resp.GetOwes() {
		n.shares.ConfirmNoLoans(resp.GetFrom())
	}
	n.takeHolders(resp)
	if next != nil {
		followed, err := client.Exchange(ctx, next)
		if err != nil {
			n.log.Debug("exchange_follow_up", "error", err.Error())
		} else {
			n.members.ApplyResponse(followed, time.Now())
		}
	}
	n.lookAtNews(time.Now())
}

// looked is what lookAtMembers has taken in: the changes of entries, by the set of instances
// that share the quotas.
type looked struct{ changes, holders uint64 }

// lookAtNews is lookAtMembers, unless nothing has changed since the last look. A large fleet's
// exchanges mostly bring nothing.
func (n *Instance) lookAtNews(now time.Time) {
	if n.looked.Load() != (looked{n.members.Changes(), n.shares.Hash()}) {
		n.lookAtMembers(now)
	}
}

// takeHolders takes in a peer's set of the instances among which quotas are divided.
func (n *Instance) takeHolders(resp *peerpb.ExchangeResponse) {
	if len(resp.GetQuotaHolders()) == 0 {
		return
	}
	holders, hasOwn := make([]quotashare.Holder, 0, len(resp.GetQuotaHolders())), false
	for _, h := range resp.GetQuotaHolders() {
		holders = append(holders, quotashare.Holder{ID: h.GetId(), Domain: h.GetDomain()})
		hasOwn = hasOwn || h.GetId() == n.settings.ID
	}
	before := n.shares.Size()
	n.shares.Merge(holders, resp.GetQuotaComplete() && hasOwn)
	if n.shares.Size() != before {
		n.quotasChanged()
		n.spread()
	}
}

// Exchange implements peer.Exchanger.
func (n *Instance) Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	now := time.Now()
	resp := n.members.Respond(req, now)
	if req.GetLentBefore() {
		resp.Owes = n.ledger.Owes(req.GetFrom(), now) || n.lending.HasOpenCall(req.GetFrom())
	}
	if req.GetView() == nil {
		return resp
	}
	for _, q := range req.GetQuarantines() {
		n.quarantine.Merge(peer.DecodeQuarantine(q))
	}
	resp.Quarantines = peer.EncodeQuarantines(n.quarantine.Records(now))
	resp.StoreViews = n.offered(req.GetStoreViews())
	if hash := n.shares.Hash(); hash != 0 && hash != req.GetQuotaHash() {
		resp.QuotaComplete = n.shares.Complete()
		for _, h := range n.shares.Holders() {
			resp.QuotaHolders = append(resp.QuotaHolders, &peerpb.QuotaHolder{Id: h.ID, Domain: h.Domain})
		}
	}
	return resp
}

// lookAtMembers takes in what the members say of quota shares, and who lives.
func (n *Instance) lookAtMembers(now time.Time) {
	n.looked.Store(looked{n.members.Changes(), n.shares.Hash()})
	var regional []string
	var peers []loadhub.Peer
	fleet := 0
	agreed := n.shares.AgreementHash()
	for _, m := range n.members.Members(now) {
		n.shares.ApplyReport(m.Entry.GetId(), quotashare.Report{
			Incarnation: m.Entry.GetIncarnation(), Hash: m.Entry.GetQuotaHash(), AgreementHash: m.Entry.GetQuotaAgreed(),
		})
		if !m.Reachable || m.Leaving() {
			continue
		}
		fleet++
		if m.Entry.GetRegion() == n.settings.Region {
			regional = append(regional, m.Entry.GetId())
			if address, err := netip.ParseAddrPort(m.Entry.GetRelayAddress()); err == nil && m.Entry.GetId() != n.settings.ID {
				peers = append(peers, loadhub.Peer{
					ID: m.Entry.GetId(), Domain: m.Entry.GetDomain(), Address: address, Link: int(m.Entry.GetLinkMbps()),
				})
			}
		}
	}
	if n.shares.AgreementHash() != agreed {
		n.spread() // an instance that joins waits for this word of all others
	}
	n.caster.SetPeers(n.castPeers(peers))
	n.regional.Store(&regional)
	n.fleetSize.Store(int64(max(fleet, n.shares.Size())))
	n.liveSize.Store(int64(fleet))
}

// InstanceCounts implements httproute.Remotes. The fleet counts those too that cannot be
// reached: they go on spending their part of what is shared.
func (n *Instance) InstanceCounts() (fleet, region int) {
	return int(max(n.fleetSize.Load(), 1)), max(len(*n.regional.Load()), 1)
}

// reachable returns how many instances of the fleet can be reached, this one included,
// and how many of them are in the own region.
func (n *Instance) reachable() (fleet, region int) {
	return int(n.liveSize.Load()), len(*n.regional.Load())
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

// castPeers returns with which of the region's other instances this one shares its load.
func (n *Instance) castPeers(others []loadhub.Peer) []loadhub.Peer {
	if !n.features.On(features.LoadReports) {
		return nil
	}
	return others
}

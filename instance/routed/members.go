package routed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/loadhub"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/coordination/rendezvous"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/transport/peer"
)

const (
	storeDownExchangeInterval = 300 * time.Millisecond // between rounds while the store is unreachable
	exchangeTimeout           = 1500 * time.Millisecond
	// dropAfterFailures is the number of consecutive failed exchanges after which the
	// connection is dropped: one that has gone idle never recovers, and a new one may work.
	dropAfterFailures = 2
	// startupExchangeInterval is the time between rounds until this instance may mint:
	// after a restart of the whole fleet every account waits for it.
	startupExchangeInterval = 100 * time.Millisecond
)

// exchange synchronizes state with the peers: each second, at once after an update, and
// more often at startup and while the store is unreachable.
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
		interval := membership.RoundInterval
		switch {
		case !n.shares.Cleared():
			interval = startupExchangeInterval
		case n.storeUnreachable():
			interval = storeDownExchangeInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-n.exchangeTrigger:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// triggerExchange starts a round at once.
func (n *Instance) triggerExchange() {
	select {
	case n.exchangeTrigger <- struct{}{}:
	default:
	}
}

func (n *Instance) exchangeWith(ctx context.Context, address string) {
	client, err := n.pool.Get(address)
	if err != nil {
		n.log.Error("peer_address", "address", address, "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := n.members.Request(n.members.ByPeerAddress(address))
	req.PartQuarantines = peer.EncodePartQuarantines(n.parts.Records(time.Now()))
	req.StoreViews = n.knownRevisions()
	req.LentBefore = !n.shares.Cleared()
	req.QuotaHash = n.shares.Hash()
	req.ConfigRevision = n.members.Self().GetConfigRevision()
	resp, err := client.Exchange(ctx, req)
	if err != nil {
		n.exchangeFailed(address, err)
		return
	}
	n.failures.Delete(address)
	n.applyResponse(ctx, client, req, resp)
}

// exchangeFailed counts a failed exchange and drops a connection that no longer works.
func (n *Instance) exchangeFailed(address string, err error) {
	count, _ := n.failures.LoadOrStore(address, 0)
	failed, _ := count.(int)
	failed++
	n.failures.Store(address, failed)
	n.syncMetrics.countFailure(sourceExchange)
	if failed == 1 {
		n.log.Info("peer_silent", "address", address, "error", err.Error())
	}
	if failed%dropAfterFailures == 0 {
		n.pool.Drop(address)
	}
}

func (n *Instance) applyResponse(ctx context.Context, client peerpb.PeerClient, req *peerpb.ExchangeRequest, resp *peerpb.ExchangeResponse) {
	next := n.members.ApplyResponse(resp, time.Now())
	n.applyViews(resp.GetStoreViews(), origin{source: sourceExchange, peer: resp.GetFrom()})
	if n.mayCatchUpFrom(resp.GetView().GetDomain(), time.Now()) {
		n.catchUp(client, resp.GetFrom(), resp.GetStoreViews())
	}
	n.parts.Merge(peer.DecodePartQuarantines(resp.GetPartQuarantines()), time.Now())
	if req.GetLentBefore() && !resp.GetOwes() {
		n.shares.ConfirmNoLoans(resp.GetFrom())
	}
	n.mergeHolders(resp)
	if next != nil {
		followUp, err := client.Exchange(ctx, next)
		if err != nil {
			n.log.Debug("exchange_follow_up", "error", err.Error())
		} else {
			n.members.ApplyResponse(followUp, time.Now())
		}
	}
	n.applyMemberChanges(time.Now())
}

// memberVersion identifies the state that applyMembers has applied: the change count of the
// entries and the hash of the instances that share the quotas.
type memberVersion struct{ changes, holders uint64 }

// applyMemberChanges is applyMembers, unless nothing has changed since the last call. In a
// large fleet most exchanges bring no change.
func (n *Instance) applyMemberChanges(now time.Time) {
	if n.appliedMembers.Load() != (memberVersion{n.members.Changes(), n.shares.Hash()}) {
		n.applyMembers(now)
	}
}

// mergeHolders merges a peer's set of the instances among which quotas are divided.
func (n *Instance) mergeHolders(resp *peerpb.ExchangeResponse) {
	if len(resp.GetQuotaHolders()) == 0 {
		return
	}
	entries, hasSelf := make([]quotashare.Entry, 0, len(resp.GetQuotaHolders())+len(resp.GetQuotaRemoved())), false
	for _, h := range resp.GetQuotaHolders() {
		entries = append(entries, quotashare.Entry{Holder: quotashare.Holder{ID: h.GetId(), Domain: h.GetDomain()}, Generation: h.GetGeneration()})
		hasSelf = hasSelf || h.GetId() == n.settings.ID
	}
	for _, h := range resp.GetQuotaRemoved() {
		entries = append(entries, quotashare.Entry{
			Holder: quotashare.Holder{ID: h.GetId(), Domain: h.GetDomain()}, Generation: h.GetGeneration(), Removed: true, Left: h.GetLeft(),
		})
	}
	if n.shares.MergeEntries(entries, resp.GetQuotaComplete() && hasSelf) {
		n.updateLedgerHolders()
		n.triggerExchange()
	}
}

// addHolders adds this instance's set of those among which quotas are divided to a response. Only
// while it has proof that it was not removed itself does the set contain every instance that mints.
func (n *Instance) addHolders(resp *peerpb.ExchangeResponse, now time.Time) {
	resp.QuotaComplete = n.shares.Complete() && n.item.mintsUntil(now).After(now)
	for _, e := range n.shares.Entries() {
		h := &peerpb.QuotaHolder{Id: e.ID, Domain: e.Domain, Generation: e.Generation, Left: e.Left}
		if e.Removed {
			resp.QuotaRemoved = append(resp.QuotaRemoved, h)
		} else {
			resp.QuotaHolders = append(resp.QuotaHolders, h)
		}
	}
}

// Exchange implements peer.Exchanger.
func (n *Instance) Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	now := time.Now()
	resp := n.members.Respond(req, now)
	n.applyMemberChanges(now)
	if req.GetLentBefore() {
		resp.Owes = n.ledger.Owes(req.GetFrom(), now) || n.lending.HasOpenCall(req.GetFrom())
	}
	if req.GetView() == nil {
		return resp
	}
	n.parts.Merge(peer.DecodePartQuarantines(req.GetPartQuarantines()), now)
	resp.PartQuarantines = peer.EncodePartQuarantines(n.parts.Records(now))
	resp.StoreViews = n.viewsSince(req.GetStoreViews(), n.exchangeItemBytes(req.GetView().GetDomain()))
	if hash := n.shares.Hash(); hash != 0 && hash != req.GetQuotaHash() {
		n.addHolders(resp, now)
	}
	return resp
}

// applyMembers applies what the members report of quota shares, and which of them are live.
func (n *Instance) applyMembers(now time.Time) {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	n.appliedMembers.Store(memberVersion{n.members.Changes(), n.shares.Hash()})
	var regional []string
	var peers []loadhub.Peer
	fleet := 0
	agreed := n.shares.AgreementHash()
	members := n.members.Members(now)
	n.builds.setMembers(n.settings.Region, n.settings.ID, members)
	n.applyColdOwners(members, now)
	for _, m := range members {
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
					ID: m.Entry.GetId(), Domain: m.Entry.GetDomain(), Address: address, LinkMbps: int(m.Entry.GetLinkMbps()),
				})
			}
		}
	}
	if n.shares.AgreementHash() != agreed {
		n.triggerExchange() // a joining instance waits for this report of all others
	}
	n.broadcaster.SetPeers(n.loadReportPeers(peers))
	if !slices.Equal(*n.regionMembers.Load(), regional) {
		n.regionMembers.Store(&regional)
	}
	n.fleetSize.Store(int64(max(fleet, n.shares.Size())))
	n.liveSize.Store(int64(fleet))
}

// InstanceCounts implements httproute.Remotes. The fleet includes instances that cannot be
// reached: they continue to spend their share.
func (n *Instance) InstanceCounts() (fleet, region int) {
	return int(max(n.fleetSize.Load(), 1)), max(len(*n.regionMembers.Load()), 1)
}

// isReachable reports whether an instance with a hash of its id can be reached and may still serve.
// One that is leaving does for a while, and counts itself.
func (n *Instance) isReachable(idHash uint64) bool {
	now := time.Now()
	return slices.ContainsFunc(n.members.Members(now), func(m membership.Member) bool {
		return m.Reachable && n.mayServe(m, now) && quarantine.ReporterHash(m.Entry.GetId()) == idHash
	})
}

// orphanDelay is how long an instance must have run to act for all that can be reached: by then it knows the others.
const orphanDelay = 10 * time.Second

// inheritsBan reports whether this instance speaks for a part whose reporters are gone.
func (n *Instance) inheritsBan(part quarantine.PartKey) bool { return n.ranksFirst(uint64(part)) }

// ranksFirst reports whether this instance has the highest score for a key of all that can be reached. One that has just started does
// not know the others and ranks behind them.
func (n *Instance) ranksFirst(key uint64) bool {
	now := time.Now()
	if now.Sub(n.started) < orphanDelay {
		return false
	}
	own := rendezvous.Score(quarantine.ReporterHash(n.settings.ID), key)
	return !slices.ContainsFunc(n.members.Members(now), func(m membership.Member) bool {
		id := m.Entry.GetId()
		return id != n.settings.ID && m.Reachable && n.mayServe(m, now) && rendezvous.Score(quarantine.ReporterHash(id), key) > own
	})
}

// hasPeers reports whether the fleet has other instances, reachable or not.
func (n *Instance) hasPeers() bool {
	fleet, _ := n.InstanceCounts()
	return fleet > 1 || len(n.members.Members(time.Now())) > 1
}

// reachableCounts returns how many instances of the fleet can be reached, this one
// included, and how many of them are in the local region.
func (n *Instance) reachableCounts() (fleet, region int) {
	return int(n.liveSize.Load()), len(*n.regionMembers.Load())
}

// loadReportPeers returns the region's instances with which this one exchanges load
// reports: none if the feature is off.
func (n *Instance) loadReportPeers(others []loadhub.Peer) []loadhub.Peer {
	if !n.features.On(features.LoadReports) {
		return nil
	}
	return others
}

package instance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/transport/peer"
)

const (
	exchangeTimeout        = 2 * time.Second
	maxConcurrentExchanges = 64 // when all peers are called
)

// exchange synchronizes state with the peers once a second, and immediately after something
// came into force on this instance.
func (i *Instance) exchange(ctx context.Context) {
	ticker := time.NewTicker(membership.RoundInterval)
	defer ticker.Stop()
	for {
		i.members.StartRound(time.Now())
		i.startExchangeRound(ctx)
		select {
		case <-ticker.C:
		case <-i.exchangeTrigger:
		case <-ctx.Done():
			return
		}
	}
}

// startExchangeRound starts the exchanges of one round. It does not wait for them: a peer
// that does not respond would hold up the local heartbeat until the timeout, and the other
// instances would consider this one dead.
func (i *Instance) startExchangeRound(ctx context.Context) {
	listed := i.listQueried.Load()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var calls sync.WaitGroup
	for _, address := range i.members.RoundTargets(time.Now(), rng) {
		if _, busy := i.exchanging.LoadOrStore(address, true); busy {
			continue
		}
		calls.Add(1)
		i.loops.Go(func() {
			defer calls.Done()
			defer i.exchanging.Delete(address)
			i.exchangeWith(ctx, address)
		})
	}
	if listed && !i.peersQueried.Load() {
		i.loops.Go(func() {
			calls.Wait()
			i.peersQueried.Store(true)
			i.checkReady("peers")
		})
	}
}

// triggerExchange starts a round at once, so that what came into force on this instance
// reaches the peers without waiting for the next second.
func (i *Instance) triggerExchange() {
	select {
	case i.exchangeTrigger <- struct{}{}:
	default:
	}
}

// exchangeAll exchanges with every known peer and returns how many responded.
func (i *Instance) exchangeAll(ctx context.Context) int {
	return i.callPeers(func(address string) bool { return i.exchangeWith(ctx, address) })
}

// callPeers runs call for every known peer, at most maxConcurrentExchanges at a time, and
// returns how many calls succeeded.
func (i *Instance) callPeers(call func(address string) bool) int {
	var calls sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, maxConcurrentExchanges)
	count := 0
	for _, address := range i.members.Targets() {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			if call(address) {
				mu.Lock()
				defer mu.Unlock()
				count++
			}
		})
	}
	calls.Wait()
	return count
}

func (i *Instance) exchangeWith(ctx context.Context, address string) bool {
	client, err := i.pool.Get(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	known := i.members.ByPeerAddress(address)
	req := i.members.Request(known)
	i.addConfigToRequest(req, known)
	req.Quarantines = i.quarantines()
	req.PartQuarantines = peer.EncodePartQuarantines(i.parts.Records(time.Now()))
	req.ServersHash = uint64(i.serversState())
	resp, err := client.Exchange(ctx, req)
	if err != nil {
		return false
	}
	next := i.members.ApplyResponse(resp, time.Now())
	i.mergeQuarantines(resp.GetQuarantines())
	i.parts.Merge(peer.DecodePartQuarantines(resp.GetPartQuarantines()), time.Now())
	i.applyServersFromPeer(resp.GetServers())
	next = i.applyConfigResponse(resp, next)
	if next != nil {
		i.followUp(ctx, client, next)
	}
	if resp.GetMore() {
		i.fetchConfig(ctx, client)
	}
	return true
}

// followUp sends what the first exchange showed that the peer lacks, and requests what is
// missing on this instance.
func (i *Instance) followUp(ctx context.Context, client peerpb.PeerClient, req *peerpb.ExchangeRequest) {
	req.ConfigRevision = i.config.Revision()
	resp, err := client.Exchange(ctx, req)
	if err != nil {
		return // the next round retries
	}
	i.members.ApplyResponse(resp, time.Now())
	i.applyDifferingDocuments(resp)
}

// Exchange implements peer.Exchanger.
func (i *Instance) Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	i.applyPushedDocuments(req)
	resp := i.members.Respond(req, time.Now())
	i.addConfigToResponse(req, resp)
	if req.GetView() == nil {
		return resp
	}
	i.mergeQuarantines(req.GetQuarantines())
	resp.Quarantines = i.quarantines()
	i.parts.Merge(peer.DecodePartQuarantines(req.GetPartQuarantines()), time.Now())
	resp.PartQuarantines = peer.EncodePartQuarantines(i.parts.Records(time.Now()))
	if req.GetView().GetDomain() == i.settings.Domain {
		resp.Servers = i.serversFor(serversState(req.GetServersHash()))
	}
	return resp
}

func (i *Instance) mergeQuarantines(list []*peerpb.Quarantine) {
	for _, q := range list {
		i.quarantine.Merge(peer.DecodeQuarantine(q))
	}
}

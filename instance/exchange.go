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
	exchangeTimeout = 2 * time.Second
	exchangeLimit   = 64 // exchanges at once, when all peers are told
)

// exchange brings the own view and the peers' together, each second and at once
// after something came into force here.
func (i *Instance) exchange(ctx context.Context) {
	ticker := time.NewTicker(membership.RoundInterval)
	defer ticker.Stop()
	for {
		i.members.StartRound(time.Now())
		i.exchangeRound(ctx)
		select {
		case <-ticker.C:
		case <-i.news:
		case <-ctx.Done():
			return
		}
	}
}

// exchangeRound starts the round's exchanges. It does not wait for them: a peer
// that does not answer would hold up the own heartbeat until the timeout, and
// the others would take this instance for dead.
func (i *Instance) exchangeRound(ctx context.Context) {
	asked := i.listTried.Load()
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
	if asked && !i.peersAsked.Load() {
		i.loops.Go(func() {
			calls.Wait()
			i.peersAsked.Store(true)
			i.checkReady("peers")
		})
	}
}

// spread starts a round at once, so that what came into force here reaches the
// peers without waiting for the next second.
func (i *Instance) spread() {
	select {
	case i.news <- struct{}{}:
	default:
	}
}

// exchangeAll exchanges with every known peer and returns how many answered.
func (i *Instance) exchangeAll(ctx context.Context) int {
	return i.tellAll(func(address string) bool { return i.exchangeWith(ctx, address) })
}

func (i *Instance) tellAll(tell func(address string) bool) int {
	var calls sync.WaitGroup
	var mu sync.Mutex
	slots := make(chan struct{}, exchangeLimit)
	count := 0
	for _, address := range i.members.Targets() {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			if tell(address) {
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
	i.addConfig(req, known)
	req.Quarantines = i.quarantines()
	req.ServersHash = uint64(i.serversState())
	resp, err := client.Exchange(ctx, req)
	if err != nil {
		return false
	}
	next := i.members.ApplyResponse(resp, time.Now())
	i.takeQuarantines(resp.GetQuarantines())
	i.takeServers(resp.GetServers())
	next = i.finishConfig(resp, next)
	if next != nil {
		i.followUp(ctx, client, next)
	}
	if resp.GetMore() {
		i.fetchConfig(ctx, client)
	}
	return true
}

// followUp sends what the first exchange showed that the peer lacks, and asks
// for what is lacking here.
func (i *Instance) followUp(ctx context.Context, client peerpb.PeerClient, req *peerpb.ExchangeRequest) {
	req.ConfigRevision = i.config.Revision()
	resp, err := client.Exchange(ctx, req)
	if err != nil {
		return // the next round tries again
	}
	i.members.ApplyResponse(resp, time.Now())
	i.takeDifferent(resp)
}

// Exchange implements peer.Exchanger.
func (i *Instance) Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	i.takePushed(req)
	resp := i.members.Respond(req, time.Now())
	i.answerConfig(req, resp)
	if req.GetView() == nil {
		return resp
	}
	i.takeQuarantines(req.GetQuarantines())
	resp.Quarantines = i.quarantines()
	if req.GetView().GetDomain() == i.settings.Domain {
		resp.Servers = i.serversFor(serversState(req.GetServersHash()))
	}
	return resp
}

func (i *Instance) takeQuarantines(list []*peerpb.Quarantine) {
	for _, q := range list {
		i.quarantine.Merge(peer.DecodeQuarantine(q))
	}
}

package instance

import (
	"context"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/platformapi"
	"github.com/basilroute/basilroute/state/servers"
)

const (
	listInterval = 2 * time.Second
	// staleListAge is the age from which an instance accepts the list of backend servers
	// from a peer that still reaches the platform.
	staleListAge = 10 * time.Second
)

// serversState is the state of an instance's list of backend servers, as its peers learn
// it.
type serversState uint64

const (
	serversUnknown serversState = iota // never sent
	serversNone
	serversStale
	serversFresh
)

// backendList is the last list of the local domain's backend servers.
type backendList struct {
	mu             sync.Mutex
	list           []servers.Identity
	fromPlatformAt time.Time // when last read from the platform
	fromPeerAt     time.Time // when last received from a peer
}

// watchList polls the platform's list of instances and backend servers.
func (i *Instance) watchList(ctx context.Context) {
	i.members.SetSeeds(i.staticSeeds())
	every(ctx, listInterval, func(ctx context.Context) {
		list, err := i.platform.Instances(ctx)
		if err == nil { // otherwise the last list is kept
			i.applyList(list)
		}
		i.listQueried.Store(true)
	})
}

func (i *Instance) staticSeeds() []membership.Seed {
	seeds := make([]membership.Seed, 0, len(i.settings.Seeds))
	for _, address := range i.settings.Seeds {
		if address != i.members.Self().GetPeerAddress() {
			seeds = append(seeds, membership.Seed{PeerAddress: address})
		}
	}
	return seeds
}

func (i *Instance) applyList(list []platformapi.Instance) {
	seeds := i.staticSeeds()
	var backends []servers.Identity
	for _, item := range list {
		switch {
		case item.Role == platformapi.InstanceRoleEntry:
			seeds = append(seeds, membership.Seed{ID: item.ID, PeerAddress: item.Address, Region: item.Region, Domain: item.Domain})
		case item.Domain == i.settings.Domain:
			backends = append(backends, servers.Identity{
				ID: item.ID, Service: item.Service.Or(""), Version: item.Version.Or(""), Address: item.Address,
				Region: item.Region, Domain: item.Domain, Leaving: item.State == platformapi.InstanceStateLeaving,
			})
		}
	}
	i.members.SetSeeds(seeds)
	i.setBackends(backends, true)
}

func (i *Instance) setBackends(list []servers.Identity, fromPlatform bool) {
	now := time.Now()
	i.backends.mu.Lock()
	i.backends.list = list
	if fromPlatform {
		i.backends.fromPlatformAt = now
	} else {
		i.backends.fromPeerAt = now
	}
	i.backends.mu.Unlock()
	i.servers.Replace(list, now)
	i.triggerPoll()
}

func (b *backendList) state(now time.Time) serversState {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case now.Sub(b.fromPlatformAt) < staleListAge, now.Sub(b.fromPeerAt) < staleListAge:
		return serversFresh
	case b.fromPlatformAt.IsZero() && b.fromPeerAt.IsZero():
		return serversNone
	}
	return serversStale
}

func (i *Instance) serversState() serversState { return i.backends.state(time.Now()) }

// serversFor returns the list for a peer of the local domain that lacks it. A peer that has
// a list gets only one that was just read from the platform, because an older one could
// bring back a server that has left.
func (i *Instance) serversFor(peerState serversState) []*peerpb.BackendServer {
	b := &i.backends
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := time.Since(b.fromPlatformAt) < staleListAge
	if peerState != serversNone && (peerState != serversStale || !fresh) {
		return nil
	}
	out := make([]*peerpb.BackendServer, len(b.list))
	for n, s := range b.list {
		out[n] = &peerpb.BackendServer{Id: s.ID, Service: s.Service, Version: s.Version, Address: s.Address, Leaving: s.Leaving}
	}
	return out
}

// applyServersFromPeer applies the list of a peer of the local domain, unless the local
// list is fresh.
func (i *Instance) applyServersFromPeer(list []*peerpb.BackendServer) {
	if len(list) == 0 || i.serversState() == serversFresh {
		return
	}
	backends := make([]servers.Identity, len(list))
	for n, s := range list {
		backends[n] = servers.Identity{
			ID: s.GetId(), Service: s.GetService(), Version: s.GetVersion(), Address: s.GetAddress(),
			Region: i.settings.Region, Domain: i.settings.Domain, Leaving: s.GetLeaving(),
		}
	}
	i.setBackends(backends, false)
}

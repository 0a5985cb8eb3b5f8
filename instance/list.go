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
	listEvery = 2 * time.Second
	// listStale is the age from which an instance takes the list of backend
	// servers from a peer that still reaches the platform.
	listStale = 10 * time.Second
)

// serversState says what an instance has for a list of its backend servers.
type serversState uint64

const (
	serversUnknown serversState = iota // sent by nobody
	serversNone
	serversStale
	serversFresh
)

// backendList is the last list of the own domain's backend servers.
type backendList struct {
	mu       sync.Mutex
	list     []servers.Identity
	read     time.Time // from the platform
	borrowed time.Time // from a peer
}

// watchList takes in the platform's list of instances and backend servers.
func (i *Instance) watchList(ctx context.Context) {
	i.members.SetSeeds(i.staticSeeds())
	every(ctx, listEvery, func(ctx context.Context) {
		list, err := i.platform.Instances(ctx)
		if err == nil { // otherwise the last list stays
			i.takeList(list)
		}
		i.listTried.Store(true)
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

func (i *Instance) takeList(list []platformapi.Instance) {
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
		i.backends.read = now
	} else {
		i.backends.borrowed = now
	}
	i.backends.mu.Unlock()
	i.servers.Replace(list, now)
}

func (b *backendList) state(now time.Time) serversState {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case now.Sub(b.read) < listStale, now.Sub(b.borrowed) < listStale:
		return serversFresh
	case b.read.IsZero() && b.borrowed.IsZero():
		return serversNone
	}
	return serversStale
}

func (i *Instance) serversState() serversState { return i.backends.state(time.Now()) }

// serversFor returns the list for a peer of the own domain that lacks it. A peer
// with a list of its own gets only one that came from the platform just now,
// because an older one could bring back a server that has left.
func (i *Instance) serversFor(asker serversState) []*peerpb.BackendServer {
	b := &i.backends
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := time.Since(b.read) < listStale
	if asker != serversNone && (asker != serversStale || !fresh) {
		return nil
	}
	out := make([]*peerpb.BackendServer, len(b.list))
	for n, s := range b.list {
		out[n] = &peerpb.BackendServer{Id: s.ID, Service: s.Service, Version: s.Version, Address: s.Address, Leaving: s.Leaving}
	}
	return out
}

// takeServers takes in the list of a peer of the own domain.
func (i *Instance) takeServers(list []*peerpb.BackendServer) {
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

package instance

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/protocol/platformapi"
	"github.com/basilroute/basilroute/state/servers"
)

const listEvery = 2 * time.Second

// watchList takes in the platform's list of instances and backend servers.
func (i *Instance) watchList(ctx context.Context) {
	every(ctx, listEvery, func(ctx context.Context) {
		list, err := i.platform.Instances(ctx)
		if err != nil {
			return // the last list stays
		}
		i.takeList(list)
	})
}

func (i *Instance) takeList(list []platformapi.Instance) {
	var seeds []membership.Seed
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
	i.servers.Replace(backends, time.Now())
}

package instance

import (
	"context"
	"github.com/basilroute/basilroute/service"
	"sync"
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/state/servers"
)

const (
	pollEvery        = time.Second
	pollFailureLimit = 3
	// requestStep rounds the requests in flight that an instance tells the others:
	// each change of the number is a new version of its entry for all of them.
	requestStep = 128
)

// pollServers asks the backend servers of the own domain for their load.
func (i *Instance) pollServers(ctx context.Context) {
	every(ctx, pollEvery, func(ctx context.Context) {
		var polls sync.WaitGroup
		for _, server := range i.servers.All() {
			polls.Go(func() { i.poll(ctx, server) })
		}
		polls.Wait()
		i.publishLoad()
	})
}

func (i *Instance) poll(ctx context.Context, server servers.Server) {
	svc := i.catalog.Service(server.Service)
	if svc == nil {
		return
	}
	ask := i.backend.EngineLoad
	if svc.Type == service.TypePlain {
		ask = i.backend.PlainLoad
	}
	load, err := ask(ctx, server.Address, time.Now())
	if err != nil {
		i.servers.Failed(server.Service, server.ID, pollFailureLimit)
		return
	}
	i.servers.Report(server.Service, server.ID, load)
}

// publishLoad sums up the own domain's servers in the instance's entry.
func (i *Instance) publishLoad() {
	loads := i.ownLoads()
	requests := uint32(i.requests.Count()) / requestStep * requestStep
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) { m.Loads, m.Requests = loads, requests })
}

func (i *Instance) ownLoads() []*peerpb.ServiceLoad {
	sums := make(map[string]*peerpb.ServiceLoad)
	var out []*peerpb.ServiceLoad
	for _, server := range i.servers.All() {
		sum := sums[server.Service]
		if sum == nil {
			sum = &peerpb.ServiceLoad{Service: server.Service, HasRoom: true}
			sums[server.Service] = sum
			out = append(out, sum)
		}
		if server.Usable() {
			sum.Servers++
			sum.InFlight += uint32(server.Load.Running)
			sum.Queued += uint32(server.Load.Waiting)
		}
	}
	return out
}

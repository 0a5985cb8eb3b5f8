package instance

import (
	"context"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service"
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
		i.review(time.Now())
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
	asked := time.Now()
	load, err := ask(ctx, server.Address, asked)
	if err != nil {
		i.servers.RecordCallFailure(server.Service, server.ID, pollFailureLimit)
		return
	}
	i.servers.Report(server.Service, server.ID, load)
	i.quarantine.RecordBootID(server.ID, load.BootID, asked, time.Now())
	entry := i.servers.Entry(server.Service, server.ID)
	if entry == nil {
		return
	}
	i.local.Admission.ApplyReport(entry, svc, time.Now())
	if svc.Type == service.TypeModel {
		i.pollCache(ctx, entry)
	}
}

// pollCache takes in what the engine stored and evicted since the last poll.
func (i *Instance) pollCache(ctx context.Context, entry *servers.Entry) {
	server := entry.View()
	index := i.local.Prefixes.Index(server.Service)
	index.SetBootID(entry.Slot(), server.Load.BootID)
	events, err := i.backend.CacheEvents(ctx, server.Address, index.LastSeq(entry.Slot()))
	if err != nil {
		return // asked again with the next poll
	}
	index.Apply(entry.Slot(), events)
}

// review applies the policies that look at all servers of a service.
func (i *Instance) review(now time.Time) {
	for _, svc := range i.catalog.Services() {
		routing.EjectSlow(i.servers, svc.Name, now)
		i.local.Admission.Refresh(svc, now)
	}
	i.local.Admission.PruneLimiters()
}

// publishLoad sums up the own domain's servers in the instance's entry.
func (i *Instance) publishLoad() {
	loads := i.ownLoads()
	requests := uint32(i.requests.Count()) / requestStep * requestStep
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) { m.Loads, m.Requests = loads, requests })
}

func (i *Instance) ownLoads() []*peerpb.ServiceLoad {
	var out []*peerpb.ServiceLoad
	for _, svc := range i.catalog.Services() {
		if load := i.ownLoad(svc); load != nil {
			out = append(out, load)
		}
	}
	return out
}

// ownLoad sums up the service's servers here, or returns nil when there are none.
func (i *Instance) ownLoad(svc *service.Service) *peerpb.ServiceLoad {
	entries := i.servers.Entries(svc.Name)
	if len(entries) == 0 {
		return nil
	}
	sum := &peerpb.ServiceLoad{Service: svc.Name}
	for _, e := range entries {
		server := e.View()
		if !server.Usable() || !svc.AllowsVersion(server.Version) {
			continue
		}
		sum.Servers++
		sum.InFlight += uint32(server.Load.Running)
		sum.Queued += uint32(server.Load.Waiting)
	}
	stats := i.local.Admission.Stats(svc)
	sum.Queued += uint32(stats.Waiting)
	sum.ExpectedWaitMs = uint32(stats.Interactive.ExpectedWait.Milliseconds())
	sum.HasRoom = stats.Interactive.AcceptsRemote
	sum.Room = uint32(stats.Interactive.FreeSlots)
	sum.BulkWaitMs = uint32(stats.Bulk.ExpectedWait.Milliseconds())
	sum.BulkHasRoom = stats.Bulk.AcceptsRemote
	sum.BulkRoom = uint32(stats.Bulk.FreeSlots)
	return sum
}

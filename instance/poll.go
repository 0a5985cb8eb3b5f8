package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

const (
	pollInterval    = time.Second
	maxPollFailures = 3
	// requestRounding is the step in which an instance publishes its requests in flight:
	// each change of the number is a new version of its entry for all other instances.
	requestRounding = 128
)

// pollServers polls the load of the local domain's backend servers, and at once when new ones are listed or their service
// becomes known: they get no work before.
func (i *Instance) pollServers(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		i.pollOnce(ctx)
		select {
		case <-ticker.C:
		case <-i.pollTrigger:
		case <-ctx.Done():
			return
		}
	}
}

func (i *Instance) pollOnce(ctx context.Context) {
	var polls sync.WaitGroup
	for _, server := range i.servers.All() {
		polls.Go(func() { i.poll(ctx, server) })
	}
	polls.Wait()
	i.applyServerPolicies(time.Now())
	i.publishLoad()
}

// triggerPoll lets the servers be polled at once if one of them can be polled and has not been yet.
func (i *Instance) triggerPoll() {
	if !slices.ContainsFunc(i.servers.All(), func(s servers.Server) bool {
		return s.Listed && !s.Polled && i.catalog.Service(s.Service) != nil
	}) {
		return
	}
	select {
	case i.pollTrigger <- struct{}{}:
	default: // a poll is due
	}
}

func (i *Instance) poll(ctx context.Context, server servers.Server) {
	svc := i.catalog.Service(server.Service)
	if svc == nil {
		return
	}
	fetchLoad := i.backend.EngineLoad
	if svc.Type == service.TypePlain {
		fetchLoad = i.backend.PlainLoad
	}
	sentAt := time.Now()
	load, err := fetchLoad(ctx, server.Address, sentAt)
	if err != nil {
		i.servers.RecordCallFailure(server.Service, server.ID, maxPollFailures)
		return
	}
	i.servers.Report(server.Service, server.ID, load)
	i.quarantine.RecordBootID(server.ID, load.BootID, sentAt, time.Now())
	entry := i.servers.Entry(server.Service, server.ID)
	if entry == nil {
		return
	}
	i.local.Admission.ApplyReport(entry, svc, time.Now())
	if svc.Type == service.TypeModel {
		i.pollCache(ctx, entry)
	}
}

// pollCache applies the engine's cache events since the last poll: blocks stored and
// evicted.
func (i *Instance) pollCache(ctx context.Context, entry *servers.Entry) {
	server := entry.View()
	index := i.local.Prefixes.Index(server.Service)
	index.SetBootID(entry.Slot(), server.Load.BootID)
	events, err := i.backend.CacheEvents(ctx, server.Address, index.LastSeq(entry.Slot()))
	if err != nil {
		return // retried with the next poll
	}
	index.Apply(entry.Slot(), events)
}

// applyServerPolicies applies the policies that compare all servers of a service.
func (i *Instance) applyServerPolicies(now time.Time) {
	for _, svc := range i.catalog.Services() {
		routing.EjectSlow(i.servers, svc.Name, now)
		i.local.Admission.Refresh(svc, now)
	}
	i.local.Admission.PruneLimiters()
}

// publishLoad publishes the summed load of the local domain's servers in the instance's
// entry.
func (i *Instance) publishLoad() {
	loads := i.localLoads()
	requests := uint32(i.requests.Count()) / requestRounding * requestRounding
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) { m.Loads, m.Requests = loads, requests })
}

func (i *Instance) localLoads() []*peerpb.ServiceLoad {
	var out []*peerpb.ServiceLoad
	for _, svc := range i.catalog.Services() {
		if load := i.localLoad(svc); load != nil {
			out = append(out, load)
		}
	}
	return out
}

// localLoad sums the load of the service's servers in the local domain. It returns nil if
// there are none.
func (i *Instance) localLoad(svc *service.Service) *peerpb.ServiceLoad {
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

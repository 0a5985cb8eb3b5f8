package instance

import (
	"context"
	"sync"
	"time"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/platformapi"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	watchWait        = 20 * time.Second
	watchPause       = 500 * time.Millisecond // after a failed call
	listEvery        = 2 * time.Second
	pollEvery        = time.Second
	exchangeEvery    = time.Second
	exchangeTimeout  = 2 * time.Second
	pollFailureLimit = 3
)

// every calls fn now and then at the interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		fn(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// watchConfig keeps the documents in force up to date with the store.
func (i *Instance) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if err := i.watchOnce(ctx); err != nil {
			i.storeSeen.Store(false)
			_ = wait(ctx, time.After(watchPause))
		}
	}
}

func (i *Instance) watchOnce(ctx context.Context) error {
	var found []platform.KeyValue
	var revision int64
	var err error
	if known := i.config.Revision(); !i.storeRead.Load() {
		found, revision, err = i.platform.List(ctx, service.KeyPrefix, known)
	} else {
		found, revision, err = i.platform.Watch(ctx, service.KeyPrefix, known, watchWait)
	}
	if err != nil {
		return err
	}
	i.storeSeen.Store(true)
	i.storeRead.Store(true)
	documents := make([]configwatch.Document, len(found))
	for n, kv := range found {
		documents[n] = configwatch.Document{Key: kv.Key, Revision: kv.Revision, Value: kv.Value, Deleted: kv.Deleted}
	}
	i.offer(configwatch.SourceStore, documents, revision)
	return nil
}

func (i *Instance) offer(source string, documents []configwatch.Document, revision int64) {
	count := i.config.Offer(source, documents, revision)
	if i.config.Revision() > 0 && i.ready.CompareAndSwap(false, true) {
		i.log.Info("ready", "source", source, "revision", i.config.Revision())
	}
	if count > 0 {
		i.log.Info("configuration in force", "source", source, "documents", count, "revision", i.config.Revision())
	}
}

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
	revision := i.config.Revision()
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) {
		m.Loads = loads
		m.ConfigRevision = revision
	})
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

// exchange brings the own view and the peers' together.
func (i *Instance) exchange(ctx context.Context) {
	every(ctx, exchangeEvery, func(ctx context.Context) {
		i.exchangeAll(ctx)
		i.shareQuota()
	})
}

func (i *Instance) exchangeAll(ctx context.Context) {
	var calls sync.WaitGroup
	for _, address := range i.members.Targets() {
		calls.Go(func() { i.exchangeWith(ctx, address) })
	}
	calls.Wait()
}

func (i *Instance) exchangeWith(ctx context.Context, address string) bool {
	client, err := i.pool.Get(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := client.Exchange(ctx, &peerpb.ExchangeRequest{
		From: i.settings.ID, Digests: i.members.Digests(), Members: []*peerpb.Member{i.members.Self()},
		ConfigRevision: i.config.Revision(), Withdrawals: i.withdrawals(), Quarantines: i.quarantines(),
	})
	if err != nil {
		return false
	}
	i.members.Merge(resp.GetMembers(), time.Now())
	i.takeShared(resp.GetDocuments(), resp.GetConfigRevision(), resp.GetWithdrawals(), resp.GetQuarantines())
	return true
}

// Exchange implements peer.Exchanger.
func (i *Instance) Exchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeResponse {
	i.members.Merge(req.GetMembers(), time.Now())
	i.takeShared(req.GetDocuments(), req.GetConfigRevision(), req.GetWithdrawals(), req.GetQuarantines())
	documents, revision := i.config.Since(req.GetConfigRevision())
	resp := &peerpb.ExchangeResponse{
		Members: i.members.Newer(req.GetDigests()), ConfigRevision: revision,
		Withdrawals: i.withdrawals(), Quarantines: i.quarantines(),
	}
	for _, d := range documents {
		resp.Documents = append(resp.Documents, &peerpb.Document{Key: d.Key, Revision: d.Revision, Value: d.Value, Deleted: d.Deleted})
	}
	return resp
}

// takeShared takes in what a peer knows. A peer that is ahead but sent no
// documents is asked at the next exchange.
func (i *Instance) takeShared(documents []*peerpb.Document, revision int64, withdrawals []*peerpb.Withdrawal, quarantines []*peerpb.Quarantine) {
	for _, w := range withdrawals {
		i.catalog.Withdraw(w.GetKeyId(), w.GetAtUnixMs())
	}
	for _, q := range quarantines {
		i.quarantine.Merge(quarantine.Record{
			Fingerprint: q.GetFingerprint(), Crashes: int(q.GetCrashes()), Until: time.UnixMilli(q.GetUntilUnixMs()),
		})
	}
	if len(documents) == 0 {
		return
	}
	offered := make([]configwatch.Document, len(documents))
	for n, d := range documents {
		offered[n] = configwatch.Document{Key: d.GetKey(), Revision: d.GetRevision(), Value: d.GetValue(), Deleted: d.GetDeleted()}
	}
	i.offer("peer", offered, revision)
}

func (i *Instance) withdrawals() []*peerpb.Withdrawal {
	var out []*peerpb.Withdrawal
	for id, at := range i.catalog.Withdrawn() {
		out = append(out, &peerpb.Withdrawal{KeyId: id, AtUnixMs: at})
	}
	return out
}

func (i *Instance) quarantines() []*peerpb.Quarantine {
	var out []*peerpb.Quarantine
	for _, r := range i.quarantine.Records(time.Now()) {
		out = append(out, &peerpb.Quarantine{Fingerprint: r.Fingerprint, Crashes: uint32(r.Crashes), UntilUnixMs: r.Until.UnixMilli()})
	}
	return out
}

// shareQuota splits every account's rate evenly over the instances in the list.
func (i *Instance) shareQuota() {
	count := len(i.members.Members(time.Now()))
	i.ledger.SetShare(1 / float64(count))
}

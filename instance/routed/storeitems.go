package routed

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/coordination/waitqueue"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/mirror"
	"github.com/basilroute/basilroute/state/routes"
)

// applyConfigItems applies the items that operators write. Changes are applied in the order
// of the store's revisions; the table rejects any that is older than what is in force.
func (n *Instance) applyConfigItems(changed []mirror.Item, _ origin) {
	evacuations := false
	for _, item := range changed {
		if _, ok := n.source.Evacuation(item.Key); ok {
			evacuations = true
			continue
		}
		if item.Removed {
			continue // an operator replaces the configuration and never deletes it
		}
		n.offerConfig(item)
	}
	if evacuations {
		n.updateEvacuations()
	}
}

// maxLoggedExclusions bounds one log line.
const maxLoggedExclusions = 20

func (n *Instance) offerConfig(item mirror.Item) {
	config, ok, err := n.source.Config(item.Key, item.Value)
	if err != nil {
		n.unreadable.Inc()
		n.log.Error("config_unreadable", "key", item.Key, "revision", configwatch.FormatRank(item.Revision), "error", err.Error())
		return // the last configuration stays in force
	}
	if !ok || !n.routes.Offer(config) {
		return
	}
	n.log.Info("config_in_force", "version", config.Version, "revision", configwatch.FormatRank(item.Revision), "routes", len(config.Routes),
		"services", len(config.Services), "accounts", len(config.Accounts), "keys", len(config.Keys))
	if excluded := config.Exclusions(maxLoggedExclusions); len(excluded) > 0 {
		n.log.Warn("homes_exclude_each_other", "version", config.Version, "pairs", excluded)
	}
	n.updateLedger(config)
	n.refreshPools(time.Now())
}

// updateEvacuations updates the set of failure domains that are to get no requests.
func (n *Instance) updateEvacuations() {
	var domains []string
	for _, item := range n.config.mirror.Items() {
		if domain, ok := n.source.Evacuation(item.Key); ok {
			domains = append(domains, domain)
		}
	}
	for _, domain := range n.heldEvacuations() {
		if !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	now := time.Now()
	n.backends.SetEvacuated(domains, n.maxColdStart(), now)
	n.log.Info("evacuations", "domains", domains)
	n.refreshPools(now)
}

func (n *Instance) maxColdStart() time.Duration {
	longest := time.Duration(0)
	if config := n.routes.Current(); config != nil {
		for _, s := range config.Services {
			longest = max(longest, s.ColdStart)
		}
	}
	return longest
}

// applyServerItems applies the entries of backend servers. A server whose entry cannot be
// decoded is removed.
func (n *Instance) applyServerItems(changed []mirror.Item, from origin) {
	now := time.Now()
	entries := newEntryLog(n.log, len(changed))
	var servers []backends.Server
	for _, item := range changed {
		id := n.source.ServerID(item.Key)
		if item.Removed {
			entries.entryGone(id, item.Revision)
			n.backends.RemoveAfter(id, from.hold, now)
			continue
		}
		server, err := n.source.Server(item.Key, item.Value)
		if err != nil {
			n.unreadable.Inc()
			entries.unreadable(item.Key, err)
			n.backends.Remove(id, now)
			continue
		}
		server.Region = n.settings.Domains[server.Domain]
		entries.changed(&server, item.Revision)
		n.backends.Put(server, now)
		servers = append(servers, server)
	}
	entries.end()
	n.builds.recordServers(servers, now)
	n.refreshPools(now)
}

// pooledVersions identifies the state that the pools have.
type pooledVersions struct {
	services map[string]bool            // those with a pool, and whether their servers are engines
	defined  map[string]*routes.Service // the same, as they were configured last
	regions  map[string]uint64          // of the backend servers, by region
}

// refreshPools updates the pools with the known backend servers, those of the local region
// and those of others, where they have changed. The pools of services that the configuration has
// dropped are updated too: requests that came before may still be sent there.
func (n *Instance) refreshPools(now time.Time) {
	config := n.routes.Current()
	if config == nil {
		return
	}
	n.poolMu.Lock()
	defer n.poolMu.Unlock()
	n.pooled.define(config)
	n.updateCurrentSince(now)
	changes := n.poolChanges(now)
	for _, svc := range n.pooled.defined {
		pool := n.local.Pool(svc.Name)
		settings := n.poolSettings(svc)
		settings.Precedence = config.Precedence(svc.Name)
		pool.Configure(settings)
		for region, c := range changes {
			switch {
			case region != n.settings.Region && svc.Engine == nil: // only engines fetch from other regions
			case region != n.settings.Region:
				changeRemote(pool, region, ofService(c, svc.Name))
			case c.Whole:
				pool.Update(settings, ofService(c, svc.Name).Entries)
			default:
				own := ofService(c, svc.Name)
				pool.Change(own.Entries, own.Gone)
			}
		}
	}
}

// updateCurrentSince tracks from when on this instance has read the servers' entries without a break. The caller holds poolMu.
func (n *Instance) updateCurrentSince(now time.Time) {
	switch {
	case n.storeUnreachable():
		n.currentSince = time.Time{}
	case n.currentSince.IsZero():
		n.currentSince = now
	}
}

func (n *Instance) poolSettings(svc *routes.Service) placement.Settings {
	settings := placement.Settings{
		ColdRate: svc.ColdRate, ColdShare: n.coldShare, Features: n.features,
		Instances: len(*n.regionMembers.Load()), Seed: xxhash.Sum64String(n.settings.ID),
		CurrentSince: n.currentSince,
	}
	if svc.Engine != nil {
		settings.Engine, settings.Slots, settings.CacheTokens = true, svc.Engine.Slots, svc.Engine.CacheTokens
		if svc.Engine.LinkRate > 0 {
			settings.FetchSecondsPerToken = svc.Engine.TokenBytes / svc.Engine.LinkRate
		}
	}
	return settings
}

func changeRemote(pool *placement.Pool, region string, c backends.Changes) {
	if c.Whole {
		pool.UpdateRemote(region, c.Entries)
		return
	}
	pool.ChangeRemote(region, c.Entries, c.Gone)
}

// define adds the services of a configuration.
func (p *pooledVersions) define(config *routes.Config) {
	if p.defined == nil {
		p.defined = make(map[string]*routes.Service, len(config.Services))
	}
	maps.Copy(p.defined, config.Services)
}

// poolChanges returns the changes of the regions' backend servers since the last call, or all of them
// when there are other services. The caller holds poolMu.
func (n *Instance) poolChanges(now time.Time) map[string]backends.Changes {
	services := make(map[string]bool, len(n.pooled.defined))
	for name, svc := range n.pooled.defined {
		services[name] = svc.Engine != nil
	}
	if n.pooled.regions == nil || !maps.Equal(n.pooled.services, services) {
		n.pooled.services, n.pooled.regions = services, make(map[string]uint64)
	}
	out := make(map[string]backends.Changes)
	for _, region := range n.settings.regions() {
		known, pooled := n.pooled.regions[region]
		if pooled && known == n.backends.RegionVersion(region) {
			continue
		}
		c := n.backends.ChangesSince(region, known, now)
		n.pooled.regions[region] = c.Version
		out[region] = c
	}
	return out
}

// ofService returns the changes for the pool of a service. A changed server of another service is
// gone for this one: it may have been of this service before.
func ofService(c backends.Changes, service string) backends.Changes {
	out := backends.Changes{Version: c.Version, Whole: c.Whole, Gone: slices.Clone(c.Gone)}
	for _, e := range c.Entries {
		switch {
		case e.Service == service:
			out.Entries = append(out.Entries, e)
		case !c.Whole:
			out.Gone = append(out.Gone, e.ID)
		}
	}
	return out
}

// updateLedger passes the accounts and the instances that share them to the ledger.
func (n *Instance) updateLedger(config *routes.Config) {
	n.ledgerMu.Lock()
	defer n.ledgerMu.Unlock()
	hash := n.shares.Hash() // read first: a set that changes meanwhile is applied again
	holders := n.shares.Holders()
	if config.Version == n.ledgerConfig && hash == n.ledgerHolders || len(holders) == 0 {
		return
	}
	n.ledgerConfig = config.Version
	if n.division == nil || hash != n.ledgerHolders {
		n.ledgerHolders = hash
		n.division = quotashare.NewDivision(n.settings.ID, holders)
	}
	var docs []*service.Account
	for _, a := range config.Accounts {
		if a.Rate > 0 {
			docs = append(docs, &service.Account{Name: a.Name, Rate: a.Rate, Burst: a.Burst})
		}
	}
	n.ledger.UpdateDivided(docs, n.division, int64(len(holders)), time.Now())
}

// slotFlow returns how fast the slots of a service turn over in the local region.
func (n *Instance) slotFlow(service string, now time.Time) waitqueue.Flow {
	flow := n.local.Pool(service).Flow(now)
	return waitqueue.Flow{Rate: flow.Rate, FreeSlots: flow.FreeSlots, Instances: len(*n.regionMembers.Load())}
}

// publishLoads publishes the load of the services in this instance's entry.
func (n *Instance) publishLoads(now time.Time) {
	config := n.routes.Current()
	if config == nil {
		return
	}
	var loads []*peerpb.ServiceLoad
	for _, svc := range config.Services {
		s := n.local.Pool(svc.Name).Summarize(now)
		loads = append(loads, &peerpb.ServiceLoad{
			Service: svc.Name, Servers: uint32(s.Servers), InFlight: uint32(s.Running),
			ExpectedWaitMs: uint32(s.ExpectedFirstByte.Milliseconds()), HasRoom: s.FreeSlots > 0, Room: uint32(s.FreeSlots),
			SlowedPercent: uint32(100 * s.StallFraction),
		})
	}
	unreachable := n.storeUnreachable()
	n.members.UpdateSelf(now, func(m *peerpb.Member) {
		m.Loads, m.ConfigRevision, m.StoreUnreachable = loads, config.Version, unreachable
		m.QuotaHash, m.QuotaAgreed = n.shares.Hash(), n.shares.AgreementHash()
	})
}

// loadReport returns this instance's load for the other instances of the region.
func (n *Instance) loadReport() placement.LoadReport {
	var all placement.LoadReport
	if config := n.routes.Current(); config != nil {
		for name := range config.Services {
			d := n.local.Pool(name).LoadReport()
			all.Servers = append(all.Servers, d.Servers...)
			all.Dispatches = append(all.Dispatches, d.Dispatches...)
		}
	}
	return all
}

// hasPlaced reports whether this instance has placed requests since its last load report.
func (n *Instance) hasPlaced() bool {
	config := n.routes.Current()
	if config == nil {
		return false
	}
	for name := range config.Services {
		if n.local.Pool(name).HasPlaced() {
			return true
		}
	}
	return false
}

// applyLoadReport applies another instance's load report. Each pool takes from it the
// servers that it knows.
func (n *Instance) applyLoadReport(from string, d *placement.LoadReport, now time.Time) {
	if config := n.routes.Current(); config != nil {
		for name := range config.Services {
			n.local.Pool(name).ApplyReport(from, d, now)
		}
	}
}

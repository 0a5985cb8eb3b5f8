package instance

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/admission"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/routing"
)

// domainViewTTL is how long a view of the other instances is reused. Their load reports
// arrive once a second.
const domainViewTTL = 100 * time.Millisecond

// domainViews caches what the other instances reported of each service, so that a request
// does not scan the membership table.
type domainViews struct {
	mu    sync.Mutex
	views map[string]domainView
}

type domainView struct {
	builtAt time.Time
	domains []routing.Domain
}

// Local implements dispatch.Domains.
func (i *Instance) Local(name string) routing.Domain {
	view := routing.Domain{
		Name: i.settings.Domain, Region: i.settings.Region,
		PeerID: i.settings.ID, PeerHash: xxhash.Sum64String(i.settings.ID),
	}
	for _, e := range i.servers.Entries(name) {
		if e.View().Usable() {
			view.Servers++
			view.InFlight += e.InFlight()
		}
	}
	if svc := i.catalog.Service(name); svc != nil {
		stats := i.local.Admission.Stats(svc)
		view.Interactive = queueOf(stats.Interactive)
		view.Bulk = queueOf(stats.Bulk)
	}
	return view
}

func queueOf(s admission.ClassStats) routing.Queue {
	return routing.Queue{ExpectedWait: s.ExpectedWait, AcceptsRemote: s.AcceptsRemote, FreeSlots: s.FreeSlots}
}

// Peers implements dispatch.Domains.
func (i *Instance) Peers(name string) []routing.Domain {
	now := time.Now()
	i.views.mu.Lock()
	defer i.views.mu.Unlock()
	view, ok := i.views.views[name]
	if ok && now.Sub(view.builtAt) < domainViewTTL {
		return view.domains
	}
	view = domainView{builtAt: now}
	for _, m := range i.members.Members(now) {
		if m.Reachable && !m.Leaving() && m.Entry.GetId() != i.settings.ID {
			view.domains = append(view.domains, i.remoteDomain(m, name))
		}
	}
	i.views.views[name] = view
	return view.domains
}

func (i *Instance) remoteDomain(m membership.Member, name string) routing.Domain {
	d := routing.Domain{
		Name: m.Entry.GetDomain(), Region: m.Entry.GetRegion(), PeerID: m.Entry.GetId(),
		PeerHash: xxhash.Sum64String(m.Entry.GetId()), ReportSeq: uint64(m.LastContact.UnixNano()),
		PeerAddress: m.Entry.GetPeerAddress(), LinkDelay: i.settings.Links.Domain,
	}
	if d.Region != i.settings.Region {
		d.LinkDelay = i.settings.Links.Region
	}
	for _, load := range m.Loads {
		if load.GetService() == name {
			d.Servers, d.InFlight = int(load.GetServers()), int(load.GetInFlight())
			d.Interactive = routing.Queue{
				ExpectedWait:  time.Duration(load.GetExpectedWaitMs()) * time.Millisecond,
				AcceptsRemote: load.GetHasRoom(), FreeSlots: int(load.GetRoom()),
			}
			d.Bulk = routing.Queue{
				ExpectedWait:  time.Duration(load.GetBulkWaitMs()) * time.Millisecond,
				AcceptsRemote: load.GetBulkHasRoom(), FreeSlots: int(load.GetBulkRoom()),
			}
		}
	}
	return d
}

// peersInDomain returns the peer addresses of the reachable instances in a failure domain. The
// one at address comes last, and also when it is not reachable.
func (i *Instance) peersInDomain(domain, address string) []string {
	var siblings, last []string
	for _, m := range i.members.Members(time.Now()) {
		switch {
		case m.Entry.GetDomain() != domain:
		case m.Entry.GetPeerAddress() == address:
			last = append(last, address)
		case m.Reachable && !m.Leaving():
			siblings = append(siblings, m.Entry.GetPeerAddress())
		}
	}
	return append(siblings, last...)
}

// Serves reports whether any failure domain has a usable server of the service.
func (i *Instance) Serves(name string) bool {
	if i.Local(name).Servers > 0 {
		return true
	}
	for _, d := range i.Peers(name) {
		if d.Servers > 0 {
			return true
		}
	}
	return false
}

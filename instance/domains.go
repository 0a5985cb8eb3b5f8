package instance

import (
	"time"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/routing"
)

// Domains implements dispatch.Domains.
func (i *Instance) Domains(name string) []routing.Domain {
	own := routing.Domain{Name: i.settings.Domain, Region: i.settings.Region, HasRoom: true}
	for _, s := range i.servers.Of(name) {
		if s.Usable() {
			own.Servers++
			own.InFlight += s.InFlight
		}
	}
	out := []routing.Domain{own}
	for _, m := range i.members.Members(time.Now()) {
		if !m.Reachable || m.Leaving() || m.Entry.GetDomain() == i.settings.Domain {
			continue
		}
		out = append(out, i.remote(m, name))
	}
	return out
}

func (i *Instance) remote(m membership.Member, name string) routing.Domain {
	d := routing.Domain{
		Name: m.Entry.GetDomain(), Region: m.Entry.GetRegion(), PeerID: m.Entry.GetId(),
		Peer: m.Entry.GetPeerAddress(), LinkDelay: i.settings.Links.Domain,
	}
	if d.Region != i.settings.Region {
		d.LinkDelay = i.settings.Links.Region
	}
	for _, load := range m.Entry.GetLoads() {
		if load.GetService() == name {
			d.Servers, d.InFlight = int(load.GetServers()), int(load.GetInFlight())
			d.ExpectedWait = time.Duration(load.GetExpectedWaitMs()) * time.Millisecond
			d.HasRoom = load.GetHasRoom()
		}
	}
	return d
}

// Serves tells whether some failure domain has a usable server of the service.
func (i *Instance) Serves(name string) bool {
	for _, d := range i.Domains(name) {
		if d.Servers > 0 {
			return true
		}
	}
	return false
}

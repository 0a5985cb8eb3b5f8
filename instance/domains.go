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

// peersBeside returns the addresses of the reachable peers in the failure domain
// of the peer at an address, that one last.
func (i *Instance) peersBeside(address string) []string {
	members := i.members.Members(time.Now())
	domain := ""
	for _, m := range members {
		if m.Entry.GetPeerAddress() == address {
			domain = m.Entry.GetDomain()
		}
	}
	var beside, last []string
	for _, m := range members {
		switch {
		case domain == "" || m.Entry.GetDomain() != domain:
		case m.Entry.GetPeerAddress() == address:
			last = append(last, address)
		case m.Reachable && !m.Leaving():
			beside = append(beside, m.Entry.GetPeerAddress())
		}
	}
	return append(beside, last...)
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

// Affords tells whether the account could be charged some tokens here now.
func (i *Instance) Affords(account string, tokens float64) bool {
	a := i.catalog.Account(account)
	if a == nil {
		return false
	}
	now := time.Now()
	ok, _ := i.ledger.Admit(a, tokens, now)
	if ok {
		i.ledger.Settle(a, tokens, now)
	}
	return ok
}

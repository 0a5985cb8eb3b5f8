package loadhub

import (
	"net/netip"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
)

// A hub gets the reports of some tens of instances up to fifty times a second and answers each
// with the load of up to a thousand servers. So it keeps the sums up to date as reports arrive,
// and does not add up all reports for each answer.

// maxServersPerMessage bounds the servers of one message, so that a datagram stays well below
// what receivers accept.
const maxServersPerMessage = 256

// recordHubReport records the report of an instance to this hub.
func (e *Exchange) recordHubReport(m Message, from netip.AddrPort, now time.Time) {
	member := e.recordReport(m, now)
	member.replyWanted, member.address, member.replyDue = !m.NoReply, from, true
}

// recordReport replaces the last report of an instance in the sums.
func (e *Exchange) recordReport(m Message, now time.Time) *memberReport {
	member := e.reports[m.From]
	if member == nil {
		member = &memberReport{}
		e.reports[m.From] = member
	}
	e.replaceLoads(m.Domain, member.Report.Servers, m.Report.Servers)
	e.region.addDispatches(m.Report.Dispatches)
	if m.Domain == e.self.Domain {
		e.domain.addDispatches(m.Report.Dispatches)
	}
	if member.outcomesUnsent { // not the first one since the last complete tick
		m.Report = mergeReports(&member.Report, m.Report)
	}
	member.Message, member.receivedAt, member.outcomesUnsent = m, now, true
	return member
}

// replaceLoads replaces in the sums the loads that an instance reported by its latest ones.
func (e *Exchange) replaceLoads(domain string, before, after []placement.ServerLoad) {
	earlier := make(map[uint32]placement.ServerLoad, len(before))
	for _, load := range before {
		earlier[load.Server] = load
	}
	for _, load := range after {
		e.replaceLoad(domain, earlier[load.Server], load)
		delete(earlier, load.Server)
	}
	for server, load := range earlier {
		e.replaceLoad(domain, load, placement.ServerLoad{Server: server})
	}
}

func (e *Exchange) replaceLoad(domain string, before, after placement.ServerLoad) {
	e.region.replace(before, after)
	if domain == e.self.Domain {
		e.domain.replace(before, after)
	}
}

// recordSum records the sum of another domain.
func (e *Exchange) recordSum(m Message, now time.Time) {
	s := e.sums[m.Domain]
	if s == nil {
		s = &domainSum{loads: make(map[uint32]placement.ServerLoad)}
		e.sums[m.Domain] = s
	}
	if !s.accepts(m.From, now) {
		return
	}
	var gone map[uint32]placement.ServerLoad
	if !m.Report.Partial {
		gone, s.loads = s.loads, make(map[uint32]placement.ServerLoad)
	}
	for _, load := range m.Report.Servers {
		before, known := gone[load.Server]
		if !known {
			before = s.loads[load.Server]
		}
		delete(gone, load.Server)
		e.region.replace(before, load)
		if hasLoad(load) {
			s.loads[load.Server] = load
		} else {
			delete(s.loads, load.Server)
		}
	}
	e.removeLoads(gone)
	e.region.addDispatches(m.Report.Dispatches)
}

// removeLoads removes the loads of another domain from the sum of the region.
func (e *Exchange) removeLoads(loads map[uint32]placement.ServerLoad) {
	for server, load := range loads {
		e.region.replace(load, placement.ServerLoad{Server: server})
	}
}

func (e *Exchange) dropExpired(now time.Time) {
	for id, member := range e.reports {
		if now.Sub(member.receivedAt) > reportTTL {
			e.replaceLoads(member.Domain, member.Report.Servers, nil)
			delete(e.reports, id)
		}
	}
	for domain, s := range e.sums {
		if now.Sub(s.lastContact) > reportTTL {
			e.removeLoads(s.loads)
			delete(e.sums, domain)
		}
	}
}

// runHub replies to the instances that reported, sends the sum of the local domain to the hubs
// of the other domains, and returns the sum over the region as an update.
func (e *Exchange) runHub(out []Envelope, now time.Time) ([]Envelope, []Update) {
	complete := e.tick%completeTicks == 0 || e.region.failureUnsent
	due := e.region.due(e.tick, complete)
	var updates []Update
	if e.isHub {
		updates = append(updates, Update{regionSource, e.region.partial(due, e.reports[e.self.ID].contribution(), complete)})
		out = e.sendDomainSum(out, complete)
	}
	for _, member := range e.reports {
		out = e.replyWithSum(out, member, due, complete)
	}
	if complete {
		e.region.clearOutcomes()
		e.domain.clearOutcomes()
		for _, member := range e.reports {
			member.outcomesUnsent = false
		}
	}
	return out, updates
}

// replyWithSum sends the sum to an instance that expects it.
func (e *Exchange) replyWithSum(out []Envelope, member *memberReport, due []uint32, complete bool) []Envelope {
	if !member.replyWanted || len(due) == 0 && !(member.replyDue && e.tick%reportTicks == 0) {
		return out
	}
	member.replyDue = false
	report := e.region.partial(due, member.contribution(), complete)
	if !member.AcceptsPartial {
		report = e.region.full(member.contribution(), complete)
	}
	first := len(out)
	out = e.sendSum(out, RegionSum, []netip.AddrPort{member.address}, report)
	for i := first; i < len(out); i++ {
		member.replies++
		out[i].Number = member.replies
	}
	return out
}

// sendDomainSum sends the sum of the local domain to the hubs of the other domains: all of it
// to a hub that was not known before, and what changed to the others.
func (e *Exchange) sendDomainSum(out []Envelope, complete bool) []Envelope {
	due := e.domain.due(e.tick, complete)
	known := make(map[netip.AddrPort]bool, len(e.others))
	var informed, uninformed []netip.AddrPort
	for _, hub := range e.others {
		known[hub] = true
		if e.informedHubs[hub] {
			informed = append(informed, hub)
		} else {
			uninformed = append(uninformed, hub)
		}
	}
	e.informedHubs = known
	if len(e.domain.servers) == 0 || len(due) == 0 && e.tick%reportTicks != 0 {
		return out
	}
	if len(informed) > 0 {
		out = e.sendSum(out, DomainSum, informed, e.domain.partial(due, nil, complete))
	}
	if len(uninformed) > 0 {
		out = e.sendSum(out, DomainSum, uninformed, e.domain.full(nil, complete))
	}
	return out
}

// sendSum sends a sum in as many messages as it takes. All but the first are partial.
func (e *Exchange) sendSum(out []Envelope, kind Kind, to []netip.AddrPort, report placement.LoadReport) []Envelope {
	for len(report.Servers) > maxServersPerMessage {
		part := report
		part.Servers = report.Servers[:maxServersPerMessage]
		out = append(out, Envelope{to, e.message(kind, part)})
		report = placement.LoadReport{Servers: report.Servers[maxServersPerMessage:], Partial: true}
	}
	return append(out, Envelope{to, e.message(kind, report)})
}

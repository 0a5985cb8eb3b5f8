package placement

import "time"

// The instances of a region send to the same servers, and each sees only its own part of
// the load: with twenty of them a server that has half a second of prompts to prefill looks
// idle to most. So each instance reports to the others several times a second what it has in
// flight at each server, how its requests ended, and which shared segments it sent there.

// peerReportTTL is how long another instance's report counts: a few of its messages may be
// lost.
const peerReportTTL = 400 * time.Millisecond

// MaxDispatches bounds the dispatches of one load report.
const MaxDispatches = 64

// ServerLoad is what one instance has in flight at a server.
type ServerLoad struct {
	Server        uint32 // hash of the id
	PendingTokens int    // prompt tokens of requests whose first byte has not arrived
	UrgentTokens  int    // those of the highest urgency
	InFlight      int
	// UrgentInFlight is the number of urgent requests, where these take precedence.
	UrgentInFlight int
	// TimePercent is the mean time of work on its machine in percent of the usual one; 0 if the server
	// has not reported it since the last report.
	TimePercent int
	Served      int  // succeeded since the last report
	Failed      int  // failed since the last report
	Down        bool // it accepts no connections
}

// Dispatch records that shared segments were sent to a server.
type Dispatch struct {
	Server   uint32
	Segments []PromptSegment
}

// LoadReport is what an instance reports to the others of its region.
type LoadReport struct {
	Servers    []ServerLoad
	Dispatches []Dispatch
	Partial    bool // servers that are not listed are as in the last report of the same source
}

// peerReport is the last report of another instance.
type peerReport struct {
	at    time.Time
	loads map[uint32]peerLoad // by server hash
}

type peerLoad struct {
	ServerLoad
	server *server
}

// peerTotals sums up what the other instances have in flight at a server. Each choice reads
// them for every server, so the sums are updated as reports arrive and expire: computed anew
// for each choice, they took most of its time where many instances report.
type peerTotals struct{ pending, urgent, inFlight, urgentInFlight int }

func (t *peerTotals) add(load *ServerLoad, sign int) {
	t.pending += sign * load.PendingTokens
	t.urgent += sign * load.UrgentTokens
	t.inFlight += sign * load.InFlight
	t.urgentInFlight += sign * load.UrgentInFlight
}

// dropReport removes the last report of another instance from the sums.
func (p *Pool) dropReport(from string) {
	report := p.peerReports[from]
	if report == nil {
		return
	}
	for _, load := range report.loads {
		load.server.fromPeers.add(&load.ServerLoad, -1)
	}
	delete(p.peerReports, from)
}

// dropExpiredReports removes the reports that are older than peerReportTTL.
func (p *Pool) dropExpiredReports(now time.Time) {
	for from, report := range p.peerReports {
		if now.Sub(report.at) > peerReportTTL {
			p.dropReport(from)
		}
	}
}

// recordDispatch keeps a dispatch for the next load report.
func (p *Pool) recordDispatch(s *server, segments []PromptSegment) {
	if len(segments) < 2 || len(p.dispatches) >= MaxDispatches {
		return
	}
	p.dispatches = append(p.dispatches, Dispatch{Server: uint32(s.hash), Segments: segments[:len(segments)-1]})
}

// HasPlaced reports whether requests were placed since the last load report.
func (p *Pool) HasPlaced() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasPlaced
}

// LoadReport returns the report for the other instances, and resets what it counts since the
// last one. Servers without load are left out: a server that is not listed has none.
func (p *Pool) LoadReport() LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := LoadReport{Dispatches: p.dispatches}
	p.dispatches, p.hasPlaced = nil, false
	for _, s := range p.servers {
		if s.inFlight == 0 && s.newServed == 0 && s.newFailed == 0 && !s.newDown && !s.newTimeReport {
			continue
		}
		report.Servers = append(report.Servers, ServerLoad{
			Server: uint32(s.hash), PendingTokens: int(s.totalPending()), UrgentTokens: int(p.urgentPending(s)), InFlight: s.inFlight,
			UrgentInFlight: s.urgentInFlight, TimePercent: s.newTimePercent(), Served: s.newServed, Failed: s.newFailed, Down: s.newDown,
		})
		s.newServed, s.newFailed, s.newDown, s.newTimeReport = 0, 0, false, false
	}
	return report
}

// ApplyReport replaces the last report of another instance by a new one, or changes it by a
// partial one.
func (p *Pool) ApplyReport(from string, report *LoadReport, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !report.Partial {
		p.dropReport(from)
	}
	latest := p.peerReports[from]
	if latest == nil {
		latest = &peerReport{loads: make(map[uint32]peerLoad, len(report.Servers))}
		p.peerReports[from] = latest
	}
	latest.at = now
	for i := range report.Servers {
		load := &report.Servers[i]
		if s := p.byHash[load.Server]; s != nil {
			latest.replace(load, s)
			s.mergeOutcomes(load, now)
			p.mergeMachineTime(s, load.TimePercent)
		}
	}
	for _, dispatch := range report.Dispatches {
		if s := p.byHash[dispatch.Server]; s != nil {
			s.touchCache(dispatch.Segments, p.cacheCapacity())
		}
	}
}

// replace replaces the load at a server.
func (r *peerReport) replace(load *ServerLoad, s *server) {
	if before, ok := r.loads[load.Server]; ok {
		before.server.fromPeers.add(&before.ServerLoad, -1)
		delete(r.loads, load.Server)
	}
	if load.InFlight != 0 || load.PendingTokens != 0 || load.UrgentTokens != 0 {
		r.loads[load.Server] = peerLoad{ServerLoad: *load, server: s}
		s.fromPeers.add(load, 1)
	}
}

// maxReportedOutcomes bounds the outcomes of one report that count: with more, the failure
// rate would be that of the report alone.
const maxReportedOutcomes = 16

// mergeOutcomes counts the outcomes of another instance's requests. With many instances each
// sends to a server too seldom to find out that the server fails part of its requests.
func (s *server) mergeOutcomes(load *ServerLoad, now time.Time) {
	if load.Down {
		s.recordEnd(now)
	}
	if load.InFlight > 0 && now.Before(s.ejectedUntil) {
		s.probedAt = now // the other instance's requests serve as probes
	}
	requests := load.Served + load.Failed
	if requests > 0 {
		s.countOutcomes(min(requests, maxReportedOutcomes), float64(load.Failed)/float64(requests), now)
	}
}

func (p *Pool) cacheCapacity() int { return int(promptCacheFraction * float64(p.settings.CacheTokens)) }

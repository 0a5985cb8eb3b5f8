package loadhub

import (
	"maps"
	"slices"

	"github.com/basilroute/basilroute/coordination/placement"
)

// loadSum is the load of several instances. Outcomes and dispatches count once, in the round
// after they were received.
type loadSum struct {
	servers    map[uint32]placement.ServerLoad
	dispatches []placement.Dispatch
}

func newLoadSum() *loadSum { return &loadSum{servers: make(map[uint32]placement.ServerLoad)} }

func (s *loadSum) add(report *placement.LoadReport, unsent bool) {
	for _, load := range report.Servers {
		s.addServer(load, unsent)
	}
	if unsent {
		s.dispatches = append(s.dispatches, report.Dispatches...)
	}
}

func (s *loadSum) addServer(load placement.ServerLoad, outcomes bool) {
	total := s.servers[load.Server]
	total.Server = load.Server
	total.PendingTokens += load.PendingTokens
	total.UrgentTokens += load.UrgentTokens
	total.InFlight += load.InFlight
	if outcomes {
		total.Served += load.Served
		total.Failed += load.Failed
		total.Down = total.Down || load.Down
	}
	s.servers[load.Server] = total
}

// report returns the sum without the contribution of one instance. unsent says whether the
// outcomes of that instance are part of the sum.
func (s *loadSum) report(excluded *placement.LoadReport, unsent bool) placement.LoadReport {
	excludedLoads := make(map[uint32]placement.ServerLoad)
	if excluded != nil {
		for _, load := range excluded.Servers {
			excludedLoads[load.Server] = load
		}
	}
	out := placement.LoadReport{Dispatches: s.dispatches}
	if len(out.Dispatches) > placement.MaxDispatches {
		out.Dispatches = out.Dispatches[:placement.MaxDispatches]
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		load, minus := s.servers[id], excludedLoads[id]
		load.PendingTokens -= minus.PendingTokens
		load.UrgentTokens -= minus.UrgentTokens
		load.InFlight -= minus.InFlight
		if unsent {
			load.Served -= minus.Served
			load.Failed -= minus.Failed
		}
		if load.PendingTokens != 0 || load.InFlight != 0 || load.Served != 0 || load.Failed != 0 || load.Down {
			out.Servers = append(out.Servers, load)
		}
	}
	return out
}

// mergeReports returns the newer of two reports of one sender, with the outcomes and the
// dispatches of both.
func mergeReports(first *placement.LoadReport, second placement.LoadReport) placement.LoadReport {
	earlier := make(map[uint32]placement.ServerLoad)
	for _, load := range first.Servers {
		earlier[load.Server] = load
	}
	out := placement.LoadReport{Dispatches: slices.Concat(first.Dispatches, second.Dispatches)}
	for _, load := range second.Servers {
		before := earlier[load.Server]
		delete(earlier, load.Server)
		load.Served += before.Served
		load.Failed += before.Failed
		load.Down = load.Down || before.Down
		out.Servers = append(out.Servers, load)
	}
	for _, load := range first.Servers {
		if left, ok := earlier[load.Server]; ok && (left.Served > 0 || left.Failed > 0 || left.Down) {
			out.Servers = append(out.Servers, placement.ServerLoad{
				Server: left.Server, Served: left.Served, Failed: left.Failed, Down: left.Down,
			})
		}
	}
	return out
}

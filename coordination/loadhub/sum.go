package loadhub

import (
	"maps"
	"slices"

	"github.com/basilroute/basilroute/coordination/placement"
)

// sum is the load of several instances. What ended and what was sent counts once, in the
// round in which it was told.
type sum struct {
	servers    map[uint32]placement.ServerLoad
	dispatches []placement.Dispatch
}

func newSum() *sum { return &sum{servers: make(map[uint32]placement.ServerLoad)} }

func (s *sum) add(d *placement.LoadReport, unheard bool) {
	for _, load := range d.Servers {
		s.count(load, unheard)
	}
	if unheard {
		s.dispatches = append(s.dispatches, d.Dispatches...)
	}
}

func (s *sum) count(load placement.ServerLoad, outcomes bool) {
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

// digest returns the sum without what one instance of it contributed.
func (s *sum) digest(without *placement.LoadReport, unheard bool) placement.LoadReport {
	own := make(map[uint32]placement.ServerLoad)
	if without != nil {
		for _, load := range without.Servers {
			own[load.Server] = load
		}
	}
	out := placement.LoadReport{Dispatches: s.dispatches}
	if len(out.Dispatches) > placement.MaxDispatches {
		out.Dispatches = out.Dispatches[:placement.MaxDispatches]
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers)) {
		load, less := s.servers[id], own[id]
		load.PendingTokens -= less.PendingTokens
		load.UrgentTokens -= less.UrgentTokens
		load.InFlight -= less.InFlight
		if unheard {
			load.Served -= less.Served
			load.Failed -= less.Failed
		}
		if load.PendingTokens != 0 || load.InFlight != 0 || load.Served != 0 || load.Failed != 0 || load.Down {
			out.Servers = append(out.Servers, load)
		}
	}
	return out
}

// later returns the newer of two words of one sender, with what ended and was sent by both.
func later(first *placement.LoadReport, second placement.LoadReport) placement.LoadReport {
	ended := make(map[uint32]placement.ServerLoad)
	for _, load := range first.Servers {
		ended[load.Server] = load
	}
	out := placement.LoadReport{Dispatches: slices.Concat(first.Dispatches, second.Dispatches)}
	for _, load := range second.Servers {
		before := ended[load.Server]
		delete(ended, load.Server)
		load.Served += before.Served
		load.Failed += before.Failed
		load.Down = load.Down || before.Down
		out.Servers = append(out.Servers, load)
	}
	for _, load := range first.Servers {
		if left, ok := ended[load.Server]; ok && (left.Served > 0 || left.Failed > 0 || left.Down) {
			out.Servers = append(out.Servers, placement.ServerLoad{
				Server: left.Server, Served: left.Served, Failed: left.Failed, Down: left.Down,
			})
		}
	}
	return out
}

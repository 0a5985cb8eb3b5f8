package loadhub

import (
	"cmp"
	"maps"
	"slices"

	"github.com/basilroute/basilroute/coordination/placement"
)

const (
	// completeTicks is the number of ticks after which every change is sent. In the ticks
	// between, only servers that got work are.
	completeTicks = 2 * reportTicks
	// refreshTicks is the number of ticks in which each server of a domain is sent once
	// although it did not change.
	refreshTicks = 32 * reportTicks
	// idleRefreshes is how often a server of a domain without load is sent before it is left out.
	idleRefreshes = 3
)

// loadSum is the load of several instances, with what has changed since it was last sent.
type loadSum struct {
	servers       map[uint32]*serverSum
	dispatches    []placement.Dispatch // since the last complete tick
	failureUnsent bool                 // a server failed since the last complete tick
	// repeats says that the receivers do not notice a lost message: each change is sent twice,
	// and each server again from time to time.
	repeats bool
}

// serverSum is the load of a server. Its outcomes are those since the last complete tick.
type serverSum struct {
	placement.ServerLoad
	changed   bool
	newWork   bool
	resend    bool
	refreshes int // times that it was sent without load
}

func newLoadSum(repeats bool) loadSum {
	return loadSum{servers: make(map[uint32]*serverSum), repeats: repeats}
}

// contribution is what one instance's last report adds to the sums, by server.
type contribution map[uint32]placement.ServerLoad

// contribution returns what the report adds to the sums. Its outcomes are not part of them
// any more once a complete tick has sent them.
func (r *memberReport) contribution() contribution {
	if r == nil {
		return nil
	}
	out := make(contribution, len(r.Report.Servers))
	for _, load := range r.Report.Servers {
		if !r.outcomesUnsent {
			load.Served, load.Failed = 0, 0
		}
		out[load.Server] = load
	}
	return out
}

func hasLoad(load placement.ServerLoad) bool { return load.PendingTokens != 0 || load.InFlight != 0 }

// replace replaces an instance's load at a server, and adds its latest outcomes.
func (s *loadSum) replace(before, after placement.ServerLoad) {
	total := s.servers[after.Server]
	if total == nil {
		total = &serverSum{ServerLoad: placement.ServerLoad{Server: after.Server}}
		s.servers[after.Server] = total
	}
	total.PendingTokens += after.PendingTokens - before.PendingTokens
	total.UrgentTokens += after.UrgentTokens - before.UrgentTokens
	total.InFlight += after.InFlight - before.InFlight
	total.UrgentInFlight += after.UrgentInFlight - before.UrgentInFlight
	if after.TimePercent > 0 {
		total.TimePercent = after.TimePercent
	}
	total.Served += after.Served
	total.Failed += after.Failed
	total.Down = total.Down || after.Down
	total.refreshes = 0
	total.newWork = total.newWork || after.PendingTokens > before.PendingTokens
	total.changed = total.changed || after.PendingTokens != before.PendingTokens || after.UrgentTokens != before.UrgentTokens ||
		after.InFlight != before.InFlight || after.UrgentInFlight != before.UrgentInFlight || after.TimePercent > 0 || after.Served > 0 || after.Failed > 0 || after.Down
	s.failureUnsent = s.failureUnsent || after.Failed > 0 || after.Down
}

func (s *loadSum) addDispatches(dispatches []placement.Dispatch) {
	room := placement.MaxDispatches - len(s.dispatches)
	s.dispatches = append(s.dispatches, dispatches[:min(max(room, 0), len(dispatches))]...)
}

// due returns the servers to send in a tick, ordered, and counts them as sent.
func (s *loadSum) due(tick int, complete bool) []uint32 {
	var out []uint32
	for id, total := range s.servers {
		isNew := total.newWork || complete && total.changed
		refresh := s.repeats && int(id%refreshTicks) == tick%refreshTicks
		if isNew || refresh || total.resend {
			out = append(out, id)
		}
		total.resend = s.repeats && isNew
		total.newWork = false
		total.changed = total.changed && !complete
		if refresh && !hasLoad(total.ServerLoad) {
			total.refreshes++
		}
	}
	slices.Sort(out)
	return out
}

// clearOutcomes forgets what a complete tick has sent, and the servers without load.
func (s *loadSum) clearOutcomes() {
	for id, total := range s.servers {
		total.Served, total.Failed, total.Down, total.TimePercent = 0, 0, false, 0
		if !hasLoad(total.ServerLoad) && (!s.repeats || total.refreshes >= idleRefreshes) {
			delete(s.servers, id)
		}
	}
	s.dispatches, s.failureUnsent = nil, false
}

// partial returns the load of some servers without an instance's contribution, which may be nil.
// Outcomes and dispatches are part of complete ticks only.
func (s *loadSum) partial(servers []uint32, excluded contribution, complete bool) placement.LoadReport {
	out := placement.LoadReport{Partial: true, Servers: make([]placement.ServerLoad, 0, len(servers))}
	if complete {
		out.Dispatches = s.dispatches
	}
	for _, id := range servers {
		total := s.servers[id]
		if total == nil {
			continue
		}
		load, minus := total.ServerLoad, excluded[id]
		load.PendingTokens -= minus.PendingTokens
		load.UrgentTokens -= minus.UrgentTokens
		load.InFlight -= minus.InFlight
		load.UrgentInFlight -= minus.UrgentInFlight
		load.Served -= minus.Served
		load.Failed -= minus.Failed
		if !complete {
			load.Served, load.Failed, load.Down, load.TimePercent = 0, 0, false, 0
		}
		out.Servers = append(out.Servers, load)
	}
	return out
}

// full returns the load of all servers that have any, without an instance's contribution.
func (s *loadSum) full(excluded contribution, complete bool) placement.LoadReport {
	out := s.partial(slices.Sorted(maps.Keys(s.servers)), excluded, complete)
	out.Partial = false
	out.Servers = slices.DeleteFunc(out.Servers, func(load placement.ServerLoad) bool {
		return !hasLoad(load) && load.Served == 0 && load.Failed == 0 && !load.Down
	})
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
		load.TimePercent = cmp.Or(load.TimePercent, before.TimePercent)
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

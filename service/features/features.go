// Package features names the mechanisms that operators can switch off one by one in the
// settings, so that a mechanism that misbehaves can be disabled without a release. All are
// on by default. A mechanism that a guarantee to callers or backend servers depends on is
// not a feature and cannot be switched off.
package features

import (
	"maps"
	"slices"
)

// Name is the name of a feature in the settings.
type Name string

// Features.
const (
	SpillByOccupancy   Name = "leave_by_room"   // requests spill from a region that is short of slots
	SpillByStall       Name = "leave_by_pace"   // requests spill from a region whose running generations are stalled
	Fetch              Name = "fetch"           // cached prompt segments are fetched from servers of the region
	RemoteFetch        Name = "far_fetch"       // cached prompt segments are fetched from other regions
	PreferredServers   Name = "hash_homes"      // prompts with common segments prefer one server
	PoolLatencyFactor  Name = "pool_pace"       // a latency factor of all servers in addition to each server's own
	LoadReports        Name = "digests"         // instances of a region send each other load reports
	Ejection           Name = "set_aside"       // servers that fail a fraction of their requests are ejected
	EjectedFallback    Name = "last_resort"     // ejected servers get requests that would be refused otherwise
	RetryAfterPacing   Name = "comeback"        // Retry-After times of refused callers are spread out one behind another
	LimitEventGaps     Name = "spare_pauses"    // long prompts avoid servers whose running generations they would stall
	SampledChoice      Name = "sample"          // in a large region the server is chosen among a sample
	Spread             Name = "spread"          // requests are spread over servers by what other instances placed since their load reports
	StartupWait        Name = "start_wait"      // requests wait until a starting instance has its state
	ConfirmLoans       Name = "ask_loans"       // a restarted instance asks all others for its loans
	OvertakeLargeWaits Name = "pass_large_wait" // small requests overtake large ones that wait for tokens
	FittedPace         Name = "fitted_pace"     // first bytes are estimated from fitted times
	PrefillRuns        Name = "prefill_runs"    // prompts avoid servers that have been prefilling for long
	RegionRoom         Name = "region_room"     // requests are forwarded only to regions with room
	UrgentFirst        Name = "urgent_first"    // urgent requests take slots of less urgent ones
	WaitForSlot        Name = "wait_for_slot"   // less urgent requests wait for a slot
	WarmPeers          Name = "warm_peers"      // connections to other regions are kept and dialled ahead
)

// All returns every feature, ordered by name.
func All() []Name {
	return []Name{
		ConfirmLoans, RetryAfterPacing, LoadReports, RemoteFetch, Fetch, FittedPace, PreferredServers, EjectedFallback, SpillByStall, SpillByOccupancy,
		OvertakeLargeWaits, PoolLatencyFactor, PrefillRuns, RegionRoom, SampledChoice, Ejection, LimitEventGaps, Spread, StartupWait, UrgentFirst, WaitForSlot,
		WarmPeers,
	}
}

// Known reports whether a feature of that name exists.
func Known(name Name) bool { return slices.Contains(All(), name) }

// Set holds which features are on. The zero value has all of them on.
type Set struct{ off map[Name]bool }

// NewSet returns a set without the features that the settings switch off.
func NewSet(settings map[Name]bool) Set {
	off := make(map[Name]bool)
	for name, on := range settings {
		if !on {
			off[name] = true
		}
	}
	return Set{off: off}
}

// On reports whether a feature is on.
func (s Set) On(name Name) bool { return !s.off[name] }

// Off returns the features that are off, ordered by name.
func (s Set) Off() []Name { return slices.Sorted(maps.Keys(s.off)) }

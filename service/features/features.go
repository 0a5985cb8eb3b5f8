// Package features names the mechanisms of decision that operators can switch off, one by
// one, in the settings. A mechanism that misbehaves is taken out so without another
// release. All are on unless the settings say otherwise. What keeps a promise to callers or
// backend servers is no feature and cannot be switched off.
package features

import (
	"maps"
	"slices"
)

// Name is the name of a feature in the settings.
type Name string

// Features.
const (
	SpillByOccupancy   Name = "leave_by_room"   // requests leave a region short of slots
	SpillByStall       Name = "leave_by_pace"   // and one whose running answers are slow
	Fetch              Name = "fetch"           // cached parts are fetched from servers of the region
	RemoteFetch        Name = "far_fetch"       // and of other regions
	PreferredServers   Name = "hash_homes"      // prompts that share parts prefer one server
	PoolLatencyFactor  Name = "pool_pace"       // a pace of all servers beside each server's own
	LoadReports        Name = "digests"         // instances of a region tell each other their load
	Ejection           Name = "set_aside"       // servers that fail a part of their requests get none
	EjectedFallback    Name = "last_resort"     // but for requests that would be refused
	RetryAfterPacing   Name = "comeback"        // refused callers are told times behind each other
	LimitEventGaps     Name = "spare_pauses"    // long prompts avoid servers whose answers they would hold up
	StartupWait        Name = "start_wait"      // requests wait for what a starting instance learns
	ConfirmLoans       Name = "ask_loans"       // a restarted instance asks all others for its loans
	OvertakeLargeWaits Name = "pass_large_wait" // small requests pass large ones that wait for tokens
)

// All returns every feature, ordered by name.
func All() []Name {
	return []Name{
		ConfirmLoans, RetryAfterPacing, LoadReports, RemoteFetch, Fetch, PreferredServers, EjectedFallback, SpillByStall, SpillByOccupancy,
		OvertakeLargeWaits, PoolLatencyFactor, Ejection, LimitEventGaps, StartupWait,
	}
}

// Known tells whether a feature of that name exists.
func Known(name Name) bool { return slices.Contains(All(), name) }

// Set says which features are on. The zero value has all of them on.
type Set struct{ off map[Name]bool }

// NewSet returns a set with the features off that the settings say are off.
func NewSet(settings map[Name]bool) Set {
	off := make(map[Name]bool)
	for name, on := range settings {
		if !on {
			off[name] = true
		}
	}
	return Set{off: off}
}

// On tells whether a feature is on.
func (s Set) On(name Name) bool { return !s.off[name] }

// Off returns the features that are off, ordered by name.
func (s Set) Off() []Name { return slices.Sorted(maps.Keys(s.off)) }

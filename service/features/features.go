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
	LeaveByRoom   Name = "leave_by_room"   // requests leave a region short of slots
	LeaveByPace   Name = "leave_by_pace"   // and one whose running answers are slow
	Fetch         Name = "fetch"           // cached parts are fetched from servers of the region
	FarFetch      Name = "far_fetch"       // and of other regions
	HashHomes     Name = "hash_homes"      // prompts that share parts prefer one server
	PoolPace      Name = "pool_pace"       // a pace of all servers beside each server's own
	Digests       Name = "digests"         // instances of a region tell each other their load
	SetAside      Name = "set_aside"       // servers that fail a part of their requests get none
	LastResort    Name = "last_resort"     // but for requests that would be refused
	Comeback      Name = "comeback"        // refused callers are told times behind each other
	SparePauses   Name = "spare_pauses"    // long prompts avoid servers whose answers they would hold up
	StartWait     Name = "start_wait"      // requests wait for what a starting instance learns
	AskLoans      Name = "ask_loans"       // a restarted instance asks all others for its loans
	PassLargeWait Name = "pass_large_wait" // small requests pass large ones that wait for tokens
)

// All returns every feature, ordered by name.
func All() []Name {
	return []Name{
		AskLoans, Comeback, Digests, FarFetch, Fetch, HashHomes, LastResort, LeaveByPace, LeaveByRoom,
		PassLargeWait, PoolPace, SetAside, SparePauses, StartWait,
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

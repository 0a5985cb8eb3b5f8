// Package backends holds the backend servers that register themselves: the state that
// each reports, and when it may be sent work. A table covers all regions.
package backends

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// ReturnGrace is how long a server whose entry disappeared while the store was
// unreachable stays in use after the store is reachable again. By the platform's contract
// a live server registers again within two seconds of that; a server whose entry is still
// missing then has ended.
const ReturnGrace = 2200 * time.Millisecond

// Server is the state that a backend server reports.
type Server struct {
	ID            string
	StartUnixMs   int64 // start of this incarnation, by the server's clock; 0 when not reported
	Seq           int64 // rises with each report of this incarnation; 0 when not reported
	Service       string
	Address       string
	Domain        string
	Region        string
	Version       string
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // how much longer it is cold, at the time of the report
	TimeLeft      time.Duration // until its removal; 0 when no notice was given
}

// Entry is a server with the state that the table adds to its report.
type Entry struct {
	Server
	Incarnation  uint64    // differs between incarnations of one id
	Leaving      bool      // it said in an answer that it is about to shut down
	RestUntil    time.Time // until when it wants no requests from this instance; zero when it did not say
	ColdUntil    time.Time
	RemovalTime  time.Time // zero when no notice was given
	missingSince time.Time // when its entry disappeared; zero while it exists
	missingUntil time.Time // a missing entry is not removed before
	heldUntil    time.Time // a removed entry that came back with a restored store is not used before
}

// Usable reports whether the server may be sent new work.
func (e *Entry) Usable(now time.Time) bool {
	return !e.Draining && !e.Leaving && (e.RemovalTime.IsZero() || now.Before(e.RemovalTime))
}

// Resting reports whether the server wants no requests from this instance for now.
func (e *Entry) Resting(now time.Time) bool { return now.Before(e.RestUntil) }

// Table is safe for concurrent use.
type Table struct {
	mu               sync.Mutex
	entries          map[string]*Entry
	notices          map[incarnationKey]Notice
	incarnations     uint64
	storeUnreachable bool
	storeBackAt      time.Time                    // when it was last reachable again
	removalsHeld     time.Time                    // until when removals that this instance knows may be due to an outage
	storeRestoredAt  time.Time                    // when it last came back from a copy
	removed          map[incarnationKey]time.Time // when an entry was removed
	evacuated        map[string]bool
	coldUntil        map[string]time.Time // by domain, after an evacuation ended
	version          uint64
	regionVersions   map[string]uint64 // version of the last change, by region
	changes          []change          // the latest ones, ordered by version
	forgotten        uint64            // version of the last change that changes no longer has
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: make(map[string]*Entry), notices: make(map[incarnationKey]Notice), removed: make(map[incarnationKey]time.Time), evacuated: make(map[string]bool),
		coldUntil: make(map[string]time.Time), regionVersions: make(map[string]uint64),
	}
}

// Version returns a number that rises with every change.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// RegionVersion returns a number that rises with every change of a region's servers. In a large
// fleet most changes concern one region, and InRegion copies all servers of a region.
func (t *Table) RegionVersion(region string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.regionVersions[region]
}

// recordChange counts a change of a server of a region. The caller holds the lock.
func (t *Table) recordChange(region, id string) {
	t.version++
	t.regionVersions[region] = t.version
	t.changes = append(t.changes, change{version: t.version, region: region, id: id})
	t.trimChanges()
}

// precedes reports whether this is an earlier report of the same incarnation.
func (s *Server) precedes(known *Server) bool {
	return s.StartUnixMs != 0 && s.key() == known.key() && s.Seq != 0 && s.Seq < known.Seq
}

// Put applies a server's entry. An earlier report than the known one, as a store that comes back
// from a copy has it, shows no more than that the entry exists.
func (t *Table) Put(s Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.entries[s.ID]
	if known && (s.precedes(&current.Server) || t.isEarlierIncarnation(&s, &current.Server, now)) {
		s = current.Server
		s.ColdRemaining = 0 // counted from when it was reported
	}
	if known && current.Region != s.Region {
		t.recordChange(current.Region, s.ID)
	}
	t.recordChange(s.Region, s.ID)
	if !known || current.StartUnixMs != s.StartUnixMs || current.Address != s.Address {
		t.incarnations++
		current = &Entry{Incarnation: t.incarnations}
	}
	next := *current
	next.Server, next.missingSince, next.missingUntil = s, time.Time{}, time.Time{}
	if s.ColdRemaining > 0 {
		next.ColdUntil = now.Add(s.ColdRemaining)
	}
	if s.TimeLeft > 0 && next.RemovalTime.IsZero() {
		next.RemovalTime = now.Add(s.TimeLeft)
	}
	if !known && t.isRestoredCopy(&s, now) {
		next.heldUntil = t.storeRestoredAt.Add(restoredEntryHold)
	}
	delete(t.removed, s.key())
	t.entries[s.ID] = &next
}

// Remove records that a server's entry has disappeared. While the store is unreachable,
// or was until just now, that is no proof that the server has ended, see ReturnGrace.
func (t *Table) Remove(id string, now time.Time) { t.RemoveAfter(id, 0, now) }

// RemoveAfter is Remove for an entry that may have expired in an outage of the store that this instance
// has not noticed. It keeps the server in use for a time.
func (t *Table) RemoveAfter(id string, hold time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.entries[id]
	if current == nil {
		return
	}
	t.recordChange(current.Region, id)
	hold = min(hold, ReturnGrace)
	if t.storeUnreachable || now.Sub(t.storeBackAt) < ReturnGrace || hold > 0 {
		next := *current
		next.missingSince, next.missingUntil = now, now.Add(hold)
		t.holdRemovals(next.missingUntil)
		t.entries[id] = &next
		return
	}
	t.removeEntry(current, now)
}

// removeEntry removes the entry of a server that has ended. The caller holds the lock.
func (t *Table) removeEntry(e *Entry, now time.Time) {
	delete(t.entries, e.ID)
	t.removed[e.key()] = now
}

// SetStoreUnreachable sets whether the store is unreachable.
func (t *Table) SetStoreUnreachable(unreachable bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeUnreachable && !unreachable {
		t.storeBackAt = now
		t.holdRemovals(now.Add(ReturnGrace))
	}
	t.storeUnreachable = unreachable
}

// holdRemovals extends the time in which removals may be due to an outage. The caller holds the lock.
func (t *Table) holdRemovals(until time.Time) {
	if until.After(t.removalsHeld) {
		t.removalsHeld = until
	}
}

// RemovalsHold returns for how long other instances have to keep removed servers in use, of whose
// entries they learn from this one.
func (t *Table) RemovalsHold(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.removalsHeld.Sub(now))
}

// Sweep removes servers whose entries are still missing after ReturnGrace, and expired notices.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweepNotices(now)
	t.sweepHeld(now)
	if t.storeUnreachable || now.Sub(t.storeBackAt) < ReturnGrace {
		return
	}
	for _, e := range t.entries {
		if !e.missingSince.IsZero() && !now.Before(e.missingUntil) {
			t.removeEntry(e, now)
			t.recordChange(e.Region, e.ID)
		}
	}
}

// RemoveReplaced removes an incarnation of a server because another server answers at its
// address: it has ended, and its address was assigned again.
func (t *Table) RemoveReplaced(id string, lifetime uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.entries[id]; current != nil && current.Incarnation == lifetime {
		delete(t.entries, id)
		t.recordChange(current.Region, id)
	}
}

// SetEvacuated sets the failure domains whose servers get no work. The servers of a domain
// that is no longer evacuated count as cold for coldPeriod: they may have lost their
// caches, and their entries report that late.
func (t *Table) SetEvacuated(domains []string, coldPeriod time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]bool, len(domains))
	for _, d := range domains {
		next[d] = true
	}
	for d := range t.evacuated {
		if !next[d] {
			t.coldUntil[d] = now.Add(coldPeriod)
		}
	}
	t.evacuated = next
	t.recordChangeOfAll()
}

// Evacuated returns the evacuated domains, ordered.
func (t *Table) Evacuated() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.evacuated))
	for d := range t.evacuated {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// InRegion returns the servers of a region that may be sent work, ordered by id.
func (t *Table) InRegion(region string, now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inRegion(region, now)
}

func (t *Table) inRegion(region string, now time.Time) []Entry {
	var out []Entry
	for _, e := range t.entries {
		if e.Region == region && t.acceptsWork(e, now) {
			out = append(out, t.current(e))
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// current returns an entry with what else is known of its server. The caller holds the lock.
func (t *Table) current(e *Entry) Entry {
	entry := *e
	entry.RestUntil = t.notices[e.key()].RestUntil
	if until := t.coldUntil[e.Domain]; until.After(entry.ColdUntil) {
		entry.ColdUntil = until
	}
	return entry
}

// acceptsWork reports whether a server may be sent work. The caller holds the lock.
func (t *Table) acceptsWork(e *Entry, now time.Time) bool {
	return !t.evacuated[e.Domain] && e.Usable(now) && !now.Before(e.heldUntil) && !t.notices[e.key()].Leaving
}

// AddressAcceptsWork reports whether the server at an address is known and may be sent work.
func (t *Table) AddressAcceptsWork(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.Address == address {
			return t.acceptsWork(e, now)
		}
	}
	return false
}

// Builds returns one server of each service and version.
func (t *Table) Builds() []Server {
	type build struct{ service, version string }
	t.mu.Lock()
	defer t.mu.Unlock()
	seen := make(map[build]bool)
	var out []Server
	for _, e := range t.entries {
		if b := (build{e.Service, e.Version}); !seen[b] {
			seen[b] = true
			out = append(out, e.Server)
		}
	}
	return out
}

// HasVersion reports whether a region has a server of a service and version that may be sent work.
func (t *Table) HasVersion(service, region, version string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.Service == service && e.Region == region && e.Version == version && t.acceptsWork(e, now) {
			return true
		}
	}
	return false
}

// Count returns how many servers of a service a region has.
func (t *Table) Count(service, region string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if e.Service == service && e.Region == region && !e.Draining && !t.notices[e.key()].Leaving && !t.evacuated[e.Domain] {
			n++
		}
	}
	return n
}

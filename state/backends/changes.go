package backends

import (
	"cmp"
	"slices"
	"time"
)

// change is a change of one server.
type change struct {
	version    uint64
	region, id string
}

// Changes are the changes of a region's servers after a version.
type Changes struct {
	Version uint64  // up to which the changes are known
	Whole   bool    // Entries are all servers of the region that may be sent work
	Entries []Entry // servers that may be sent work, ordered by id
	Gone    []string
}

// ChangesSince returns what has changed of a region's servers after a version; 0 for all of them. Its cost
// is that of the changes.
func (t *Table) ChangesSince(region string, version uint64, now time.Time) Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := Changes{Version: t.regionVersions[region]}
	if version == 0 || version < t.forgotten {
		out.Whole, out.Entries = true, t.inRegion(region, now)
		return out
	}
	for _, id := range t.changedAfter(region, version) {
		if e := t.entries[id]; e != nil && e.Region == region && t.acceptsWork(e, now) {
			out.Entries = append(out.Entries, t.current(e))
		} else {
			out.Gone = append(out.Gone, id)
		}
	}
	return out
}

// changedAfter returns the ids of a region's servers that have changed after a version, ordered. The
// caller holds the lock.
func (t *Table) changedAfter(region string, version uint64) []string {
	first, _ := slices.BinarySearchFunc(t.changes, version+1, func(c change, v uint64) int { return cmp.Compare(c.version, v) })
	var ids []string
	for _, c := range t.changes[first:] {
		if c.region == region {
			ids = append(ids, c.id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// minChanges is the number of changes that are kept in any case.
const minChanges = 1024

// trimChanges drops the older half of the changes when there are more than half as many as servers: for
// whoever is that far behind it costs less to take all servers anew. The caller holds the lock.
func (t *Table) trimChanges() {
	if len(t.changes) <= max(len(t.entries)/2, minChanges) {
		return
	}
	half := len(t.changes) / 2
	t.forgotten = t.changes[half-1].version
	t.changes = slices.Delete(t.changes, 0, half)
}

// recordChangeOfAll counts a change of all servers. The caller holds the lock.
func (t *Table) recordChangeOfAll() {
	t.version++
	for _, e := range t.entries {
		t.regionVersions[e.Region] = t.version
	}
	t.changes, t.forgotten = nil, t.version
}

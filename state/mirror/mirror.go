// Package mirror keeps a copy of the store's items under one prefix. An instance updates
// it by watching the store or, while the store refuses that, by requesting changes from a
// peer.
//
// An older revision of an item, from a stale read or a peer that lags, never replaces a
// newer one.
package mirror

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"sync"
)

// Item is a value in the store, or a tombstone for it.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Delta holds the changes after one revision up to another, or a full snapshot.
type Delta struct {
	After    int64 // 0 for a full snapshot
	Revision int64
	Items    []Item
	Full     bool // Items is a full snapshot: items that it lacks were removed
}

// Mirror is safe for concurrent use.
type Mirror struct {
	mu                 sync.Mutex
	items              map[string]Item
	changes            []change // ordered by revision unless unordered; those of replaced items are skipped
	unordered          bool
	bytes              int   // of the values
	revision           int64 // every change up to it is known
	removalsKnownAfter int64 // every removal after it is known
}

// change refers to an item as of a revision. The item may have been replaced since.
type change struct {
	revision int64
	key      string
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Revision returns the revision of the store up to which every change is known; 0 when
// nothing is known.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Apply applies a delta and returns the items that changed. A delta that starts above the
// known revision would leave a gap and changes nothing.
func (m *Mirror) Apply(d Delta) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Full {
		return m.applyFull(d)
	}
	if d.After > m.revision || m.revision == 0 {
		return nil
	}
	var changed []Item
	for _, item := range d.Items {
		// Every change up to m.revision is known. An older item that is not in the mirror
		// was removed, and a late response must not restore it.
		if item.Revision > m.revision && m.put(item) {
			changed = append(changed, item)
		}
	}
	m.revision = max(m.revision, d.Revision)
	return changed
}

// put stores an item unless a newer one is known, and reports whether it differs from the known one.
func (m *Mirror) put(item Item) bool {
	known, ok := m.items[item.Key]
	if ok && known.Revision >= item.Revision {
		return false
	}
	m.store(item)
	return !ok || known.Removed != item.Removed || !bytes.Equal(known.Value, item.Value)
}

// store replaces an item and records the change. The caller holds the lock.
func (m *Mirror) store(item Item) {
	known := m.items[item.Key]
	m.bytes += len(item.Value) - len(known.Value)
	m.items[item.Key] = item
	if known.Revision == item.Revision {
		return // recorded already
	}
	if n := len(m.changes); n > 0 && m.changes[n-1].revision > item.Revision {
		m.unordered = true
	}
	m.changes = append(m.changes, change{revision: item.Revision, key: item.Key})
}

// current reports whether a change has led to the item as it is. The caller holds the lock.
func (m *Mirror) current(c change) bool { return m.items[c.key].Revision == c.revision }

// maxReplacedFactor times the items is how many changes are kept, most of them of replaced items.
const maxReplacedFactor = 2

// orderChanges restores the order of the changes, and drops those of replaced items when there are many.
// The caller holds the lock.
func (m *Mirror) orderChanges() {
	if len(m.changes) > maxReplacedFactor*len(m.items) {
		m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return !m.current(c) })
	}
	if m.unordered {
		slices.SortFunc(m.changes, func(a, b change) int {
			return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.key, b.key))
		})
		m.unordered = false
	}
}

// applyFull applies a full snapshot. It is read in pages and is not consistent, so an item
// that it lacks is removed only if the item's revision is not above the snapshot's.
func (m *Mirror) applyFull(d Delta) []Item {
	if d.Revision < m.revision {
		return nil
	}
	listed := make(map[string]bool, len(d.Items))
	var changed []Item
	for _, item := range d.Items {
		listed[item.Key] = true
		if m.put(item) {
			changed = append(changed, item)
		}
	}
	for key, known := range m.items {
		if listed[key] || known.Removed || known.Revision > d.Revision {
			continue
		}
		gone := Item{Key: key, Revision: max(known.Revision, d.Revision), Removed: true}
		m.store(gone)
		changed = append(changed, gone)
	}
	m.removalsKnownAfter = d.Revision // the mirror never saw items that existed only between two snapshots
	m.revision = d.Revision
	slices.SortFunc(changed, byRevision)
	return changed
}

func byRevision(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}

// Since returns the changes after a revision, or a full snapshot when the mirror does not
// know all removals since then.
func (m *Mirror) Since(revision int64) Delta {
	d, _ := m.SinceWithin(revision, math.MaxInt)
	return d
}

// SinceWithin is Since for at most a number of bytes of values. When there are more, complete is false and
// the delta has no items.
func (m *Mirror) SinceWithin(revision int64, maxBytes int) (d Delta, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d = Delta{After: revision, Revision: m.revision, Full: revision < m.removalsKnownAfter || revision == 0}
	if d.Full {
		if m.bytes > maxBytes {
			return d, false
		}
		revision = math.MinInt64
	}
	m.orderChanges()
	first, _ := slices.BinarySearchFunc(m.changes, revision, func(c change, r int64) int {
		if c.revision <= r {
			return -1
		}
		return 1
	})
	size := 0
	for _, c := range m.changes[first:] {
		item := m.items[c.key]
		if item.Revision != c.revision || d.Full && item.Removed {
			continue
		}
		if size += len(item.Value); size > maxBytes {
			d.Items = nil
			return d, false
		}
		d.Items = append(d.Items, item)
	}
	return d, true
}

// Items returns the existing items, ordered by key.
func (m *Mirror) Items() []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Item
	for _, item := range m.items {
		if !item.Removed {
			out = append(out, item)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Package mirror keeps a copy of the store's items under one prefix, which an
// instance follows by watching the store or, while the store turns it away, by
// asking a peer for what it lacks.
//
// Items only move forward: an older revision of an item, from a stale read or a
// peer that lags, never replaces a newer one.
package mirror

import (
	"cmp"
	"slices"
	"sync"
)

// Item is a value in the store, or the mark that it was removed.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
}

// Delta is what changed after one revision up to another.
type Delta struct {
	After    int64 // 0 for everything
	Revision int64
	Items    []Item
	Full     bool // Items are all that exist: what is missing was removed
}

// Mirror is safe for concurrent use.
type Mirror struct {
	mu       sync.Mutex
	items    map[string]Item
	revision int64 // every change up to it is known
	base     int64 // removals after it are known
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{items: make(map[string]Item)} }

// Revision returns up to which revision of the store every change is known; 0
// when nothing is.
func (m *Mirror) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Apply takes in a delta and returns the items that changed. A delta that begins
// after what is known has a gap and changes nothing.
func (m *Mirror) Apply(d Delta) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Full {
		return m.replace(d)
	}
	if d.After > m.revision || m.revision == 0 {
		return nil
	}
	var changed []Item
	for _, item := range d.Items {
		// Up to m.revision everything is known: what is not here was removed, and a late
		// answer would bring it back.
		if item.Revision > m.revision && m.put(item) {
			changed = append(changed, item)
		}
	}
	m.revision = max(m.revision, d.Revision)
	return changed
}

func (m *Mirror) put(item Item) bool {
	if known, ok := m.items[item.Key]; ok && known.Revision >= item.Revision {
		return false
	}
	m.items[item.Key] = item
	return true
}

// replace takes in a list of everything. Pages of a list are no snapshot, so an
// item that the list lacks is gone only when its revision is below the list's.
func (m *Mirror) replace(d Delta) []Item {
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
		m.items[key] = gone
		changed = append(changed, gone)
	}
	m.base = d.Revision // what came and went since the last list was never seen here
	m.revision = d.Revision
	slices.SortFunc(changed, byRevision)
	return changed
}

func byRevision(a, b Item) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}

// Since returns what changed after a revision, or everything when removals before
// it are not known here.
func (m *Mirror) Since(revision int64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := Delta{After: revision, Revision: m.revision, Full: revision < m.base || revision == 0}
	for _, item := range m.items {
		if d.Full && !item.Removed || !d.Full && item.Revision > revision {
			d.Items = append(d.Items, item)
		}
	}
	slices.SortFunc(d.Items, byRevision)
	return d
}

// Items returns what exists, ordered by key.
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

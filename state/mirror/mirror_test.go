package mirror

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// history holds every write to a store, ordered by revision.
type history []Item

// at returns the items that exist at a revision.
func (h history) at(revision int64) map[string]Item {
	state := make(map[string]Item)
	for _, item := range h {
		if item.Revision > revision {
			break
		}
		state[item.Key] = item
		if item.Removed {
			delete(state, item.Key)
		}
	}
	return state
}

func (h history) list(revision int64) Delta {
	d := Delta{Revision: revision, Full: true}
	for _, item := range h.at(revision) {
		d.Items = append(d.Items, item)
	}
	return d
}

func (h history) since(after, revision int64) Delta {
	d := Delta{After: after, Revision: revision}
	for _, item := range h {
		if item.Revision > after && item.Revision <= revision {
			d.Items = append(d.Items, item)
		}
	}
	return d
}

func writes(t *rapid.T) history {
	var h history
	for revision := range rapid.IntRange(1, 30).Draw(t, "writes") {
		h = append(h, Item{
			Key: fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), Revision: int64(revision + 1),
			Value: []byte{byte(revision)}, Removed: rapid.IntRange(0, 3).Draw(t, "kind") == 0,
		})
	}
	return h
}

// Guards against late, repeated or relayed responses that restore replaced or removed items.
func TestMirrorsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := writes(t)
		mirrors := []*Mirror{New(), New()}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			m := mirrors[rapid.IntRange(0, 1).Draw(t, "mirror")]
			before := m.Revision()
			revision := int64(rapid.IntRange(1, len(h)).Draw(t, "revision"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				m.Apply(h.list(revision))
			case 1:
				m.Apply(h.since(int64(rapid.IntRange(0, int(revision)).Draw(t, "after")), revision))
			case 2:
				other := mirrors[rapid.IntRange(0, 1).Draw(t, "other")]
				m.Apply(other.Since(m.Revision()))
			}
			if m.Revision() < before {
				t.Fatalf("the revision fell from %d to %d", before, m.Revision())
			}
			check(t, m, h)
		}
	})
}

func check(t *rapid.T, m *Mirror, h history) {
	want := h.at(m.Revision())
	for _, item := range m.Items() {
		if w, ok := want[item.Key]; !ok || w.Revision != item.Revision || !slices.Equal(w.Value, item.Value) {
			t.Fatalf("at revision %d the mirror has %+v, the store had %+v", m.Revision(), item, w)
		}
		delete(want, item.Key)
	}
	if len(want) > 0 {
		t.Fatalf("at revision %d the mirror lacks %+v", m.Revision(), want)
	}
}

// Guards against items that are applied once more although only their revisions differ: a server's
// entry would start its cold period again.
func TestUnchangedItemsAreNotReported(t *testing.T) {
	m := New()
	m.Apply(Delta{Revision: 5, Full: true, Items: []Item{{Key: "same", Value: []byte("a"), Revision: 2}, {Key: "other", Value: []byte("a"), Revision: 3}}})
	changed := m.Apply(Delta{Revision: 50, Full: true, Items: []Item{{Key: "same", Value: []byte("a"), Revision: 42}, {Key: "other", Value: []byte("b"), Revision: 43}}})
	if len(changed) != 1 || changed[0].Key != "other" {
		t.Errorf("changed: %+v", changed)
	}
	if d := m.Since(5); len(d.Items) != 2 {
		t.Errorf("the new revisions are not kept: %+v", d)
	}
	m.Apply(Delta{After: 50, Revision: 51, Items: []Item{{Key: "same", Revision: 51, Removed: true}}})
	if changed := m.Apply(Delta{After: 51, Revision: 52, Items: []Item{{Key: "same", Value: []byte("a"), Revision: 52}}}); len(changed) != 1 {
		t.Errorf("an item that comes back unchanged: %+v", changed)
	}
}

// Guards against an answer to a peer that costs as much as there are items, although the peer lacks a
// few or more than it can be sent.
func TestCostOfChangesIsThatOfTheChanges(t *testing.T) {
	allocated := func(items int) (few, tooMany float64) {
		m := New()
		d := Delta{Full: true, Revision: int64(items)}
		for i := range items {
			d.Items = append(d.Items, Item{Key: fmt.Sprint("k", i), Value: make([]byte, 200), Revision: int64(i + 1)})
		}
		m.Apply(d)
		last := Delta{After: d.Revision, Revision: d.Revision + 3}
		for i := range 3 {
			last.Items = append(last.Items, Item{Key: fmt.Sprint("k", i), Value: make([]byte, 210), Revision: d.Revision + int64(i) + 1})
		}
		m.Apply(last)
		few = testing.AllocsPerRun(10, func() {
			if d, complete := m.SinceWithin(d.Revision, 1000); !complete || len(d.Items) != 3 {
				t.Errorf("%d items, complete %t", len(d.Items), complete)
			}
		})
		tooMany = testing.AllocsPerRun(10, func() {
			if d, complete := m.SinceWithin(0, 1000); complete || len(d.Items) != 0 {
				t.Errorf("%d items, complete %t", len(d.Items), complete)
			}
		})
		return few, tooMany
	}
	few, tooMany := allocated(100)
	if f, m := allocated(10_000); f > few || m > tooMany {
		t.Errorf("%.0f and %.0f allocations at 10,000 items, %.0f and %.0f at 100", f, m, few, tooMany)
	}
}

// Guards against changes that are kept for ever, and against a replaced item that is passed on.
func TestReplacedChangesAreDropped(t *testing.T) {
	m := New()
	m.Apply(Delta{Full: true, Revision: 1, Items: []Item{{Key: "a", Revision: 1}}})
	for revision := int64(2); revision <= 1000; revision++ {
		m.Apply(Delta{After: revision - 1, Revision: revision, Items: []Item{{Key: "a", Value: []byte{1}, Revision: revision}}})
		if d := m.Since(revision / 2); len(d.Items) != 1 || d.Items[0].Revision != revision {
			t.Fatalf("since %d: %+v", revision/2, d.Items)
		}
	}
	if len(m.changes) > 2*maxReplacedFactor {
		t.Errorf("%d changes are kept of one item", len(m.changes))
	}
}

package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/basilroute/basilroute/state/backends"
)

func entryOf(id string, incarnation uint64) backends.Entry {
	return backends.Entry{Server: backends.Server{ID: id, Address: "a-" + id, Slots: 8}, Incarnation: incarnation}
}

// Guards against a server that is missed, kept or loses its state when a pool takes changes instead of
// the whole list.
func TestChangesGiveTheSamePoolAsTheWholeList(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	changed, whole := New(), New()
	known := make(map[string]backends.Entry)
	for range 500 {
		var entries []backends.Entry
		var gone []string
		for range 1 + rng.IntN(4) {
			id := fmt.Sprintf("s%02d", rng.IntN(40))
			if slices.ContainsFunc(entries, func(e backends.Entry) bool { return e.ID == id }) || slices.Contains(gone, id) {
				continue
			}
			if rng.IntN(3) == 0 {
				gone = append(gone, id)
				delete(known, id)
				continue
			}
			known[id] = entryOf(id, known[id].Incarnation+uint64(rng.IntN(2)))
			entries = append(entries, known[id])
		}
		changed.Change(entries, gone)
		var all []backends.Entry
		for _, e := range known {
			all = append(all, e)
		}
		slices.SortFunc(all, func(a, b backends.Entry) int { return compareIDs(a.ID, b.ID) })
		whole.Update(whole.settings, all)
		comparePools(t, changed, whole)
	}
}

func compareIDs(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

func comparePools(t *testing.T, changed, whole *Pool) {
	t.Helper()
	if len(changed.servers) != len(whole.servers) || len(changed.order) != len(whole.order) || len(changed.byHash) != len(whole.byHash) {
		t.Fatalf("%d servers, %d in order, %d by hash; want %d", len(changed.servers), len(changed.order), len(changed.byHash), len(whole.servers))
	}
	for i, s := range changed.servers {
		if s.Entry != whole.servers[i].Entry || changed.order[s.orderAt] != s || changed.byHash[uint32(s.hash)] != s {
			t.Fatalf("server %d: %+v, want %+v", i, s.Entry, whole.servers[i].Entry)
		}
	}
}

// Guards against a change of one server that costs as much as there are servers.
func TestCostOfAChangeDoesNotGrowWithTheServers(t *testing.T) {
	allocated := func(servers int) float64 {
		p := New()
		var all []backends.Entry
		for i := range servers {
			all = append(all, entryOf(fmt.Sprintf("s%05d", i), 1))
		}
		p.Update(p.settings, all)
		incarnation := uint64(1)
		return testing.AllocsPerRun(100, func() {
			incarnation++
			p.Change([]backends.Entry{entryOf("s00042", incarnation)}, nil)
		})
	}
	if few, many := allocated(100), allocated(10_000); many > few {
		t.Errorf("%.0f allocations at 10,000 servers, %.0f at 100", many, few)
	}
}

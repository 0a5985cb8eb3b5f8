package httproute

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
)

// fakeRemotes is a set of other regions, each with one instance.
type fakeRemotes []Remote

func (fakeRemotes) MarkUnreachable(string)                {}
func (r fakeRemotes) Remotes(string) []Remote             { return r }
func (r fakeRemotes) InstanceCounts() (fleet, region int) { return len(r) + 1, 1 }

// A prompt may be processed, cached and stored only in its home regions. The busiest
// region is not one of them. Guards against fetching shared segments from its server and,
// if the local region is not a home either, against naming a local server as the fetch
// source.
func TestSharedPartsAreFetchedFromHomesOnly(t *testing.T) {
	f, _ := newTestFront(t)
	f.Remotes = fakeRemotes{{Region: "away", Servers: 2, Running: 90}, {Region: "home", Servers: 2, Running: 10}}
	pool := f.Local.Pool("svc")
	server := func(id string) []backends.Entry {
		return []backends.Entry{{Server: backends.Server{ID: id, Address: id + ":1", Slots: 8}, Incarnation: 1}}
	}
	pool.Update(placement.Settings{Engine: true, Slots: 8, CacheTokens: 100_000, FetchSecondsPerToken: 1e-6}, server("own"))
	pool.UpdateRemote("away", server("away"))
	pool.UpdateRemote("home", server("home"))
	now := time.Now()
	r := &request{route: &routes.Route{}, service: "svc"}
	r.work = placement.Request{
		Segments: []placement.PromptSegment{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 100}}, Tokens: 5100, Arrived: now, Deadline: now.Add(time.Second),
	}
	if pool.Place(&r.work, now).Placement == nil {
		t.Fatal("not placed")
	}
	for _, c := range []struct {
		homes  []string
		source string
		holder string
	}{
		{nil, "away:1", "own:1"},
		{[]string{"r", "home"}, "home:1", "own:1"},
		{[]string{"home"}, "home:1", ""},
	} {
		r.route.HomeRegions = c.homes
		homes, anywhere := routes.AllowedRegions(r.route, nil)
		if got := f.remoteFetchSource(r, pool, homes, anywhere).Address; got != c.source {
			t.Errorf("homes %v: fetches from %q, want %q", c.homes, got, c.source)
		}
		if got := f.localFetchSource(r, now).Address; got != c.holder {
			t.Errorf("homes %v: names %q as the holder, want %q", c.homes, got, c.holder)
		}
	}
}

// The local region's slots are nearly full and another region is idle: the request spills,
// but it stays when an operator has switched spilling by occupancy off.
func TestSpillByOccupancyCanBeSwitchedOff(t *testing.T) {
	f, _ := newTestFront(t)
	f.Remotes = fakeRemotes{{Region: "idle", Servers: 1, FreeSlots: 100}}
	pool := f.Local.Pool("svc")
	pool.Update(placement.Settings{Engine: true, Slots: 8}, []backends.Entry{{Server: backends.Server{ID: "own", Slots: 8}, Incarnation: 1}})
	now := time.Now()
	r := &request{route: &routes.Route{}, service: "svc"}
	r.work = placement.Request{Tokens: 10, Arrived: now, Deadline: now.Add(time.Minute)}
	for range 8 {
		if pool.Place(&r.work, now).Placement == nil {
			t.Fatal("not placed")
		}
	}
	if f.spillTarget(r, pool, nil, true, now) == nil {
		t.Error("no spill from a full region to an idle one")
	}
	f.Features = features.NewSet(map[features.Name]bool{features.SpillByOccupancy: false})
	if f.spillTarget(r, pool, nil, true, now) != nil {
		t.Error("spills although spilling by occupancy is off")
	}
}

package httproute

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
)

// regions are other regions, each with one instance.
type regions []Remote

func (regions) MarkUnreachable(string)                {}
func (r regions) Remotes(string) []Remote             { return r }
func (r regions) InstanceCounts() (fleet, region int) { return len(r) + 1, 1 }

// A prompt may be read, cached and stored in its homes only. The busiest region is none of
// them; its server would be asked for the prompt's shared parts and, where the own region is
// none, the own servers' memory would go to another one.
func TestSharedPartsAreFetchedFromHomesOnly(t *testing.T) {
	f, _ := gatewayOver(t)
	f.Remotes = regions{{Region: "away", Servers: 2, Running: 90}, {Region: "home", Servers: 2, Running: 10}}
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
		if got := f.farSource(r, pool, homes, anywhere).Address; got != c.source {
			t.Errorf("homes %v: fetches from %q, want %q", c.homes, got, c.source)
		}
		if got := f.holder(r, now).Address; got != c.holder {
			t.Errorf("homes %v: names %q as the holder, want %q", c.homes, got, c.holder)
		}
	}
}

// A region's slots are nearly full beside an idle region: the request leaves, and it stays
// when an operator has switched that off.
func TestLeavingByRoomIsSwitchedOff(t *testing.T) {
	f, _ := gatewayOver(t)
	f.Remotes = regions{{Region: "idle", Servers: 1, FreeSlots: 100}}
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
	if f.early(r, pool, nil, true, now) == nil {
		t.Error("stays in a full region beside an idle one")
	}
	f.Features = features.NewSet(map[features.Name]bool{features.SpillByOccupancy: false})
	if f.early(r, pool, nil, true, now) != nil {
		t.Error("leaves although leaving by room is off")
	}
}

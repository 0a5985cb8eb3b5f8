package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/coordination/prefix"
	"github.com/basilroute/basilroute/protocol/tokens"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

const model = "notice-writer"

var start = time.Unix(1_000_000, 0)

// newTable lists n servers in a failure domain that started long ago and report their load.
func newTable(n int) *servers.Table {
	table := servers.New()
	var list []servers.Identity
	for i := range n {
		list = append(list, servers.Identity{
			ID: fmt.Sprintf("s%03d", i), Service: model, Version: "v1", Region: "suva-a", Domain: "suva-a-1",
		})
	}
	table.Replace(list, start.Add(-time.Hour))
	for _, s := range list {
		report(table, s.ID, servers.Load{Running: 4, DecodeRate: 400, PrefillRate: 20000})
	}
	return table
}

func report(table *servers.Table, id string, load servers.Load) {
	load.At, load.BootID = start, "boot"
	table.Report(model, id, load)
}

func request() *Request {
	return &Request{Service: &service.Service{Name: model, Spill: service.Spill{Gain: 250 * time.Millisecond}}, PromptTokens: 4000}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// countChoices counts which servers 1000 choices return.
func countChoices(r *Request, table *servers.Table, now time.Time) map[string]int {
	list, random, counts := table.Entries(model), rng(), make(map[string]int)
	for range 1000 {
		if i := ChooseServer(r, list, now, random); i >= 0 {
			counts[list[i].View().ID]++
		}
	}
	return counts
}

// A caller's long prompt goes where most of it is cached, and elsewhere once
// that server's queue costs more than computing the prompt again.
func TestCachedPromptAgainstQueue(t *testing.T) {
	table := newTable(6)
	r := request()
	index := prefix.New("suva-a")
	blocks := tokens.AppendBlocks(nil, string(make([]byte, 4000*4)))
	index.RecordDispatch(table.Entry(model, "s002").Slot(), "", blocks)
	r.CachedBlocks = &prefix.Matches{}
	index.Match(blocks, "", r.CachedBlocks)
	if got := countChoices(r, table, start)["s002"]; got != 1000 {
		t.Errorf("the server with the cached prompt was chosen %d of 1000 times", got)
	}
	report(table, "s002", servers.Load{Running: 4, DecodeRate: 400, PrefillRate: 20000, WaitingTokens: 30000})
	if got := countChoices(r, table, start)["s002"]; got != 0 {
		t.Errorf("the server with 1.5 s of prompts waiting was chosen %d times", got)
	}
	if got := countChoices(r, table, start.Add(time.Minute))["s002"]; got != 1000 {
		t.Errorf("a report of a minute ago still keeps requests away: chosen %d times", got)
	}
}

// A server that fails its requests is ejected although its polls succeed; when
// all fail, at most half of them are ejected.
func TestFailingServersAreEjected(t *testing.T) {
	table := newTable(6)
	now := start
	for _, id := range []string{"s000", "s001", "s002", "s003", "s004"} {
		for range consecutiveErrorLimit {
			RecordFailure(table, table.Entry(model, id), now)
		}
	}
	counts := countChoices(request(), table, now)
	for _, id := range []string{"s000", "s001", "s002"} {
		if counts[id] > 0 {
			t.Errorf("%s fails every request and was chosen %d times", id, counts[id])
		}
	}
	if counts["s003"] == 0 || counts["s005"] == 0 {
		t.Errorf("more than half are ejected: %v", counts)
	}
	if later := countChoices(request(), table, now.Add(baseEjection)); later["s000"] == 0 {
		t.Error("a server is not used again after its ejection")
	}
}

// Leaving, full and just started servers, and those of a version that is not allowed,
// get no requests or fewer.
func TestServersThatMayNotServe(t *testing.T) {
	table := newTable(4)
	report(table, "s000", servers.Load{Leaving: true})
	table.Entry(model, "s001").SetLimit(0, 0)
	table.Replace([]servers.Identity{
		{ID: "s000", Service: model, Version: "v1", Region: "suva-a", Domain: "suva-a-1"},
		{ID: "s001", Service: model, Version: "v1", Region: "suva-a", Domain: "suva-a-1"},
		{ID: "s002", Service: model, Version: "v2", Region: "suva-a", Domain: "suva-a-1"},
		{ID: "s003", Service: model, Version: "v1", Region: "suva-a", Domain: "suva-a-1"},
	}, start)
	r := request()
	r.Service.Versions = []string{"v1"}
	if counts := countChoices(r, table, start); counts["s003"] != 1000 {
		t.Errorf("chosen: %v", counts)
	}
}

func remoteDomain(peer string, wait time.Duration, acceptsRemote bool) Domain {
	return Domain{
		Name: "labasa-a-1", Region: "labasa-a", PeerAddress: "192.0.2.1:1", PeerID: peer, ReportSeq: 1,
		Servers: 3, LinkDelay: 80 * time.Millisecond, Interactive: Queue{AcceptsRemote: acceptsRemote, FreeSlots: 100, ExpectedWait: wait},
	}
}

func localDomain(wait time.Duration) *Domain {
	return &Domain{Name: "suva-a-1", Region: "suva-a", Servers: 3, Interactive: Queue{AcceptsRemote: true, ExpectedWait: wait}}
}

// Requests leave the region when the gain exceeds the setting, and continue to do so until it
// falls below half of it. They do not leave unless the remote domain reports that it accepts
// remote requests, nor in a burst that exceeds the free slots it reported.
func TestSpill(t *testing.T) {
	router := NewRouter("suva-a", "suva-a-1")
	r := request()
	spills := func(wait time.Duration, d Domain) bool {
		return router.ChooseDomain(r, localDomain(wait), []Domain{d}).Region == "labasa-a"
	}
	for _, step := range []struct {
		wait    time.Duration
		accepts bool
		want    bool
	}{
		{400 * time.Millisecond, true, false}, // gain 240 ms
		{420 * time.Millisecond, true, true},  // gain 260 ms
		{300 * time.Millisecond, true, true},  // gain 140 ms: continues to spill
		{280 * time.Millisecond, true, false}, // gain 120 ms
		{300 * time.Millisecond, true, false}, // 140 ms is not enough to begin spilling
		{5 * time.Second, false, false},
	} {
		if got := spills(step.wait, remoteDomain("p", 0, step.accepts)); got != step.want {
			t.Errorf("local wait %s, remote accepts %t: spilled %t", step.wait, step.accepts, got)
		}
	}
	sent := 0
	burst := remoteDomain("q", 0, true)
	burst.ReportSeq, burst.Interactive.FreeSlots = 2, 40
	for range 100 {
		if spills(5*time.Second, burst) {
			sent++
		}
	}
	if sent != 40/freeSlotsDivisor {
		t.Errorf("%d of a burst were sent on one report of 40 free slots", sent)
	}
}

// A region lost its servers. Its callers are served by another region that has slots
// but has not reported that it accepts remote requests. When the local region has servers,
// even full ones, its requests stay.
func TestRegionWithoutServersFallsBack(t *testing.T) {
	router := NewRouter("suva-a", "suva-a-1")
	r := request()
	others := []Domain{remoteDomain("p", 2*time.Second, false), remoteDomain("q", time.Second, false)}
	withoutServers := localDomain(0)
	withoutServers.Servers = 0
	if d := router.ChooseDomain(r, withoutServers, others); d == nil || d.PeerID != "q" {
		t.Errorf("a request of a region without servers went to %+v", d)
	}
	r.Exclude = map[string]bool{"suva-a-1": true}
	if d := router.ChooseDomain(r, localDomain(time.Second), others); d != nil {
		t.Errorf("a request that its own region's queue refused went to %+v", d)
	}
	r.Hop = MaxHops
	if d := router.ChooseDomain(r, withoutServers, others); d != nil {
		t.Errorf("a forwarded request went to %+v", d)
	}
}

// Several accounts use several instances of a remote domain, each account one of them.
func TestAccountsSpreadOverPeers(t *testing.T) {
	router := NewRouter("suva-a", "suva-a-1")
	var others []Domain
	for i := range 4 {
		d := remoteDomain(fmt.Sprint("p", i), 0, true)
		d.PeerHash, d.Interactive.FreeSlots = uint64(i+1)*0x9e3779b97f4a7c15, 1<<20
		others = append(others, d)
	}
	used := make(map[string]int)
	for account := range 200 {
		r := request()
		r.Account = uint64(account)
		first := router.ChooseDomain(r, localDomain(5*time.Second), others).PeerID
		if again := router.ChooseDomain(r, localDomain(5*time.Second), others).PeerID; again != first {
			t.Fatalf("account %d went to %s and %s", account, first, again)
		}
		used[first]++
	}
	for peer, n := range used {
		if n < 25 || n > 80 {
			t.Errorf("%s got %d of 200 accounts", peer, n)
		}
	}
}

// Whatever the loads, free slots and refusals: a request with a home region goes to
// no other region, a forwarded one to no other domain, and a service stays where
// its document allows it to run. This also holds for suspected requests.
func TestNothingPassesTheFilter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := []string{"suva-a", "labasa-a", "lakeba-a"}
		region := func(label string) string { return rapid.SampledFrom(regions).Draw(t, label) }
		r := request()
		r.HomeRegion = rapid.SampledFrom(append([]string{""}, regions...)).Draw(t, "home")
		r.Hop = rapid.IntRange(0, MaxHops).Draw(t, "hop")
		r.Service.Regions = rapid.SliceOfN(rapid.SampledFrom(regions), 0, 2).Draw(t, "regions")
		r.Service.Spill.Disabled = rapid.Bool().Draw(t, "disabled")
		local := Domain{Name: "own", Region: region("own"), Servers: rapid.IntRange(0, 1).Draw(t, "servers"), Interactive: Queue{AcceptsRemote: true,
			ExpectedWait: time.Duration(rapid.IntRange(0, 9000).Draw(t, "wait")) * time.Millisecond}}
		var others []Domain
		for i := range rapid.IntRange(0, 6).Draw(t, "others") {
			at := region("region")
			others = append(others, Domain{Name: at + "-1", Region: at, PeerID: fmt.Sprint(i), PeerAddress: "x",
				Servers: 1, Interactive: Queue{AcceptsRemote: rapid.Bool().Draw(t, "room"), FreeSlots: 8}})
		}
		router := NewRouter(local.Region, local.Name)
		for _, d := range []*Domain{router.ChooseDomain(r, &local, others), Designate(r, 7, &local, others)} {
			if d == nil {
				continue
			}
			if d.Region != local.Region && r.Service.Spill.Disabled {
				t.Fatalf("spilled although the service's document forbids it")
			}
			if r.HomeRegion != "" && d.Region != r.HomeRegion {
				t.Fatalf("home region %s, sent to %s", r.HomeRegion, d.Region)
			}
			if !r.Service.AllowsRegion(d.Region) {
				t.Fatalf("the service may not run in %s", d.Region)
			}
			if r.Hop >= MaxHops && d.Name != local.Name {
				t.Fatalf("forwarded twice, to %s", d.Name)
			}
		}
	})
}

// BenchmarkSizeChooseServer measures the choice by the number of servers, with a
// prompt of which some is cached.
func BenchmarkSizeChooseServer(b *testing.B) {
	for _, n := range []int{15, 30, 60, 120, 240} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			table := newTable(n)
			r := request()
			index := prefix.New("suva-a")
			blocks := tokens.AppendBlocks(nil, string(make([]byte, 4000*4)))
			for i := 0; i < n; i += 7 {
				index.RecordDispatch(table.Entry(model, fmt.Sprintf("s%03d", i)).Slot(), "", blocks[:20])
			}
			r.CachedBlocks = &prefix.Matches{}
			random := rng()
			b.ReportAllocs()
			for b.Loop() {
				index.Match(blocks, "", r.CachedBlocks)
				ChooseServer(r, table.Entries(model), start, random)
			}
		})
	}
}

// BenchmarkSizeChooseDomain measures the choice by the number of other instances.
func BenchmarkSizeChooseDomain(b *testing.B) {
	for _, n := range []int{15, 30, 60, 120, 240} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			router := NewRouter("suva-a", "suva-a-1")
			var others []Domain
			for i := range n {
				others = append(others, remoteDomain(fmt.Sprint(i), 0, i%2 == 0))
			}
			r := request()
			b.ReportAllocs()
			for b.Loop() {
				router.ChooseDomain(r, localDomain(0), others)
			}
		})
	}
}

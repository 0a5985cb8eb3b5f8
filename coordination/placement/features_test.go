package placement

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// without returns engines with features off.
func without(n int, off ...features.Name) *Pool {
	settings := make(map[features.Name]bool)
	for _, name := range off {
		settings[name] = false
	}
	p := New()
	p.Update(Settings{
		Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 1e-6, Features: features.NewSet(settings),
	}, entries(n))
	return p
}

// An operator takes out one mechanism that misbehaves. It stands still then, and with it on
// the same load shows it at work.
func TestFeaturesAreSwitchedOff(t *testing.T) {
	for _, c := range []struct {
		feature features.Name
		atWork  func(p *Pool) bool
	}{
		{features.PreferredServers, func(p *Pool) bool { return p.home(7) != nil }},
		{features.Fetch, func(p *Pool) bool {
			pl := p.Place(prompt(7, 100), start).Placement
			held := p.LocalFetchSource(prompt(7, 100), start)
			return pl != nil && held.Address != ""
		}},
		{features.RemoteFetch, func(p *Pool) bool {
			w := prompt(7, 100)
			w.RemoteSource = FetchSource{Address: "far"}
			return p.Place(w, start).FetchFrom != ""
		}},
		{features.Ejection, func(p *Pool) bool {
			for range 8 {
				p.servers[0].fail(start)
			}
			return len(p.setAside(start)) > 0
		}},
		{features.EjectedFallback, func(p *Pool) bool {
			for range 8 {
				p.servers[0].fail(start)
			}
			p.servers[0].failures = failureLimit
			w := prompt(7, 100)
			w.AllowEjected = true
			return p.lastResort(w, start) != nil
		}},
		{features.PoolLatencyFactor, func(p *Pool) bool {
			pl := p.Place(prompt(7, 100), start).Placement
			p.RecordFirstByte(pl, start.Add(2*time.Second))
			return p.pace > 1
		}},
		{features.SpillByStall, func(p *Pool) bool {
			pl := p.Place(prompt(7, 100), start).Placement
			for i := range 200 {
				p.RecordEvent(pl, time.Duration(30+i)*time.Millisecond, start)
			}
			return p.StallFraction(start) > 0
		}},
		{features.LimitEventGaps, func(p *Pool) bool {
			teachPauses(p, start)
			return p.longestPause(prompt(7, 50_000)) > 0
		}},
		{features.RetryAfterPacing, func(p *Pool) bool {
			for _, s := range p.servers {
				s.inFlight = s.Slots
			}
			first := p.Place(prompt(7, 100), start).RetryAfter
			return p.Place(prompt(7, 100), start).RetryAfter > first
		}},
	} {
		if !c.atWork(without(3)) {
			t.Errorf("%s: not at work although it is on", c.feature)
		}
		if c.atWork(without(3, c.feature)) {
			t.Errorf("%s: at work although it is off", c.feature)
		}
	}
}

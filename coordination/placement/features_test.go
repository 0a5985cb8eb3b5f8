package placement

import (
	"testing"
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// newPoolWithout returns a pool of engines with some features off.
func newPoolWithout(n int, off ...features.Name) *Pool {
	settings := make(map[features.Name]bool)
	for _, name := range off {
		settings[name] = false
	}
	p := New()
	p.Update(Settings{
		Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 1e-6, Features: features.NewSet(settings),
	}, newEntries(n))
	return p
}

// An operator switches off one mechanism that misbehaves. It has no effect then, whereas with
// the feature on it has an effect under the same load.
func TestFeaturesAreSwitchedOff(t *testing.T) {
	for _, c := range []struct {
		feature features.Name
		atWork  func(p *Pool) bool
	}{
		{features.PreferredServers, func(p *Pool) bool { return p.preferredServer(7) != nil }},
		{features.Fetch, func(p *Pool) bool {
			pl := p.Place(newPrompt(7, 100), start).Placement
			held := p.LocalFetchSource(newPrompt(7, 100), start)
			return pl != nil && held.Address != ""
		}},
		{features.RemoteFetch, func(p *Pool) bool {
			r := newPrompt(7, 100)
			r.RemoteSource = FetchSource{Address: "far"}
			return p.Place(r, start).FetchFrom != ""
		}},
		{features.Ejection, func(p *Pool) bool {
			for range 8 {
				p.servers[0].recordFailure(start)
			}
			return len(p.ejectedServers(start)) > 0
		}},
		{features.EjectedFallback, func(p *Pool) bool {
			for range 8 {
				p.servers[0].recordFailure(start)
			}
			p.servers[0].failureRate = ejectionThreshold
			w := newPrompt(7, 100)
			w.AllowEjected = true
			return p.ejectedFallback(w, start) != nil
		}},
		{features.PoolLatencyFactor, func(p *Pool) bool {
			pl := p.Place(newPrompt(7, 100), start).Placement
			p.RecordFirstByte(pl, start.Add(2*time.Second))
			return p.latencyFactor > 1
		}},
		{features.SpillByStall, func(p *Pool) bool {
			pl := p.Place(newPrompt(7, 100), start).Placement
			for i := range 200 {
				p.RecordEvent(pl, time.Duration(30+i)*time.Millisecond, start)
			}
			return p.StallFraction(start) > 0
		}},
		{features.LimitEventGaps, func(p *Pool) bool {
			trainGaps(p, start)
			return p.expectedLongestGap(newPrompt(7, 50_000)) > 0
		}},
		{features.RetryAfterPacing, func(p *Pool) bool {
			for _, s := range p.servers {
				s.inFlight = s.Slots
			}
			first := p.Place(newPrompt(7, 100), start).RetryAfter
			return p.Place(newPrompt(7, 100), start).RetryAfter > first
		}},
	} {
		if !c.atWork(newPoolWithout(3)) {
			t.Errorf("%s: no effect although it is on", c.feature)
		}
		if c.atWork(newPoolWithout(3, c.feature)) {
			t.Errorf("%s: has an effect although it is off", c.feature)
		}
	}
}

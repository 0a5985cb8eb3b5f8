package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
)

// The replay is a region of servers that share machines, a quarter of them twice as fast as the
// others. A first byte takes a fixed time and one for each prompt token, both by the machine's time of
// work. Three long prompts come for each short one.
const (
	paceServers    = 8
	paceBase       = 0.05 // seconds
	pacePerToken   = 1.0 / 90 / 1000
	paceRequests   = 1500
	paceLongTokens = 9000
)

// machineTime returns the time of work on a server's machine over the usual one.
func machineTime(server string) float64 {
	if server == "s0" || server == "s1" {
		return 0.55
	}
	return 1.2
}

// paceError replays requests one after the other, and returns the mean error of the expected time to
// the first byte over the last half of them, in seconds.
func paceError(seed uint64, set features.Set) float64 {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := New()
	var entries []backends.Entry
	for i := range paceServers {
		entries = append(entries, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Slots: 16}, Incarnation: 1})
	}
	p.Update(Settings{Engine: true, Slots: 16, CacheTokens: 1, Features: set, Seed: seed}, entries)
	now, total := start, 0.0
	for i := range paceRequests {
		r := &Request{Tokens: 800, Arrived: now, Deadline: now.Add(time.Minute)}
		if rng.Float64() < 0.75 {
			r.Tokens = paceLongTokens
		}
		r.Tokens = int(float64(r.Tokens) * (0.5 + rng.Float64()))
		r.Exclude = []string{fmt.Sprint("s", rng.IntN(paceServers))}
		choice := p.Place(r, now)
		factor := machineTime(choice.Placement.Server.ID)
		took := (paceBase + float64(r.Tokens)*pacePerToken) * factor
		if i >= paceRequests/2 {
			total += math.Abs(took - choice.ExpectedFirstByte.Seconds())
		}
		now = now.Add(seconds(took))
		p.RecordLoad(choice.Placement, ReportedLoad{Slots: 16, TimePercent: int(100 * factor)}, now)
		p.RecordFirstByte(choice.Placement, now)
		p.Done(choice.Placement, OutcomeServed, now)
		now = now.Add(20 * time.Millisecond)
	}
	return total / (paceRequests / 2)
}

// Guards against requests that are refused, or late, because one rate is assumed for short and long
// prompts at servers of different speed.
func TestFittedPace(t *testing.T) {
	off := features.NewSet(map[features.Name]bool{features.FittedPace: false})
	for seed := range uint64(4) {
		fitted, assumed := paceError(seed, features.Set{}), paceError(seed, off)
		t.Logf("seed %d: mean error %.1f ms, %.1f ms with an assumed rate", seed, 1000*fitted, 1000*assumed)
		if fitted > 0.010 {
			t.Errorf("seed %d: the expected time is off by %.1f ms on average", seed, 1000*fitted)
		}
		if assumed < 2*fitted {
			t.Errorf("seed %d: the replay does not show the gain: %.1f ms, %.1f ms with an assumed rate", seed, 1000*fitted, 1000*assumed)
		}
	}
}

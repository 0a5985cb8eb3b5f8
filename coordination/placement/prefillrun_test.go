package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
)

// The replay is two servers with many running generations each. Long prompts come in clusters, each of
// which one server prefills for longer than callers allow between two events.
const (
	runGap       = 300 * time.Millisecond // longest gap between events
	runPerToken  = 25e-6                  // seconds
	runTokens    = 6000
	runClusters  = 40
	runPrompts   = 3 // of a cluster
	runPauses    = 2 * time.Second
	runRunning   = 6 // generations of each server
	runSpread    = 40 * time.Millisecond
	runFirstByte = 0.02 // seconds, apart from the prompts
)

// longRuns returns how many clusters had a server prefill for longer than the gap limit.
func longRuns(seed uint64, set features.Set) int {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := New()
	var entries []backends.Entry
	for _, id := range []string{"a", "b", "c"} {
		entries = append(entries, backends.Entry{Server: backends.Server{ID: id, Slots: 16}, Incarnation: 1})
	}
	p.Update(Settings{Engine: true, Slots: 16, CacheTokens: 100_000, Features: set, Seed: seed}, entries)
	now, long := start, 0
	for cluster := range runClusters {
		prefill := make(map[string]time.Duration)
		var placed []*Placement
		for range runPrompts {
			// All prompts of a cluster share segments, so that one server has them cached.
			r := &Request{
				Segments: []PromptSegment{{ID: uint64(cluster%4 + 1), Tokens: 3000}, {ID: rng.Uint64(), Tokens: runTokens}},
				Tokens:   3000 + runTokens, Objective: 800 * time.Millisecond, MaxEventGap: runGap, Arrived: now, Deadline: now.Add(4 * time.Second),
			}
			choice := p.Place(r, now)
			if choice.Placement == nil {
				continue
			}
			placed = append(placed, choice.Placement)
			prefill[choice.Placement.Server.ID] += seconds(choice.Placement.prefillTokens * runPerToken)
			now = now.Add(time.Duration(rng.Float64() * float64(runSpread)))
		}
		for _, took := range prefill {
			if took > runGap {
				long++
				break
			}
		}
		for _, pl := range placed {
			at := pl.Sent.Add(prefill[pl.Server.ID] + seconds(runFirstByte))
			p.RecordLoad(pl, ReportedLoad{Running: runRunning, Slots: 16, TimePercent: 100}, at)
			p.RecordFirstByte(pl, at)
			p.Done(pl, OutcomeServed, at)
		}
		now = now.Add(runPauses)
	}
	return long
}

// Guards against generations that are late because prompts that follow one another are prefilled beside
// them at one server while its neighbours prefill nothing.
func TestPromptsOfAClusterAreSpread(t *testing.T) {
	off := features.NewSet(map[features.Name]bool{features.PrefillRuns: false})
	for seed := range uint64(4) {
		limited, unlimited := longRuns(seed, features.Set{}), longRuns(seed, off)
		t.Logf("seed %d: %d of %d clusters exceed the gap, %d without the limit", seed, limited, runClusters, unlimited)
		if 4*limited > runClusters {
			t.Errorf("seed %d: %d of %d clusters exceed the gap", seed, limited, runClusters)
		}
		if unlimited < 2*limited || unlimited == 0 {
			t.Errorf("seed %d: the replay does not show the gain: %d, %d without the limit", seed, limited, unlimited)
		}
	}
}

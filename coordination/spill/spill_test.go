package spill

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The replay is a region at its peak beside one that is nearly idle. Half of the requests
// may run in the first region only and take two seconds; the others may run in both and
// take two thirds of one. Together they need a tenth more slots than the first region has.
// Four instances decide, on a word of the idle region that is up to a second old.
const (
	replaySlots     = 320.0
	replayLength    = 20.0 // seconds
	replayWord      = 1.0  // seconds between words of the idle region
	boundPerSecond  = 120.0
	boundRuns       = 2.0 // seconds
	freePerSecond   = 165.0
	freeRuns        = 0.67
	idleRunning     = 60.0
	replayObjective = time.Second
)

// region counts what runs.
type region struct{ ends []float64 }

func (r *region) running(now float64) float64 {
	kept := r.ends[:0]
	for _, end := range r.ends {
		if end > now {
			kept = append(kept, end)
		}
	}
	r.ends = kept
	return float64(len(kept))
}

// outcome of a replay.
type outcome struct{ bound, boundRefused, free, freeRefused, crossed int }

// replay runs the peak with one decision; draw is uniform in [0,1).
func replay(seed uint64, early func(own Occupancy, others []Region, draw float64) int) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	var home, far region
	var o outcome
	word, spoken := 0.0, -replayWord
	for now := 0.0; now < replayLength; now += rng.ExpFloat64() / (boundPerSecond + freePerSecond) {
		if now-spoken >= replayWord {
			word, spoken = idleRunning+far.running(now), now
		}
		own := Occupancy{Running: home.running(now), Slots: replaySlots}
		bound := rng.Float64() < boundPerSecond/(boundPerSecond+freePerSecond)
		if bound {
			o.bound++
			if own.Running >= own.Slots {
				o.boundRefused++
				continue
			}
			home.ends = append(home.ends, now+boundRuns*rng.ExpFloat64())
			continue
		}
		o.free++
		others := []Region{{Occupancy: Occupancy{Running: word, Slots: replaySlots}, ExpectedFirstByte: 300 * time.Millisecond}}
		leaves := early(own, others, rng.Float64()) == 0
		if leaves || own.Running >= own.Slots {
			o.crossed++
			if idleRunning+far.running(now) >= replaySlots {
				o.freeRefused++
				continue
			}
			far.ends = append(far.ends, now+freeRuns*rng.ExpFloat64())
			continue
		}
		home.ends = append(home.ends, now+freeRuns*rng.ExpFloat64())
	}
	return o
}

// A region's slots are full while another one is nearly idle. The callers of requests that
// may run in the first region only are refused although requests that could run elsewhere
// hold slots there. When these leave early, the bound ones find room; where a request
// leaves only a region that is full, one bound request in fourteen and more is refused.
func TestReplayOfAPeakBesideAnIdleRegion(t *testing.T) {
	for seed := range uint64(4) {
		ours := replay(seed, func(own Occupancy, others []Region, draw float64) int {
			return ChooseRegion(own, others, replayObjective, draw)
		})
		whenFull := replay(seed, func(Occupancy, []Region, float64) int { return -1 })
		t.Logf("seed %d: early %+v, when full %+v", seed, ours, whenFull)
		if refused := float64(ours.boundRefused) / float64(ours.bound); refused > 0.01 {
			t.Errorf("seed %d: %.3f of the bound requests are refused", seed, refused)
		}
		if ours.freeRefused > 0 {
			t.Errorf("seed %d: %d requests crossed to a full region", seed, ours.freeRefused)
		}
		if whenFull.boundRefused < 5*ours.boundRefused+20 {
			t.Errorf("seed %d: the replay does not show the gain: %d refused against %d", seed, ours.boundRefused, whenFull.boundRefused)
		}
	}
}

// Two regions are at their peak together. Neither is emptier than the other by enough, so
// that no request crosses to be refused on the far side.
func TestFullRegionsSendEachOtherNothing(t *testing.T) {
	own := Occupancy{Running: 300, Slots: 320}
	others := []Region{{Occupancy: Occupancy{Running: 250, Slots: 320}, ExpectedFirstByte: 200 * time.Millisecond}}
	if got := ChooseRegion(own, others, replayObjective, 0); got != -1 {
		t.Errorf("goes to region %d", got)
	}
}

func TestEarly(t *testing.T) {
	idle := Region{Occupancy: Occupancy{Running: 10, Slots: 100}, ExpectedFirstByte: 200 * time.Millisecond}
	slow := Region{Occupancy: Occupancy{Running: 0, Slots: 100}, ExpectedFirstByte: 900 * time.Millisecond}
	for _, c := range []struct {
		name string
		own  Occupancy
		left time.Duration
		draw float64
		want int
	}{
		{"room at home", Occupancy{Running: 50, Slots: 100}, time.Second, 0, -1},
		{"half of them leave", Occupancy{Running: 82, Slots: 100}, time.Second, 0.4, 1},
		{"the other half stays", Occupancy{Running: 82, Slots: 100}, time.Second, 0.6, -1},
		{"all leave", Occupancy{Running: 96, Slots: 100}, time.Second, 0.99, 1},
		{"the emptiest one when there is no objective", Occupancy{Running: 95, Slots: 100}, 0, 0, 0},
		{"not enough time to cross", Occupancy{Running: 95, Slots: 100}, 220 * time.Millisecond, 0, -1},
		{"no server at home", Occupancy{}, time.Second, 0.99, 1},
	} {
		if got := ChooseRegion(c.own, []Region{slow, idle}, c.left, c.draw); got != c.want {
			t.Errorf("%s: region %d, want %d", c.name, got, c.want)
		}
	}
}

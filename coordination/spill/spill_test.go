package spill

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The replay is a region in a traffic spike beside one that is nearly idle. Half of the
// requests may run in the first region only and take two seconds; the others may run in both
// and take two thirds of a second. Together they need a tenth more slots than the first region
// has. Four instances decide, on a load report of the idle region that is up to a second old.
const (
	replaySlots      = 320.0
	replayLength     = 20.0 // seconds
	reportInterval   = 1.0  // seconds between load reports of the idle region
	boundPerSecond   = 120.0
	boundMeanSeconds = 2.0
	freePerSecond    = 165.0
	freeMeanSeconds  = 0.67
	remoteRunning    = 60.0
	replayObjective  = time.Second
)

// region counts the running requests.
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

// outcome is the result of a replay.
type outcome struct{ bound, boundRefused, free, freeRefused, spilled int }

// replay runs the spike with the given decision; its draw is uniform in [0,1).
func replay(seed uint64, choose func(local Occupancy, others []Region, draw float64) int) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	var local, remote region
	var o outcome
	reported, reportedAt := 0.0, -reportInterval
	for now := 0.0; now < replayLength; now += rng.ExpFloat64() / (boundPerSecond + freePerSecond) {
		if now-reportedAt >= reportInterval {
			reported, reportedAt = remoteRunning+remote.running(now), now
		}
		localOccupancy := Occupancy{Running: local.running(now), Slots: replaySlots}
		bound := rng.Float64() < boundPerSecond/(boundPerSecond+freePerSecond)
		if bound {
			o.bound++
			if localOccupancy.Running >= localOccupancy.Slots {
				o.boundRefused++
				continue
			}
			local.ends = append(local.ends, now+boundMeanSeconds*rng.ExpFloat64())
			continue
		}
		o.free++
		others := []Region{{Occupancy: Occupancy{Running: reported, Slots: replaySlots}, ExpectedFirstByte: 300 * time.Millisecond}}
		spills := choose(localOccupancy, others, rng.Float64()) == 0
		if spills || localOccupancy.Running >= localOccupancy.Slots {
			o.spilled++
			if remoteRunning+remote.running(now) >= replaySlots {
				o.freeRefused++
				continue
			}
			remote.ends = append(remote.ends, now+freeMeanSeconds*rng.ExpFloat64())
			continue
		}
		local.ends = append(local.ends, now+freeMeanSeconds*rng.ExpFloat64())
	}
	return o
}

// A region's slots are full while another one is nearly idle. Requests that may run in the
// first region only are refused although requests that could run elsewhere hold slots there.
// When the latter spill early, the bound requests find free slots; when requests spill only
// from a full region, at least one bound request in fourteen is refused.
func TestReplayOfASpikeBesideAnIdleRegion(t *testing.T) {
	for seed := range uint64(4) {
		ours := replay(seed, func(local Occupancy, others []Region, draw float64) int {
			return ChooseRegion(local, others, replayObjective, draw)
		})
		whenFull := replay(seed, func(Occupancy, []Region, float64) int { return -1 })
		t.Logf("seed %d: early %+v, when full %+v", seed, ours, whenFull)
		if refused := float64(ours.boundRefused) / float64(ours.bound); refused > 0.01 {
			t.Errorf("seed %d: %.3f of the bound requests are refused", seed, refused)
		}
		if ours.freeRefused > 0 {
			t.Errorf("seed %d: %d requests spilled to a full region", seed, ours.freeRefused)
		}
		if whenFull.boundRefused < 5*ours.boundRefused+20 {
			t.Errorf("seed %d: the replay does not show the gain: %d refused against %d", seed, ours.boundRefused, whenFull.boundRefused)
		}
	}
}

// Two regions have a traffic spike at the same time. The utilization of neither is lower by
// enough, so that no request is forwarded only to be refused in the remote region.
func TestFullRegionsSendEachOtherNothing(t *testing.T) {
	local := Occupancy{Running: 300, Slots: 320}
	others := []Region{{Occupancy: Occupancy{Running: 250, Slots: 320}, ExpectedFirstByte: 200 * time.Millisecond}}
	if got := ChooseRegion(local, others, replayObjective, 0); got != -1 {
		t.Errorf("spilled to region %d", got)
	}
}

func TestChooseRegion(t *testing.T) {
	idle := Region{Occupancy: Occupancy{Running: 10, Slots: 100}, ExpectedFirstByte: 200 * time.Millisecond}
	slow := Region{Occupancy: Occupancy{Running: 0, Slots: 100}, ExpectedFirstByte: 900 * time.Millisecond}
	for _, c := range []struct {
		name  string
		local Occupancy
		left  time.Duration
		draw  float64
		want  int
	}{
		{"free slots in the local region", Occupancy{Running: 50, Slots: 100}, time.Second, 0, -1},
		{"half of them spill", Occupancy{Running: 82, Slots: 100}, time.Second, 0.4, 1},
		{"the other half stays", Occupancy{Running: 82, Slots: 100}, time.Second, 0.6, -1},
		{"all spill", Occupancy{Running: 96, Slots: 100}, time.Second, 0.99, 1},
		{"least loaded region when there is no objective", Occupancy{Running: 95, Slots: 100}, 0, 0, 0},
		{"not enough time for the remote region", Occupancy{Running: 95, Slots: 100}, 220 * time.Millisecond, 0, -1},
		{"no server in the local region", Occupancy{}, time.Second, 0.99, 1},
	} {
		if got := ChooseRegion(c.local, []Region{slow, idle}, c.left, c.draw); got != c.want {
			t.Errorf("%s: region %d, want %d", c.name, got, c.want)
		}
	}
}

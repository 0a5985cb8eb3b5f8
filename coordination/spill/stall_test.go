package spill

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The replay is a region whose engines prefill for most of their time beside one with few
// prompts. An engine prefills one chunk of prompt between two tokens of all running
// generations as long as there is any to prefill; at most a third of its slots is in use.
const (
	slowTick           = 5 * time.Millisecond
	slowLength         = 30 * time.Second
	slowStepSeconds    = 0.004  // for a token of every running generation
	slowChunkSeconds   = 0.030  // for a chunk of prompt
	slowPromptSeconds  = 0.060  // to prefill one prompt, on average
	slowMeanTokens     = 400.0  // of a generation, on average
	slowMaxTokens      = 1000.0 // generated within half of the deadline by an engine that prefills nothing
	slowSlots          = 64.0
	slowReportInterval = time.Second // between load reports of the remote region
	slowDeadline       = 8 * time.Second
	slowLocalRate      = 12.5 // requests per second for each engine
	slowRemoteRate     = 2.0
)

// slowEngine stands for all engines of a region.
type slowEngine struct {
	prefillSeconds   float64 // prefill that is queued
	generations      []slowGeneration
	meanTokenSeconds float64 // per token, averaged over about the last second
}

type slowGeneration struct {
	tokensLeft float64
	startedAt  time.Duration
}

func (e *slowEngine) start(now time.Duration, rng *rand.Rand) {
	e.prefillSeconds += slowPromptSeconds * rng.ExpFloat64()
	e.generations = append(e.generations, slowGeneration{tokensLeft: min(slowMeanTokens*rng.ExpFloat64(), slowMaxTokens), startedAt: now})
}

// run advances the engine by one tick and returns how many generations ended, and how many of them late.
func (e *slowEngine) run(now time.Duration) (ended, late int) {
	tick, step := slowTick.Seconds(), slowStepSeconds
	if e.prefillSeconds > 0 {
		step += slowChunkSeconds
		e.prefillSeconds -= tick * slowChunkSeconds / step
	}
	e.meanTokenSeconds += (step - e.meanTokenSeconds) * tick
	kept := e.generations[:0]
	for _, generation := range e.generations {
		generation.tokensLeft -= tick / step
		if generation.tokensLeft > 0 {
			kept = append(kept, generation)
			continue
		}
		ended++
		if now-generation.startedAt > slowDeadline {
			late++
		}
	}
	e.generations = kept
	return ended, late
}

func (e *slowEngine) occupancy() Occupancy {
	return Occupancy{Running: float64(len(e.generations)), Slots: slowSlots, StallFraction: max(1-slowStepSeconds/e.meanTokenSeconds, 0)}
}

func slowReplay(seed uint64, choose func(local Occupancy, others []Region, draw float64) int) (ended, late int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	local, remote := &slowEngine{meanTokenSeconds: slowStepSeconds}, &slowEngine{meanTokenSeconds: slowStepSeconds}
	reported, reportedAt := remote.occupancy(), time.Duration(0)
	for now := time.Duration(0); now < slowLength; now += slowTick {
		if now-reportedAt >= slowReportInterval {
			reported, reportedAt = remote.occupancy(), now
		}
		if rng.Float64() < slowRemoteRate*slowTick.Seconds() {
			remote.start(now, rng)
		}
		if rng.Float64() < slowLocalRate*slowTick.Seconds() {
			region := local
			if choose(local.occupancy(), []Region{{Occupancy: reported, ExpectedFirstByte: 300 * time.Millisecond}}, rng.Float64()) == 0 {
				region = remote
			}
			region.start(now, rng)
		}
		for _, region := range []*slowEngine{local, remote} {
			e, l := region.run(now)
			ended, late = ended+e, late+l
		}
	}
	return ended, late
}

// First bytes arrive in time, but generations then run at a quarter of their speed and the
// long ones miss their deadline. The engines prefill between the tokens; their slots are not
// full, so that nothing spills by occupancy to the other region, whose engines hardly prefill.
// When requests spill by the stall fraction as well, generations end in time.
func TestReplayOfARegionWithMuchPrefill(t *testing.T) {
	for seed := range uint64(4) {
		ended, late := slowReplay(seed, func(local Occupancy, others []Region, draw float64) int {
			return ChooseRegion(local, others, time.Second, draw)
		})
		endedByOccupancy, lateByOccupancy := slowReplay(seed, func(local Occupancy, others []Region, draw float64) int {
			local.StallFraction = 0
			return ChooseRegion(local, others, time.Second, draw)
		})
		t.Logf("seed %d: %d of %d late, by occupancy only %d of %d", seed, late, ended, lateByOccupancy, endedByOccupancy)
		if 20*late > ended {
			t.Errorf("seed %d: %d of %d generations end after their deadline", seed, late, ended)
		}
		if lateByOccupancy < 2*late {
			t.Errorf("seed %d: the replay does not show the gain: %d late against %d", seed, lateByOccupancy, late)
		}
	}
}

// Both regions prefill for most of their time. Spilled requests would find the same speed in
// the remote region and lose the round trip.
func TestSlowRegionsSendEachOtherNothing(t *testing.T) {
	local := Occupancy{Running: 100, Slots: 320, StallFraction: 0.8}
	others := []Region{{Occupancy: Occupancy{Running: 50, Slots: 320, StallFraction: 0.75}, ExpectedFirstByte: 200 * time.Millisecond}}
	if got := ChooseRegion(local, others, time.Second, 0); got != -1 {
		t.Errorf("spilled to region %d", got)
	}
}

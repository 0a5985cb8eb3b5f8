package spill

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The replay is a region whose engines read prompts for most of their time beside one that
// reads little. An engine takes a chunk of prompt between two tokens of all running answers,
// as long as there is any to read; its slots are a third taken at most.
const (
	slowTick     = 5 * time.Millisecond
	slowLength   = 30 * time.Second
	slowStep     = 0.004  // seconds for a token of every running answer
	slowChunk    = 0.030  // seconds for a chunk of prompt
	slowPrompt   = 0.060  // seconds to read one prompt, in the mean
	slowTokens   = 400.0  // of an answer, in the mean
	slowMost     = 1000.0 // which an engine that reads nothing makes in half of the deadline
	slowSlots    = 64.0
	slowWord     = time.Second // between words of the other region
	slowDeadline = 8 * time.Second
	slowHome     = 12.5 // requests a second for each engine
	slowFar      = 2.0
)

// slowEngine stands for all engines of a region.
type slowEngine struct {
	unread  float64 // seconds of reading that wait
	answers []slowAnswer
	pace    float64 // mean seconds for a token, over the last second or so
}

type slowAnswer struct {
	left  float64 // tokens
	began time.Duration
}

func (e *slowEngine) take(now time.Duration, rng *rand.Rand) {
	e.unread += slowPrompt * rng.ExpFloat64()
	e.answers = append(e.answers, slowAnswer{left: min(slowTokens*rng.ExpFloat64(), slowMost), began: now})
}

// run lets a tick pass and returns how many answers ended, and how many of them late.
func (e *slowEngine) run(now time.Duration) (ended, late int) {
	tick, step := slowTick.Seconds(), slowStep
	if e.unread > 0 {
		step += slowChunk
		e.unread -= tick * slowChunk / step
	}
	e.pace += (step - e.pace) * tick
	kept := e.answers[:0]
	for _, a := range e.answers {
		a.left -= tick / step
		if a.left > 0 {
			kept = append(kept, a)
			continue
		}
		ended++
		if now-a.began > slowDeadline {
			late++
		}
	}
	e.answers = kept
	return ended, late
}

func (e *slowEngine) occupancy() Occupancy {
	return Occupancy{Running: float64(len(e.answers)), Slots: slowSlots, StallFraction: max(1-slowStep/e.pace, 0)}
}

func slowReplay(seed uint64, early func(own Occupancy, others []Region, draw float64) int) (ended, late int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	home, far := &slowEngine{pace: slowStep}, &slowEngine{pace: slowStep}
	word, spoken := far.occupancy(), time.Duration(0)
	for now := time.Duration(0); now < slowLength; now += slowTick {
		if now-spoken >= slowWord {
			word, spoken = far.occupancy(), now
		}
		if rng.Float64() < slowFar*slowTick.Seconds() {
			far.take(now, rng)
		}
		if rng.Float64() < slowHome*slowTick.Seconds() {
			region := home
			if early(home.occupancy(), []Region{{Occupancy: word, ExpectedFirstByte: 300 * time.Millisecond}}, rng.Float64()) == 0 {
				region = far
			}
			region.take(now, rng)
		}
		for _, region := range []*slowEngine{home, far} {
			e, l := region.run(now)
			ended, late = ended+e, late+l
		}
	}
	return ended, late
}

// Callers of one region get their first byte in time and then wait for an answer that goes
// on at a quarter of its speed, until the deadline of the long ones passes. The engines read
// prompts between the tokens; their slots are not full, so nothing leaves for the other
// region, whose engines hardly read. When requests leave for want of speed, answers end.
func TestReplayOfARegionThatReadsMuch(t *testing.T) {
	for seed := range uint64(4) {
		ended, late := slowReplay(seed, func(own Occupancy, others []Region, draw float64) int {
			return ChooseRegion(own, others, time.Second, draw)
		})
		endedByRoom, lateByRoom := slowReplay(seed, func(own Occupancy, others []Region, draw float64) int {
			own.StallFraction = 0
			return ChooseRegion(own, others, time.Second, draw)
		})
		t.Logf("seed %d: %d of %d late, by room only %d of %d", seed, late, ended, lateByRoom, endedByRoom)
		if 20*late > ended {
			t.Errorf("seed %d: %d of %d answers end after their deadline", seed, late, ended)
		}
		if lateByRoom < 2*late {
			t.Errorf("seed %d: the replay does not show the gain: %d late against %d", seed, lateByRoom, late)
		}
	}
}

// Both regions read for most of their time. Requests that crossed would find the same pace
// there and have lost the way.
func TestSlowRegionsSendEachOtherNothing(t *testing.T) {
	own := Occupancy{Running: 100, Slots: 320, StallFraction: 0.8}
	others := []Region{{Occupancy: Occupancy{Running: 50, Slots: 320, StallFraction: 0.75}, ExpectedFirstByte: 200 * time.Millisecond}}
	if got := ChooseRegion(own, others, time.Second, 0); got != -1 {
		t.Errorf("goes to region %d", got)
	}
}

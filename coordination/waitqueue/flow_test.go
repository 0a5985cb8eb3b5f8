package waitqueue

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The replay is a region whose slots are taken when a burst of patient requests begins, most of them by
// requests of one of its instances. Callers come to all instances alike. An instance knows at once of a slot
// that its own request frees, the others from the next load reports.
const (
	flowInstances  = 4
	flowSlots      = 40
	flowHold       = 2 * time.Second
	flowReportAge  = 60 * time.Millisecond
	flowStep       = 5 * time.Millisecond
	flowLength     = 12 * time.Second
	flowArrivals   = 10.0 // per second at each instance: twice what the slots bear
	flowFirstOwner = 30   // slots that are taken by requests of the first instance
)

// minFlowShare is the share of the mean number of starts that each instance is to have.
const minFlowShare = 0.8

// leastShare returns the starts of the instance with the fewest over the mean.
func leastShare(started [flowInstances]int) float64 {
	total := 0
	for _, n := range started {
		total += n
	}
	return float64(slices.Min(started[:])) * flowInstances / float64(total)
}

// regionSlot is a slot of the region.
type regionSlot struct {
	owner   int
	freedAt time.Time
}

// flowReplay returns how many requests each instance started.
func flowReplay(seed uint64, shared bool) [flowInstances]int {
	rng := rand.New(rand.NewPCG(seed, 1))
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	hold := func(now time.Time) time.Time {
		return now.Add(time.Duration((0.5 + rng.Float64()) * float64(flowHold)))
	}
	var started [flowInstances]int
	queues := make([]*Queue[int], flowInstances)
	for i := range queues {
		queues[i] = New[int](Settings{MaxWaiting: 512, MaxBytes: 1 << 20})
	}
	slots := make([]regionSlot, flowSlots)
	for i := range slots {
		slots[i] = regionSlot{owner: max(0, i-flowFirstOwner+1) % flowInstances, freedAt: begin.Add(time.Duration(rng.Float64() * float64(flowHold)))}
	}
	for now := begin; now.Before(begin.Add(flowLength)); now = now.Add(flowStep) {
		free := 0
		for _, s := range slots {
			if !now.Before(s.freedAt) {
				free++
			}
		}
		for _, i := range rng.Perm(flowInstances) {
			q := queues[i]
			if shared {
				q.SetFlow(Flow{Rate: flowSlots / flowHold.Seconds(), FreeSlots: float64(free), Instances: flowInstances})
			}
			if rng.Float64() < flowArrivals*flowStep.Seconds() {
				account := fmt.Sprint(rng.IntN(3))
				_, _, _ = q.Join(Request{Account: account, Weight: 1, Cost: 1, OnTime: now.Add(2 * time.Second), Latest: now.Add(2 * time.Second)}, i, now)
			}
			q.Expire(now)
			known := slices.IndexFunc(slots, func(s regionSlot) bool {
				return !now.Before(s.freedAt) && (s.owner == i || now.Sub(s.freedAt) >= flowReportAge)
			})
			if known < 0 || q.Len() == 0 || !q.MayStart(now) {
				continue
			}
			for t := range q.Heads(1) {
				q.Start(t, now)
				q.RecordSlot(now)
				slots[known] = regionSlot{owner: i, freedAt: hold(now)}
				started[i]++
			}
		}
	}
	return started
}

// Guards against an instance that keeps the slots of its region because it learns first which of them
// its own requests free.
func TestInstancesShareTheSlotsOfARegion(t *testing.T) {
	for seed := range uint64(4) {
		shared, alone := flowReplay(seed, true), flowReplay(seed, false)
		t.Logf("seed %d: started %v, %v without shares", seed, shared, alone)
		if least := leastShare(shared); least < minFlowShare {
			t.Errorf("seed %d: one instance starts %.2f of what they start on average", seed, least)
		}
		if least := leastShare(alone); least >= minFlowShare {
			t.Errorf("seed %d: the replay does not show the gain: %.2f without shares", seed, least)
		}
		total := 0
		for _, n := range shared {
			total += n
		}
		if want := int(0.9 * flowSlots * (flowLength - flowHold).Seconds() / flowHold.Seconds()); total < want {
			t.Errorf("seed %d: %d started, slots for %d", seed, total, want)
		}
	}
}

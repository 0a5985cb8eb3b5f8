package placement

import (
	"math"
	"testing"
	"time"
)

// Generations run at an engine's full speed, then at a third of it while the engine prefills,
// then the engine is idle. Callers see long event gaps although first bytes arrive in time, so
// the stall fraction has to rise within a second of events, and to return to 0 when the engine
// is idle.
func TestStallFractionFollowsTheGaps(t *testing.T) {
	p := newEnginePool(1)
	now := start
	pl := mustPlace(t, p, newPrompt(1, 100), now)
	run := func(events int, gap time.Duration) float64 {
		for range events {
			now = now.Add(gap / 8) // eight generations run concurrently
			p.RecordEvent(pl, gap, now)
		}
		return p.StallFraction(now)
	}
	if got := run(200, 30*time.Millisecond); got != 0 {
		t.Errorf("stall fraction %.2f at full speed", got)
	}
	if got := run(120, 90*time.Millisecond); math.Abs(got-2.0/3) > 0.07 {
		t.Errorf("stall fraction %.2f at a third of the speed", got)
	}
	if got := run(200, 30*time.Millisecond); got > 0.07 {
		t.Errorf("stall fraction %.2f after the prefill", got)
	}
	run(120, 90*time.Millisecond)
	if got := p.StallFraction(now.Add(2 * time.Second)); got != 0 {
		t.Errorf("stall fraction %.2f of an idle engine", got)
	}
}

// One event follows the last one after a millisecond, as when two arrive in one read. It must
// not make all servers look slow from then on.
func TestOneShortGapIsForgotten(t *testing.T) {
	p := newEnginePool(1)
	now := start
	pl := mustPlace(t, p, newPrompt(1, 100), now)
	for i := range 2000 {
		gap := 30 * time.Millisecond
		if i == 500 {
			gap = time.Millisecond
		}
		now = now.Add(5 * time.Millisecond)
		p.RecordEvent(pl, gap, now)
	}
	if got := p.StallFraction(now); got > 0.05 {
		t.Errorf("stall fraction %.2f", got)
	}
}

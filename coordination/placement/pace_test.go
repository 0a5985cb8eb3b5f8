package placement

import (
	"math"
	"testing"
	"time"
)

// Answers go on at an engine's own pace, then three times as slowly while it reads prompts,
// then it answers nobody. Callers see long pauses although first bytes come in time, so the
// share of its time that running answers do not get has to rise within a second of events,
// and to be forgotten when the engine is idle.
func TestSlowedFollowsThePauses(t *testing.T) {
	p := engines(1)
	now := start
	pl := place(t, p, prompt(1, 100), now)
	run := func(events int, pause time.Duration) float64 {
		for range events {
			now = now.Add(pause / 8) // eight answers run beside each other
			p.RecordEvent(pl, pause, now)
		}
		return p.StallFraction(now)
	}
	if got := run(200, 30*time.Millisecond); got != 0 {
		t.Errorf("slowed by %.2f at the engine's own pace", got)
	}
	if got := run(120, 90*time.Millisecond); math.Abs(got-2.0/3) > 0.07 {
		t.Errorf("slowed by %.2f at a third of its pace", got)
	}
	if got := run(200, 30*time.Millisecond); got > 0.07 {
		t.Errorf("slowed by %.2f when the reading is over", got)
	}
	run(120, 90*time.Millisecond)
	if got := p.StallFraction(now.Add(2 * time.Second)); got != 0 {
		t.Errorf("an idle engine is slowed by %.2f", got)
	}
}

// One event comes a millisecond after the last one, as when two arrive in one read. It must
// not make all servers look slow from then on.
func TestOneShortPauseIsForgotten(t *testing.T) {
	p := engines(1)
	now := start
	pl := place(t, p, prompt(1, 100), now)
	for i := range 2000 {
		pause := 30 * time.Millisecond
		if i == 500 {
			pause = time.Millisecond
		}
		now = now.Add(5 * time.Millisecond)
		p.RecordEvent(pl, pause, now)
	}
	if got := p.StallFraction(now); got > 0.05 {
		t.Errorf("slowed by %.2f", got)
	}
}

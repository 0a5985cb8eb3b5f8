package placement

import (
	"testing"
	"time"
)

// Guards against prompts that wait at servers whose machines are slow for long, and against a single
// report of a slow moment that sends prompts away from the server that has them cached.
func TestReportedTimeOfWork(t *testing.T) {
	p := newEnginePool(2)
	r := newPrompt(7, 100)
	home := mustPlace(t, p, r, start)
	report := func(percent int) {
		p.RecordLoad(home, ReportedLoad{Slots: 8, TimePercent: percent}, start)
	}
	expected := func() time.Duration {
		d, _ := p.ExpectedFirstByte(newPrompt(9, 100), start)
		return d
	}
	p.RecordFirstByte(home, start)
	p.Done(home, OutcomeCancelled, start)
	usual := expected()
	report(300)
	if next := mustPlace(t, p, r, start); next.Server.ID != home.Server.ID {
		t.Error("one report moved the prompt")
	}
	for range 50 {
		report(300)
	}
	if s := home.server; s.machineFactor < 2.9 || s.machineFactor > 3 {
		t.Errorf("factor %.2f after reports of three times the usual time", s.machineFactor)
	}
	for range 8 {
		pl := mustPlace(t, p, newPrompt(9, 100), start)
		if pl.Server.ID == home.Server.ID {
			t.Error("a prompt that no server has cached goes to the slow machine")
		}
		p.Done(pl, OutcomeCancelled, start)
	}
	for range 100 {
		report(100)
	}
	if got := expected(); got > usual+time.Millisecond {
		t.Errorf("expected time %s after the machine has recovered, %s before", got, usual)
	}
}

package placement

import (
	"testing"
	"time"
)

// A region has one server of a plain service, with six slots. One answer takes a second,
// where thirty milliseconds are usual. The callers of the next second were refused and told
// to come back after seconds, while nothing ran at the server.
func TestOneSlowAnswerRefusesNobodyBesideFreeSlots(t *testing.T) {
	p := New()
	e := entries(1)
	e[0].Slots = 6
	p.Update(Settings{Slots: 6}, e)
	now := start
	order := func() *Request {
		return &Request{Urgency: 1, Objective: 500 * time.Millisecond, Arrived: now, Deadline: now.Add(3 * time.Second)}
	}
	answer := func(took time.Duration) {
		pl := place(t, p, order(), now)
		p.RecordFirstByte(pl, now.Add(took))
		p.Done(pl, OutcomeServed, now.Add(took))
		now = now.Add(took)
	}
	for range 50 {
		answer(30 * time.Millisecond)
	}
	answer(time.Second)
	for range 20 {
		if c := p.Place(order(), now); c.Placement == nil {
			t.Fatalf("refused with %s, %v expected, %d running", c.Reason, c.ExpectedFirstByte, c.Running)
		} else {
			p.Done(c.Placement, OutcomeServed, now.Add(30*time.Millisecond))
		}
		now = now.Add(50 * time.Millisecond)
	}
}

// As above, but all slots are taken and requests wait: what the slow answer says of the wait
// counts, and the caller is told to come back.
func TestSlowAnswersCountWhereRequestsWait(t *testing.T) {
	p := New()
	e := entries(1)
	e[0].Slots = 6
	p.Update(Settings{Slots: 6}, e)
	w := &Request{Urgency: 1, Objective: 500 * time.Millisecond, Arrived: start, Deadline: start.Add(3 * time.Second)}
	pl := place(t, p, w, start)
	p.servers[0].inFlight = 8
	p.RecordFirstByte(pl, start.Add(time.Second))
	w.Arrived, w.Deadline = start.Add(time.Second), start.Add(4*time.Second)
	if c := p.Place(w, start.Add(time.Second)); c.Placement != nil {
		t.Errorf("taken, %v expected", c.ExpectedFirstByte)
	}
}

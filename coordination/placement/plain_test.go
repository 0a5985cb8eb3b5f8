package placement

import (
	"testing"
	"time"
)

// A region has one server of a plain service, with six slots. One response takes a second
// instead of the usual thirty milliseconds. Guards against refusals of all requests in the
// next second, with a Retry-After of seconds, while nothing runs at the server.
func TestOneSlowResponseRefusesNobodyBesideFreeSlots(t *testing.T) {
	p := New()
	e := newEntries(1)
	e[0].Slots = 6
	p.Update(Settings{Slots: 6}, e)
	now := start
	order := func() *Request {
		return &Request{Urgency: 1, Objective: 500 * time.Millisecond, Arrived: now, Deadline: now.Add(3 * time.Second)}
	}
	respond := func(took time.Duration) {
		pl := mustPlace(t, p, order(), now)
		p.RecordFirstByte(pl, now.Add(took))
		p.Done(pl, OutcomeServed, now.Add(took))
		now = now.Add(took)
	}
	for range 50 {
		respond(30 * time.Millisecond)
	}
	respond(time.Second)
	for range 20 {
		if c := p.Place(order(), now); c.Placement == nil {
			t.Fatalf("refused with %s, %v expected, %d running", c.Reason, c.ExpectedFirstByte, c.Running)
		} else {
			p.Done(c.Placement, OutcomeServed, now.Add(30*time.Millisecond))
		}
		now = now.Add(50 * time.Millisecond)
	}
}

// As above, but all slots are in use and requests queue: the excess time of the slow response
// counts, and the caller is told to retry.
func TestSlowResponsesCountWhereRequestsQueue(t *testing.T) {
	p := New()
	e := newEntries(1)
	e[0].Slots = 6
	p.Update(Settings{Slots: 6}, e)
	r := &Request{Urgency: 1, Objective: 500 * time.Millisecond, Arrived: start, Deadline: start.Add(3 * time.Second)}
	pl := mustPlace(t, p, r, start)
	p.servers[0].inFlight = 8
	p.RecordFirstByte(pl, start.Add(time.Second))
	r.Arrived, r.Deadline = start.Add(time.Second), start.Add(4*time.Second)
	if c := p.Place(r, start.Add(time.Second)); c.Placement != nil {
		t.Errorf("placed, %v expected", c.ExpectedFirstByte)
	}
}

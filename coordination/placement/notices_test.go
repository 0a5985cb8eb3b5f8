package placement

import (
	"testing"
	"time"
)

// Guards against prompts that are fetched from a server that leaves, or are named to other regions
// as cached there.
func TestNothingIsFetchedFromALeavingServer(t *testing.T) {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 1e-6}, newEntries(2))
	holder := mustPlace(t, p, newPrompt(1, 100), start)
	p.Done(holder, OutcomeServed, start)
	if p.LocalFetchSource(newPrompt(1, 100), start).Address != holder.Server.Address {
		t.Fatal("the server that got the prompt is not its holder")
	}
	p.RecordLeaving(holder)
	if source := p.LocalFetchSource(newPrompt(1, 100), start); source.Address != "" {
		t.Errorf("%s is named as the holder", source.Address)
	}
	choice := p.Place(newPrompt(1, 100), start.Add(time.Second))
	if choice.Placement == nil || choice.Placement.Server.ID == holder.Server.ID || choice.FetchFrom != "" {
		t.Errorf("placed %+v, fetched from %q", choice.Placement, choice.FetchFrom)
	}
}

// Guards against a server that rests and still counts: as a choice, as free slots for other
// regions or as a cache holder. When all rest, callers are told when the first rest ends.
func TestRestingServersTakeNothing(t *testing.T) {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 1e-6}, newEntries(2))
	rests := mustPlace(t, p, newPrompt(1, 100), start)
	p.Done(rests, OutcomeRefused, start)
	p.RecordRest(rests, start.Add(4*time.Second))
	p.RecordRest(rests, start.Add(time.Second)) // does not shorten it
	for i := range 20 {
		now := start.Add(time.Duration(i) * 150 * time.Millisecond)
		r := newPrompt(1, 100)
		r.Arrived, r.Deadline = now, now.Add(5*time.Second)
		c := p.Place(r, now)
		if c.Placement == nil || c.Placement.Server.ID == rests.Server.ID || c.FetchFrom != "" {
			t.Fatalf("%d: placed %+v, fetched from %q", i, c.Placement, c.FetchFrom)
		}
		p.Done(c.Placement, OutcomeServed, now)
	}
	now := start.Add(3 * time.Second)
	if s := p.Summarize(now); s.Servers != 1 || s.FreeSlots > 10 {
		t.Errorf("other regions are told of %+v", s)
	}
	other := mustPlace(t, p, newPrompt(2, 100), now)
	p.Done(other, OutcomeRefused, now)
	p.RecordRest(other, now.Add(3*time.Second))
	r := newPrompt(3, 100)
	r.Arrived, r.Deadline = now, now.Add(5*time.Second)
	if c := p.Place(r, now); c.Placement != nil || c.Reason != ReasonResting || c.RetryAfter != time.Second {
		t.Errorf("all rest: %+v", c)
	}
	if s := p.Summarize(now); s.Servers != 0 || s.FreeSlots != 0 {
		t.Errorf("all rest, and other regions are told of %+v", s)
	}
	if wait := p.RetryAfter(r, start.Add(4*time.Second)); wait != 0 {
		t.Errorf("after the first rest callers are told to wait %s", wait)
	}
}

// Guards against a server that turns all requests away, names no time of rest, and gets most requests
// because it runs none.
func TestServerThatRefusesAllIsEjected(t *testing.T) {
	p := newEnginePool(3)
	const requests = 300
	refused := 0
	for i := range requests {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		r := &Request{Segments: []PromptSegment{{ID: uint64(i), Tokens: 400}}, Tokens: 400, Objective: time.Second, Arrived: now, Deadline: now.Add(5 * time.Second)}
		pl := mustPlace(t, p, r, now)
		if pl.Server.ID == "s0" {
			refused++
			p.Done(pl, OutcomeRefused, now.Add(time.Millisecond))
			continue
		}
		p.RecordFirstByte(pl, now.Add(20*time.Millisecond))
		p.Done(pl, OutcomeServed, now.Add(300*time.Millisecond))
	}
	if refused > requests/10 {
		t.Errorf("%d of %d requests were sent to the server that refuses all", refused, requests)
	}
}

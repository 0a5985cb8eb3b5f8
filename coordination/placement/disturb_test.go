package placement

import (
	"testing"
	"time"
)

// teachPauses lets three engines read prompts of all sizes beside running answers, whose
// longest pause is 150 ms and 5 ms for each thousand tokens, at s0 twice that.
func teachPauses(p *Pool, now time.Time) {
	for i := range 600 {
		s := p.servers[i%len(p.servers)]
		size := 1000 + 200*(i%100)
		pause := 150*time.Millisecond + time.Duration(size)*5*time.Microsecond
		if s.ID == "s0" {
			pause *= 2
		}
		pl := &Placement{server: s}
		s.reading[pl] = &reading{tokens: float64(size), since: now.Add(-pause)}
		s.paused(pause, now)
		s.paused(pause/3, now)
		p.wasRead(s, pl)
	}
	p.gap = 600 * time.Millisecond
}

// Callers whose answers run for seconds see one pause of half a second and count them late:
// their server read a very long prompt between two of their tokens. It went there since the
// server held its first part. Where the fewest answers run it does the least harm; a prompt
// of ordinary size stays with its part.
func TestVeryLongPromptGoesWhereFewAnswersRun(t *testing.T) {
	p := engines(3)
	teachPauses(p, start)
	for _, s := range p.servers {
		s.Slots = 64
		s.inFlight = 10 // answers that run
	}
	sized := func(own int) *Request {
		w := prompt(7, own)
		w.Segments[1].ID += uint64(own) // no two prompts share their own part
		w.Deadline = start.Add(15 * time.Second)
		return w
	}
	first := place(t, p, sized(100), start) // its server holds the first part from now on
	p.Done(first, OutcomeCancelled, start)
	holder := first.server
	holder.inFlight += 20
	long := p.Place(sized(150_000), start)
	if long.Placement == nil || long.Placement.server == holder || long.ExpectedEventGap < p.gap {
		t.Fatalf("the very long prompt is read between the answers of its holder: %+v", long)
	}
	p.Done(long.Placement, OutcomeCancelled, start)
	if got := place(t, p, sized(2000), start); got.server != holder {
		t.Error("a prompt of ordinary size leaves its part")
	}
}

// One server takes twice as long for a chunk as the others. A prompt of forty thousand
// tokens holds up its answers for too long, and those of no other server. As many answers
// run at each, and the slow one has the least to read; it is passed by for this prompt.
func TestLongPromptAvoidsTheSlowServer(t *testing.T) {
	p := engines(3)
	teachPauses(p, start)
	for _, s := range p.servers {
		s.inFlight = 3
		if s.ID != "s0" {
			s.addPending(0, 4000)
		}
	}
	w := &Request{Tokens: 40_000, Segments: []PromptSegment{{9, 40_000}}, Urgency: 1, Arrived: start, Deadline: start.Add(15 * time.Second)}
	if got := place(t, p, w, start); got.Server.ID == "s0" {
		t.Error("read at the slow server")
	}
}

// Nothing is known of a service's pauses yet, or its routes allow any pause. No prompt is
// treated as disturbing then.
func TestNoPromptDisturbsBeforePausesAreKnown(t *testing.T) {
	p := engines(3)
	p.gap = 400 * time.Millisecond
	long := prompt(7, 50_000)
	if p.longestPause(long) != 0 {
		t.Error("a pause is expected before anything was seen")
	}
	teachPauses(p, start)
	p.gap = 0
	if p.disturbs(&candidate{pause: p.longestPause(long)}) {
		t.Error("disturbs although no route bounds its pauses")
	}
}

// The line follows engines that become slower: a thousand prompts make the old ones count
// for little.
func TestPauseFitFollowsAChange(t *testing.T) {
	var f pauseFit
	sample := func(first, slope float64) {
		for i := range 4000 {
			tokens := float64(1000 + 300*(i%50))
			f.take(tokens, first+slope*tokens)
		}
	}
	sample(0.1, 2e-6)
	if got, ok := f.at(50_000); !ok || got < 0.19 || got > 0.21 {
		t.Errorf("pause %v %v, want 0.2", got, ok)
	}
	sample(0.2, 4e-6)
	if got, ok := f.at(50_000); !ok || got < 0.38 || got > 0.42 {
		t.Errorf("pause %v %v after the change, want 0.4", got, ok)
	}
}

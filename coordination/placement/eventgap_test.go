package placement

import (
	"testing"
	"time"
)

// trainGaps records prompts of all sizes that were prefilled beside running generations. The
// longest event gap is 150 ms and 5 ms for each thousand tokens, at s0 twice that.
func trainGaps(p *Pool, now time.Time) {
	for i := range 600 {
		s := p.servers[i%len(p.servers)]
		size := 1000 + 200*(i%100)
		eventGap := 150*time.Millisecond + time.Duration(size)*5*time.Microsecond
		if s.ID == "s0" {
			eventGap *= 2
		}
		pl := &Placement{server: s}
		s.prefills[pl] = &prefill{tokens: float64(size), since: now.Add(-eventGap)}
		s.recordGap(eventGap, now)
		s.recordGap(eventGap/3, now)
		p.finishPrefill(s, pl)
	}
	p.minEventGap = 600 * time.Millisecond
}

// Callers of long generations see one event gap of half a second and count them as late: their
// server prefilled a very long prompt between two of their tokens. The prompt went there
// because the server had its first segment cached. It does the least harm where the fewest
// generations run; a prompt of ordinary size stays where its segment is cached.
func TestVeryLongPromptGoesWhereFewGenerationsRun(t *testing.T) {
	p := newEnginePool(3)
	trainGaps(p, start)
	for _, s := range p.servers {
		s.Slots = 64
		s.inFlight = 10 // running generations
	}
	sized := func(ownTokens int) *Request {
		r := newPrompt(7, ownTokens)
		r.Segments[1].ID += uint64(ownTokens) // no two prompts share their own segment
		r.Deadline = start.Add(15 * time.Second)
		return r
	}
	first := mustPlace(t, p, sized(100), start) // its server has the first segment cached from now on
	p.Done(first, OutcomeCancelled, start)
	holder := first.server
	holder.inFlight += 20
	long := p.Place(sized(150_000), start)
	if long.Placement == nil || long.Placement.server == holder || long.ExpectedEventGap < p.minEventGap {
		t.Fatalf("the very long prompt is placed on its cache holder: %+v", long)
	}
	p.Done(long.Placement, OutcomeCancelled, start)
	if got := mustPlace(t, p, sized(2000), start); got.server != holder {
		t.Error("a prompt of ordinary size is not placed on its cache holder")
	}
}

// One server takes twice as long for a chunk as the others. A prompt of forty thousand tokens
// causes event gaps above the limit there, and at no other server. The same number of
// generations run at each server, and the slow one has the smallest backlog; this prompt
// avoids it nevertheless.
func TestLongPromptAvoidsTheSlowServer(t *testing.T) {
	p := newEnginePool(3)
	trainGaps(p, start)
	for _, s := range p.servers {
		s.inFlight = 3
		if s.ID != "s0" {
			s.addPending(0, 4000)
		}
	}
	r := &Request{Tokens: 40_000, Segments: []PromptSegment{{9, 40_000}}, Urgency: 1, Arrived: start, Deadline: start.Add(15 * time.Second)}
	if got := mustPlace(t, p, r, start); got.Server.ID == "s0" {
		t.Error("placed on the slow server")
	}
}

// No event gaps of a service have been measured yet, or its routes allow any gap. No prompt is
// expected to cause too long a gap then.
func TestNoLongGapIsExpectedWithoutSamplesOrLimit(t *testing.T) {
	p := newEnginePool(3)
	p.minEventGap = 400 * time.Millisecond
	long := newPrompt(7, 50_000)
	if p.expectedLongestGap(long) != 0 {
		t.Error("a gap is expected without any samples")
	}
	trainGaps(p, start)
	p.minEventGap = 0
	if p.exceedsGap(&candidate{gapSeconds: p.expectedLongestGap(long)}) {
		t.Error("the gap limit is exceeded although no route has one")
	}
}

// The line follows engines that become slower: after a thousand prompts the old ones count for
// little.
func TestGapLineFollowsAChange(t *testing.T) {
	p := New()
	sample := func(first, slope float64) {
		for i := range 4000 {
			tokens := float64(1000 + 300*(i%50))
			p.gapFit.add(tokens, first+slope*tokens, fitRetention)
		}
	}
	sample(0.1, 2e-6)
	if got, ok := p.predictGap(50_000); !ok || got < 0.19 || got > 0.21 {
		t.Errorf("gap %v %v, want 0.2", got, ok)
	}
	sample(0.2, 4e-6)
	if got, ok := p.predictGap(50_000); !ok || got < 0.38 || got > 0.42 {
		t.Errorf("gap %v %v after the change, want 0.4", got, ok)
	}
}

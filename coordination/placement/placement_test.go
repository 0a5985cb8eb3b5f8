package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

var start = replayStart

func entries(n int) []backends.Entry {
	var out []backends.Entry
	for i := range n {
		out = append(out, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("a", i), Slots: 8}, Incarnation: 1})
	}
	return out
}

func engines(n int) *Pool {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000}, entries(n))
	return p
}

func prompt(subject uint64, own int) *Request {
	parts := []PromptSegment{{ID: subject, Tokens: 6000}, {ID: 1 << 50, Tokens: own}}
	return &Request{Segments: parts, Tokens: 6000 + own, Urgency: 1, Objective: time.Second, Arrived: start, Deadline: start.Add(5 * time.Second)}
}

// place places and fails the test when nothing was chosen.
func place(t *testing.T, p *Pool, w *Request, now time.Time) *Placement {
	t.Helper()
	c := p.Place(w, now)
	if c.Placement == nil {
		t.Fatalf("refused: %s", c.Reason)
	}
	return c.Placement
}

// A server resets every connection while it looks healthy. After a few failures it is set
// aside, for longer each time, and tried again now and then; the others carry the load. A
// server with one failure in twenty is left alone.
func TestFailingServerIsSetAside(t *testing.T) {
	p := engines(3)
	now := start
	counts := map[string]int{}
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		w := prompt(uint64(i), 100)
		w.Arrived, w.Deadline = now, now.Add(5*time.Second)
		pl := place(t, p, w, now)
		counts[pl.Server.ID]++
		outcome := OutcomeServed
		if pl.Server.ID == "s0" || pl.Server.ID == "s1" && counts["s1"]%20 == 0 {
			outcome = OutcomeFailed
		}
		p.RecordFirstByte(pl, now.Add(5*time.Millisecond))
		p.Done(pl, outcome, now.Add(6*time.Millisecond))
	}
	if counts["s0"] > 20 || counts["s1"] < 100 {
		t.Errorf("chosen %v times", counts)
	}
}

// All servers fail in part. Never more than half are set aside: a service that is served
// in part is better than one that is not.
func TestAllFailing(t *testing.T) {
	p := engines(4)
	now := start
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		w := prompt(uint64(i), 100)
		w.Arrived, w.Deadline = now, now.Add(5*time.Second)
		pl := place(t, p, w, now)
		p.Done(pl, OutcomeFailed, now)
	}
}

// Nothing listens at the only server: requests are refused at once, with a time to come
// back, until a while later one of them finds out whether it is there again.
func TestServerThatIsDown(t *testing.T) {
	p := engines(1)
	pl := place(t, p, prompt(1, 100), start)
	p.Done(pl, OutcomeDown, start)
	c := p.Place(prompt(1, 100), start.Add(time.Millisecond))
	if c.Placement != nil || c.Reason != ReasonNoServer || c.RetryAfter <= 0 {
		t.Errorf("%+v", c)
	}
	later := start.Add(minAside)
	w := prompt(1, 100)
	w.Arrived, w.Deadline = later, later.Add(5*time.Second)
	p.Done(place(t, p, w, later), OutcomeServed, later)
}

// A server comes back cold. Its sender keeps to the rate in every second, another
// instance sends it nothing, and both take it once it is warm.
func TestColdServer(t *testing.T) {
	cold := entries(1)
	cold[0].ColdUntil = start.Add(3 * time.Second)
	for _, owner := range []bool{true, false} {
		p := New()
		p.Update(Settings{Engine: true, Slots: 64, CacheTokens: 200_000, ColdRate: 2.6, OwnsColdServer: func(string) bool { return owner }}, cold)
		var sent []time.Time
		for at := start; at.Before(cold[0].ColdUntil); at = at.Add(10 * time.Millisecond) {
			w := prompt(1, 10)
			w.Arrived, w.Deadline = at, at.Add(5*time.Second)
			if c := p.Place(w, at); c.Placement != nil {
				sent = append(sent, at)
				p.Done(c.Placement, OutcomeServed, at)
			} else if c.RetryAfter <= 0 {
				t.Fatal("refused without a time to come back")
			}
		}
		for i, at := range sent {
			if i >= 3 && at.Sub(sent[i-3]) < time.Second {
				t.Errorf("4 requests within %s", at.Sub(sent[i-3]))
			}
		}
		if owner != (len(sent) >= 6) || !owner && len(sent) > 0 {
			t.Errorf("sender: %t, %d requests", owner, len(sent))
		}
		w := prompt(1, 10)
		w.Arrived, w.Deadline = cold[0].ColdUntil, cold[0].ColdUntil.Add(time.Second)
		place(t, p, w, cold[0].ColdUntil)
	}
}

// The shared parts of a prompt are held by one server, which is busy. The next request
// with them goes to an idle server, which is told to fetch them, where servers move
// cached parts; where they do not, it waits for its turn as long as that is faster.
func TestFetchFromTheHolder(t *testing.T) {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 2e-6}, entries(2))
	first := place(t, p, prompt(7, 100), start)
	p.RecordFirstByte(first, start.Add(time.Millisecond))
	p.Done(first, OutcomeServed, start.Add(time.Millisecond))
	busy := LoadReport{Servers: []ServerLoad{{Server: uint32(first.server.hash), PendingTokens: 40_000, InFlight: 1}}}
	p.ApplyReport("other", &busy, start)
	c := p.Place(prompt(7, 100), start.Add(2*time.Millisecond))
	if c.Placement == nil || c.Placement.Server.ID == first.Server.ID || c.FetchFrom != first.Server.Address {
		t.Errorf("%+v", c)
	}
}

// Servers have a backlog that no request can be answered behind within its objective. A
// request that must be on time is refused at once, with a time to come back that is
// about how long the backlog lasts. One that is late only by its own length is served.
func TestBacklog(t *testing.T) {
	p := engines(1)
	d := LoadReport{Servers: []ServerLoad{{Server: uint32(p.servers[0].hash), PendingTokens: 120_000, UrgentTokens: 0, InFlight: 4}}}
	p.ApplyReport("other", &d, start)
	w := prompt(1, 100)
	w.RejectIfLate = true
	if c := p.Place(w, start); c.Placement != nil || c.RetryAfter < time.Second || c.RetryAfter > 4*time.Second {
		t.Errorf("behind three seconds of prompts: %+v", c)
	}
	short := prompt(2, 100)
	short.Urgency = 0
	if c := p.Place(short, start); c.Placement == nil || c.Late {
		t.Errorf("an urgent request behind less urgent ones: %+v", c)
	}
	long := prompt(3, 40_000)
	if c := engines(1).Place(long, start); c.Placement == nil || !c.Late {
		t.Errorf("a prompt of more than a second on an idle server: %+v", c)
	}
}

// A digest is taken in late or is an old one: load that was not confirmed just now does
// not count, and what an instance does not name any more is gone.
func TestDigestsFade(t *testing.T) {
	p := engines(1)
	d := LoadReport{Servers: []ServerLoad{{Server: uint32(p.servers[0].hash), PendingTokens: 120_000, InFlight: 8}}}
	p.ApplyReport("other", &d, start)
	if _, ok := p.ExpectedFirstByte(prompt(1, 100), start); ok {
		t.Error("a full server can be used")
	}
	if took, ok := p.ExpectedFirstByte(prompt(1, 100), start.Add(peerFresh+time.Millisecond)); !ok || took > time.Second {
		t.Errorf("an old digest still counts: %s, %t", took, ok)
	}
	p.ApplyReport("other", &d, start)
	p.ApplyReport("other", &LoadReport{}, start)
	if took, ok := p.ExpectedFirstByte(prompt(1, 100), start); !ok || took > time.Second {
		t.Errorf("what is not named any more still counts: %s, %t", took, ok)
	}
}

// A prompt takes longer to read than its objective: it is late wherever it goes. Beside an
// engine that has a sixth of the objective to read for others it would make the next ones
// late in turn, and its caller is told to come back; beside a nearly idle one it is served.
func TestLatePromptIsTakenWhereItDelaysNobody(t *testing.T) {
	for _, c := range []struct {
		ahead float64 // prompt tokens
		taken bool
	}{{0, true}, {0.05 * defaultReadRate, true}, {0.16 * defaultReadRate, false}} {
		p := engines(1)
		p.servers[0].addPending(0, c.ahead)
		got := p.Place(prompt(7, 50_000), start)
		if taken := got.Placement != nil; taken != c.taken || taken && !got.Late {
			t.Errorf("%v tokens ahead: taken %v, late %v, %v expected", c.ahead, taken, got.Late, got.ExpectedFirstByte)
		}
	}
}

package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

var start = replayStart

func newEntries(n int) []backends.Entry {
	var out []backends.Entry
	for i := range n {
		out = append(out, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Address: fmt.Sprint("a", i), Slots: 8}, Incarnation: 1})
	}
	return out
}

func newEnginePool(n int) *Pool {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000}, newEntries(n))
	return p
}

func newPrompt(subject uint64, ownTokens int) *Request {
	segments := []PromptSegment{{ID: subject, Tokens: 6000}, {ID: 1 << 50, Tokens: ownTokens}}
	return &Request{Segments: segments, Tokens: 6000 + ownTokens, Urgency: 1, Objective: time.Second, Arrived: start, Deadline: start.Add(5 * time.Second)}
}

// mustPlace places a request and fails the test when it is refused.
func mustPlace(t *testing.T, p *Pool, r *Request, now time.Time) *Placement {
	t.Helper()
	c := p.Place(r, now)
	if c.Placement == nil {
		t.Fatalf("refused: %s", c.Reason)
	}
	return c.Placement
}

// A server resets every connection while its status checks succeed. After a few failures it is
// ejected, and probed now and then; the others carry the load. A server with one failure in
// twenty is not ejected.
func TestFailingServerIsEjected(t *testing.T) {
	p := newEnginePool(3)
	now := start
	counts := map[string]int{}
	for i := range 300 {
		now = now.Add(10 * time.Millisecond)
		r := newPrompt(uint64(i), 100)
		r.Arrived, r.Deadline = now, now.Add(5*time.Second)
		pl := mustPlace(t, p, r, now)
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

// All servers fail part of their requests. At most half of them are ejected: a service that
// is served in part is better than one that is not served.
func TestAllFailing(t *testing.T) {
	p := newEnginePool(4)
	now := start
	for i := range 100 {
		now = now.Add(20 * time.Millisecond)
		r := newPrompt(uint64(i), 100)
		r.Arrived, r.Deadline = now, now.Add(5*time.Second)
		pl := mustPlace(t, p, r, now)
		p.Done(pl, OutcomeFailed, now)
	}
}

// The only server accepts no connections: requests are refused at once with a Retry-After,
// until a later request finds the server reachable again.
func TestServerThatIsDown(t *testing.T) {
	p := newEnginePool(1)
	pl := mustPlace(t, p, newPrompt(1, 100), start)
	p.Done(pl, OutcomeDown, start)
	c := p.Place(newPrompt(1, 100), start.Add(time.Millisecond))
	if c.Placement != nil || c.Reason != ReasonNoServer || c.RetryAfter <= 0 {
		t.Errorf("%+v", c)
	}
	later := start.Add(minEjection)
	r := newPrompt(1, 100)
	r.Arrived, r.Deadline = later, later.Add(5*time.Second)
	p.Done(mustPlace(t, p, r, later), OutcomeServed, later)
}

// A server restarts with a cold cache. Its owner keeps to the rate in every second, another
// instance sends it nothing, and both use it once it is warm.
func TestColdServer(t *testing.T) {
	cold := newEntries(1)
	cold[0].ColdUntil = start.Add(3 * time.Second)
	for _, owner := range []bool{true, false} {
		p, share := New(), 0.0
		if owner {
			share = 1
		}
		p.Update(Settings{Engine: true, Slots: 64, CacheTokens: 200_000, ColdRate: 2.6, ColdShare: func(string) float64 { return share }}, cold)
		var sent []time.Time
		for at := start; at.Before(cold[0].ColdUntil); at = at.Add(10 * time.Millisecond) {
			r := newPrompt(1, 10)
			r.Arrived, r.Deadline = at, at.Add(5*time.Second)
			if c := p.Place(r, at); c.Placement != nil {
				sent = append(sent, at)
				p.Done(c.Placement, OutcomeServed, at)
			} else if c.RetryAfter <= 0 {
				t.Fatal("refused without a Retry-After")
			}
		}
		for i, at := range sent {
			if i >= 3 && at.Sub(sent[i-3]) < time.Second {
				t.Errorf("4 requests within %s", at.Sub(sent[i-3]))
			}
		}
		if owner != (len(sent) >= 6) || !owner && len(sent) > 0 {
			t.Errorf("owner: %t, %d requests", owner, len(sent))
		}
		w := newPrompt(1, 10)
		w.Arrived, w.Deadline = cold[0].ColdUntil, cold[0].ColdUntil.Add(time.Second)
		mustPlace(t, p, w, cold[0].ColdUntil)
	}
}

// Guards against an instance that sends to a cold server at more than its share of the rate, or that
// keeps to a share that has changed.
func TestColdServerGetsTheShareOfItsRate(t *testing.T) {
	const coldRate = 2.0
	cold := newEntries(1)
	cold[0].ColdUntil = start.Add(time.Minute)
	p, share := New(), 0.1
	p.Update(Settings{Engine: true, Slots: 64, CacheTokens: 200_000, ColdRate: coldRate, ColdShare: func(string) float64 { return share }}, cold)
	sent := func(from time.Duration) (count int) {
		for at := start.Add(from); at.Before(start.Add(from + 20*time.Second)); at = at.Add(50 * time.Millisecond) {
			r := newPrompt(1, 10)
			r.Arrived, r.Deadline = at, at.Add(5*time.Second)
			if c := p.Place(r, at); c.Placement != nil {
				count++
				p.Done(c.Placement, OutcomeServed, at)
			}
		}
		return count
	}
	if got := sent(0); got != 4 {
		t.Errorf("%d requests in 20 s at a tenth of the rate, want 4", got)
	}
	share = 1
	if got := sent(20 * time.Second); got != 40 {
		t.Errorf("%d requests in 20 s at the whole rate, want 40", got)
	}
}

// Guards against a cold server that gets requests at a short distance from two instances, of which one
// has just handed it over to the other.
func TestColdServerThatIsHandedOverKeepsItsDistance(t *testing.T) {
	const coldRate = 2.0
	cold := newEntries(1)
	cold[0].ColdUntil = start.Add(time.Minute)
	p, share := New(), 0.0
	p.Update(Settings{Engine: true, Slots: 64, CacheTokens: 200_000, ColdRate: coldRate, ColdShare: func(string) float64 { return share }}, cold)
	place := func(at time.Duration) bool {
		r := newPrompt(1, 10)
		r.Arrived, r.Deadline = start.Add(at), start.Add(at+5*time.Second)
		return p.Place(r, start.Add(at)).Placement != nil
	}
	if place(time.Second) {
		t.Fatal("sent to another instance's cold server")
	}
	share = 1
	if place(1100 * time.Millisecond) {
		t.Error("sent 100 ms after the other instance may have")
	}
	if !place(1500 * time.Millisecond) {
		t.Error("not sent although the other instance's request is long enough ago")
	}
}

// The shared segments of a prompt are cached by one server, which is busy. The next request
// with them goes to an idle server, which fetches them from the busy one, where servers
// exchange cached tokens; where they do not, it waits at the busy one as long as that is faster.
func TestFetchFromTheCacheHolder(t *testing.T) {
	p := New()
	p.Update(Settings{Engine: true, Slots: 8, CacheTokens: 200_000, FetchSecondsPerToken: 2e-6}, newEntries(2))
	first := mustPlace(t, p, newPrompt(7, 100), start)
	p.RecordFirstByte(first, start.Add(time.Millisecond))
	p.Done(first, OutcomeServed, start.Add(time.Millisecond))
	busy := LoadReport{Servers: []ServerLoad{{Server: uint32(first.server.hash), PendingTokens: 40_000, InFlight: 1}}}
	p.ApplyReport("other", &busy, start)
	c := p.Place(newPrompt(7, 100), start.Add(2*time.Millisecond))
	if c.Placement == nil || c.Placement.Server.ID == first.Server.ID || c.FetchFrom != first.Server.Address {
		t.Errorf("%+v", c)
	}
}

// Servers have a backlog behind which no request is answered within its objective. A request
// that must be on time is refused at once, with a Retry-After of about the length of the
// backlog. One that is late only because of its own length is served.
func TestBacklog(t *testing.T) {
	p := newEnginePool(1)
	report := LoadReport{Servers: []ServerLoad{{Server: uint32(p.servers[0].hash), PendingTokens: 120_000, UrgentTokens: 0, InFlight: 4}}}
	p.ApplyReport("other", &report, start)
	r := newPrompt(1, 100)
	r.RejectIfLate = true
	if c := p.Place(r, start); c.Placement != nil || c.RetryAfter < time.Second || c.RetryAfter > 4*time.Second {
		t.Errorf("behind three seconds of prompts: %+v", c)
	}
	short := newPrompt(2, 100)
	short.Urgency = 0
	if c := p.Place(short, start); c.Placement == nil || c.Late {
		t.Errorf("an urgent request behind less urgent ones: %+v", c)
	}
	long := newPrompt(3, 40_000)
	if c := newEnginePool(1).Place(long, start); c.Placement == nil || !c.Late {
		t.Errorf("a prompt of more than a second on an idle server: %+v", c)
	}
}

// Load reports arrive late or are old: load that was not confirmed recently does not count,
// and what an instance no longer reports is gone.
func TestReportsExpire(t *testing.T) {
	p := newEnginePool(1)
	report := LoadReport{Servers: []ServerLoad{{Server: uint32(p.servers[0].hash), PendingTokens: 120_000, InFlight: 8}}}
	p.ApplyReport("other", &report, start)
	if _, ok := p.ExpectedFirstByte(newPrompt(1, 100), start); ok {
		t.Error("a full server can be used")
	}
	if took, ok := p.ExpectedFirstByte(newPrompt(1, 100), start.Add(peerReportTTL+time.Millisecond)); !ok || took > time.Second {
		t.Errorf("an old report still counts: %s, %t", took, ok)
	}
	p.ApplyReport("other", &report, start)
	p.ApplyReport("other", &LoadReport{}, start)
	if took, ok := p.ExpectedFirstByte(newPrompt(1, 100), start); !ok || took > time.Second {
		t.Errorf("load that is no longer reported still counts: %s, %t", took, ok)
	}
}

// A prompt takes longer to prefill than its objective: it is late at every server. At an engine
// whose backlog takes a sixth of the objective it would make the next requests late in turn,
// so that its caller is told to retry; at a nearly idle engine it is served.
func TestLatePromptIsAcceptedWhereItDelaysNobody(t *testing.T) {
	for _, c := range []struct {
		ahead float64 // prompt tokens
		taken bool
	}{{0, true}, {0.05 * defaultPrefillRate, true}, {0.16 * defaultPrefillRate, false}} {
		p := newEnginePool(1)
		p.servers[0].addPending(0, c.ahead)
		got := p.Place(newPrompt(7, 50_000), start)
		if taken := got.Placement != nil; taken != c.taken || taken && !got.Late {
			t.Errorf("%v tokens ahead: placed %v, late %v, %v expected", c.ahead, taken, got.Late, got.ExpectedFirstByte)
		}
	}
}

// Guards against a choice among a sample that misses the server which has the prompt cached, and
// against a refusal because the sample has no free server although another one has.
func TestSampleOfALargeRegion(t *testing.T) {
	const servers = 10 * sampleSize
	p := newEnginePool(servers)
	holder := mustPlace(t, p, newPrompt(7, 100), start)
	p.Done(holder, OutcomeServed, start)
	for range 20 {
		pl := mustPlace(t, p, newPrompt(7, 100), start)
		if pl.Server.ID != holder.Server.ID {
			t.Errorf("placed at %s, cached at %s", pl.Server.ID, holder.Server.ID)
		}
		p.Done(pl, OutcomeServed, start)
	}
	for _, s := range p.servers[1:] {
		s.inFlight = s.Slots
	}
	if pl := mustPlace(t, p, newPrompt(8, 100), start); pl.Server.ID != p.servers[0].ID {
		t.Errorf("placed at the full %s", pl.Server.ID)
	}
}

// Guards against a large region that tells others of the servers of a sample only: they would
// expect their requests to wait for a few servers.
func TestSummaryCountsAllServersOfALargeRegion(t *testing.T) {
	const servers = 4 * sampleSize
	if got := newEnginePool(servers).Summarize(start).Servers; got != servers {
		t.Errorf("%d servers, want %d", got, servers)
	}
}

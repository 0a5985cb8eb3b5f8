package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

// One of four servers fails half of its requests while its status checks succeed. Twenty
// instances send to the four, report outcomes to each other ten times a second, and probe the
// server while it is ejected. Each request at that server that must not be repeated is lost to
// its caller. After the first second the server gets only probes; once it has recovered it
// returns within two seconds.
func TestServerThatFailsHalfItsRequestsStaysAside(t *testing.T) {
	const (
		instances = 20
		perTick   = 4 // requests of all instances
		failing   = "s0"
	)
	tick := 25 * time.Millisecond
	var entries []backends.Entry
	for i := range 4 {
		entries = append(entries, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Slots: 64}, Incarnation: 1})
	}
	pools := make([]*Pool, instances)
	for i := range pools {
		pools[i] = New()
		pools[i].Update(Settings{Engine: true, Slots: 64, CacheTokens: 100_000}, entries)
	}
	rng := rand.New(rand.NewPCG(7, 1))
	recovered := replayStart.Add(10 * time.Second)
	lost, late, after := 0, 0, 0
	step := 0
	for now := replayStart; now.Before(recovered.Add(4 * time.Second)); now = now.Add(tick) {
		for range perTick {
			p := pools[rng.IntN(instances)]
			probe := rng.IntN(4) == 0
			r := Request{Tokens: 500, Objective: time.Second, Arrived: now, Deadline: now.Add(5 * time.Second), Probe: probe}
			choice := p.Place(&r, now)
			outcome := OutcomeServed
			if choice.Placement.Server.ID == failing {
				switch {
				case now.After(recovered.Add(2 * time.Second)):
					after++
				case now.Before(recovered) && rng.IntN(2) == 0:
					outcome = OutcomeFailed
					if !probe {
						lost++
						if now.Sub(replayStart) > time.Second {
							late++
						}
					}
				}
			}
			p.Done(choice.Placement, outcome, now)
		}
		if step++; step%4 == 0 {
			for i, from := range pools {
				d := from.LoadReport()
				for j, to := range pools {
					if i != j {
						to.ApplyReport(fmt.Sprint(i), &d, now)
					}
				}
			}
		}
	}
	t.Logf("lost %d, of them %d after the first second; %d sent to the server after its recovery", lost, late, after)
	if late > 5 {
		t.Errorf("%d requests that must not be repeated are lost after the first second", late)
	}
	if after < 50 {
		t.Errorf("%d requests at the server in the two seconds after it recovered", after)
	}
}

// newFailingPool returns a pool of two servers. The first has a batch of streams in flight,
// and then fails what it is sent until it is ejected.
func newFailingPool(t *testing.T) (p *Pool, streams []*Placement) {
	t.Helper()
	p = New()
	var entries []backends.Entry
	for i := range 2 {
		entries = append(entries, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Slots: 20}, Incarnation: 1})
	}
	p.Update(Settings{Engine: true, Slots: 20, CacheTokens: 100_000}, entries[:1])
	for range 10 {
		streams = append(streams, p.Place(newQuestion(false), replayStart).Placement)
	}
	began := replayStart.Add(100 * time.Millisecond)
	for range 8 {
		p.Done(p.Place(newQuestion(false), began).Placement, OutcomeFailed, began)
	}
	p.Update(Settings{Engine: true, Slots: 20, CacheTokens: 100_000}, entries)
	return p, streams
}

func newQuestion(allowEjected bool) *Request {
	return &Request{Tokens: 500, Objective: time.Second, Arrived: replayStart, Deadline: replayStart.Add(5 * time.Second), AllowEjected: allowEjected}
}

// A server begins to fail what it is sent and is ejected. The streams that it started before
// succeed in the next seconds. Counted as a recovery, they would end the ejection while the
// server still fails, and half of what it is sent then would be lost.
func TestStreamsFromBeforeDoNotBringAServerBack(t *testing.T) {
	p, streams := newFailingPool(t)
	now := replayStart.Add(time.Second)
	for _, s := range streams {
		p.Done(s, OutcomeServed, now)
	}
	for range 15 {
		if c := p.Place(newQuestion(false), replayStart); c.Placement == nil || c.Placement.Server.ID != "s1" {
			t.Fatalf("placed on %+v", c)
		}
	}
}

// Every healthy server is full. A request that allows it goes to an ejected server that fails
// part of its requests rather than be refused; one that does not is refused, since it may take
// effect there and look as if it had not.
func TestFailingServerIsALastResort(t *testing.T) {
	p, _ := newFailingPool(t)
	for range 20 {
		p.Place(newQuestion(false), replayStart)
	}
	if c := p.Place(newQuestion(false), replayStart); c.Placement != nil || c.Reason != ReasonFull {
		t.Errorf("a request that does not allow ejected servers is placed: %+v", c)
	}
	p.servers[0].failureRate = 0.6
	if c := p.Place(newQuestion(true), replayStart); c.Placement == nil || c.Placement.Server.ID != "s0" {
		t.Errorf("a request that allows ejected servers is not placed: %+v", c)
	}
	p.servers[0].failureRate = 0.95
	if c := p.Place(newQuestion(true), replayStart); c.Placement != nil {
		t.Errorf("placed on a server that fails nearly all requests")
	}
}

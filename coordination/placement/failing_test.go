package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

// One of four servers fails half of its requests while its status checks are good. Twenty
// instances send to the four, hear each other's outcomes ten times a second, and probe the
// server while it is set aside. Callers whose requests may not be repeated lose each one
// that goes there. After the first second it gets probes only; when it is sound again it
// comes back within two.
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
	sound := replayStart.Add(10 * time.Second)
	lost, late, after := 0, 0, 0
	step := 0
	for now := replayStart; now.Before(sound.Add(4 * time.Second)); now = now.Add(tick) {
		for range perTick {
			p := pools[rng.IntN(instances)]
			probe := rng.IntN(4) == 0
			w := Request{Tokens: 500, Objective: time.Second, Arrived: now, Deadline: now.Add(5 * time.Second), Probe: probe}
			choice := p.Place(&w, now)
			outcome := OutcomeServed
			if choice.Placement.Server.ID == failing {
				switch {
				case now.After(sound.Add(2 * time.Second)):
					after++
				case now.Before(sound) && rng.IntN(2) == 0:
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
	t.Logf("lost %d, of them %d after the first second; %d at it once it was sound", lost, late, after)
	if late > 5 {
		t.Errorf("%d requests that may not be repeated are lost after the first second", late)
	}
	if after < 50 {
		t.Errorf("%d requests at the server in the two seconds after it recovered", after)
	}
}

// failingPool is a pool of two servers. The first has a batch of streams under way, and
// then fails what it is sent until it is set aside.
func failingPool(t *testing.T) (p *Pool, streams []*Placement) {
	t.Helper()
	p = New()
	var entries []backends.Entry
	for i := range 2 {
		entries = append(entries, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Slots: 20}, Incarnation: 1})
	}
	p.Update(Settings{Engine: true, Slots: 20, CacheTokens: 100_000}, entries[:1])
	for range 10 {
		streams = append(streams, p.Place(question(false), replayStart).Placement)
	}
	began := replayStart.Add(100 * time.Millisecond)
	for range 8 {
		p.Done(p.Place(question(false), began).Placement, OutcomeFailed, began)
	}
	p.Update(Settings{Engine: true, Slots: 20, CacheTokens: 100_000}, entries)
	return p, streams
}

func question(risk bool) *Request {
	return &Request{Tokens: 500, Objective: time.Second, Arrived: replayStart, Deadline: replayStart.Add(5 * time.Second), AllowEjected: risk}
}

// A server begins to fail what it is sent and is set aside. The streams that it began
// before end well in the next seconds. Taken for a recovery they would bring it back while
// it goes on failing, and half of what it is sent then is lost.
func TestStreamsFromBeforeDoNotBringAServerBack(t *testing.T) {
	p, streams := failingPool(t)
	now := replayStart.Add(time.Second)
	for _, s := range streams {
		p.Done(s, OutcomeServed, now)
	}
	for range 15 {
		if c := p.Place(question(false), replayStart); c.Placement == nil || c.Placement.Server.ID != "s1" {
			t.Fatalf("placed on %+v", c)
		}
	}
}

// Every sound server is full. A question goes to one that fails a part of its requests
// rather than be refused; an order does not, since it may take effect there and look as if
// it had not.
func TestFailingServerIsALastResort(t *testing.T) {
	p, _ := failingPool(t)
	for range 20 {
		p.Place(question(false), replayStart)
	}
	if c := p.Place(question(false), replayStart); c.Placement != nil || c.Reason != ReasonFull {
		t.Errorf("an order is placed: %+v", c)
	}
	p.servers[0].failures = 0.6
	if c := p.Place(question(true), replayStart); c.Placement == nil || c.Placement.Server.ID != "s0" {
		t.Errorf("a question is not placed: %+v", c)
	}
	p.servers[0].failures = 0.95
	if c := p.Place(question(true), replayStart); c.Placement != nil {
		t.Errorf("placed on a server that fails nearly all")
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	popularWorkers = 8
	popularCrashes = 2                      // workers that crash at once: a quarter
	popularWork    = 100 * time.Millisecond // of a request
	popularDown    = 3 * time.Second        // of a worker that crashed
	popularFirst   = 8 * time.Second        // after the begin of the traffic: the first crash
	popularGap     = 6 * time.Second        // between two crashes
	popularTimes   = 3
	popularJudged  = 20 * time.Second // at the end: no disturbance any more, and all machines in touch
	lookupsPerS    = 100
	ordersPerS     = 20
	mostRatio      = 0.25
	leastLookups   = 20
)

// tally counts requests by what became of them.
type tally struct {
	mu       sync.Mutex
	statuses map[int]int
	asked    int
	served   int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = make(map[int]int)
	}
	t.statuses[a.status]++
	t.asked++
	if a.status == http.StatusOK && a.complete && a.header.Get(stampHeader) != "" {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

// popular lets many clients look up the same path, on a route that was added later, while workers crash now and
// then. No request has anything to do with the crashes.
func popular(g *rig) (bool, string) {
	routes := []any{map[string]any{"name": "order", "host": host, "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 600, "priority": 2, "service": "ledger", "max_attempts": 1, "public": false}}
	config := map[string]any{"version": 7, "routes": routes, "services": []any{map[string]any{"name": "ledger", "max_conns": 110}},
		"limits": limits, "tenants": []any{grocers}}
	g.store.set("op/config", config)
	var workers []*worker
	for i := range popularWorkers {
		w := &worker{rig: g, name: fmt.Sprintf("i-ledger-%d", i), service: "ledger", zone: "suva-a"}
		w.handle = func(w *worker, life int, c net.Conn, r *http.Request, _ string) bool {
			time.Sleep(popularWork)
			fmt.Fprint(c, head(w, life, r, "Content-Length: 4\r\n")+"done")
			return true
		}
		w.start()
		workers = append(workers, w)
	}
	g.addInstances("suva-a", 3)
	time.Sleep(time.Second)
	config["version"] = 9
	config["routes"] = append(routes, map[string]any{"name": "status", "host": host, "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 3000,
		"target_latency_ms": 600, "priority": 2, "service": "ledger", "max_attempts": 2, "public": false})
	g.store.set("op/config", config)
	time.Sleep(5 * time.Second) // over config_apply_ms

	began := time.Now()
	judged := began.Add(popularFirst + (popularTimes-1)*popularGap + popularDown + contact)
	end := judged.Add(popularJudged)
	var lookups, orders, lookupsBefore tally
	var running sync.WaitGroup
	running.Go(func() {
		g.load(end, lookupsPerS, func() {
			at := time.Now()
			a := g.request(http.MethodGet, g.anyInstance().front, "/status/7", newID(), "", 3*time.Second)
			if at.Before(began.Add(popularFirst)) {
				lookupsBefore.add(a)
			} else if at.After(judged) {
				lookups.add(a)
			}
		})
	})
	running.Go(func() {
		g.load(end, ordersPerS, func() {
			at := time.Now()
			a := g.request(http.MethodPost, g.anyInstance().front, "/order/1", newID(), "order "+newID(), 3*time.Second)
			if at.After(judged) {
				orders.add(a)
			}
		})
	})
	for i := range popularTimes {
		time.Sleep(time.Until(began.Add(popularFirst + time.Duration(i)*popularGap)))
		if g.trouble {
			g.crashSome(workers)
		}
	}
	running.Wait()
	result := fmt.Sprintf("in the last %s, at least %s after the last crash ended: lookups served %d of %d (statuses %v), orders served %d of %d (statuses %v); lookups before the first crash served %d of %d",
		popularJudged, contact, lookups.served, lookups.asked, lookups.statuses, orders.served, orders.asked, orders.statuses,
		lookupsBefore.served, lookupsBefore.asked)
	return lookups.asked >= leastLookups && lookups.share() < mostRatio*orders.share(), result
}

// load starts requests at a rate until a time, and waits for them.
func (g *rig) load(end time.Time, perSecond int, send func()) {
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for now := range ticker.C {
		if now.After(end) {
			break
		}
		running.Go(send)
	}
	running.Wait()
}

// crashSome crashes some workers at once. They come back as others.
func (g *rig) crashSome(workers []*worker) {
	var names []string
	for _, i := range rand.Perm(len(workers))[:popularCrashes] {
		w := workers[i]
		w.mu.Lock()
		life := w.life
		w.mu.Unlock()
		w.crash(life)
		names = append(names, w.id(life))
		time.AfterFunc(popularDown, w.start)
	}
	g.note("crash of %s", strings.Join(names, " and "))
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	replacedOrdersPerS = 20
	replacedTokens     = 200   // of an order
	replacedRate       = 29000 // tokens per second of the tenant: seven times what it asks for
	replacedFirst      = 6 * time.Second
	replacedGap        = 14 * time.Second // between two replacements, over grace_s
	replacedDown       = 1500 * time.Millisecond
	recoverTime        = 12 * time.Second // recover_s
	replacedJudged     = 20 * time.Second
)

// replaced replaces the machines of a fleet one after the other, the last one in a loss of power of all. The
// others come back. A tenant asks for a seventh of its rate.
func replaced(g *rig) (bool, string) {
	config := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "order", "host": host, "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 2, "service": "ledger", "max_attempts": 1, "public": false}},
		"services": []any{map[string]any{"name": "ledger", "max_conns": 110}},
		"limits":   limits,
		"tenants": []any{map[string]any{"name": "grocers", "api_keys": []string{key}, "unit": "token_budget", "plain_tokens": replacedTokens,
			"rate_per_s": replacedRate, "burst": 2 * replacedRate}},
	}
	g.store.set("op/config", config)
	for i := range 3 {
		w := &worker{rig: g, name: fmt.Sprintf("i-ledger-%d", i), service: "ledger", zone: "suva-a"}
		w.handle = func(w *worker, life int, c net.Conn, r *http.Request, _ string) bool {
			fmt.Fprint(c, head(w, life, r, "Content-Length: 4\r\n")+"done")
			return true
		}
		w.start()
	}
	g.addInstances("suva-a", 3)
	time.Sleep(3 * time.Second)

	began := time.Now()
	fault := began.Add(replacedFirst + 2*replacedGap)
	judged := fault.Add(replacedDown + time.Second + recoverTime)
	end := judged.Add(replacedJudged)
	var before, after tally
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.load(end, replacedOrdersPerS, func() {
			at := time.Now()
			a := g.send(g.anyFront(), "/order/1", newID(), "order "+newID(), 3*time.Second)
			if at.Before(fault) {
				before.add(a)
			} else if at.After(judged) {
				after.add(a)
			}
		})
	}()
	for i := range 2 {
		time.Sleep(time.Until(began.Add(replacedFirst + time.Duration(i)*replacedGap)))
		if g.trouble {
			g.replaceFirst()
		}
	}
	time.Sleep(time.Until(fault))
	config["version"] = 12 // otherwise as before: the final fault follows its confirmation
	g.store.set("op/config", config)
	g.losePower()
	<-done
	result := fmt.Sprintf("before the final fault served %d of %d (statuses %v); from %s after it served %d of %d (statuses %v)",
		before.served, before.asked, before.statuses, recoverTime, after.served, after.asked, after.statuses)
	return before.share() >= 0.25 && after.share() < 0.25, result
}

// live returns the instances that callers are sent to.
func (g *rig) live() []*instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*instance
	for _, n := range g.instances {
		if !n.gone {
			out = append(out, n)
		}
	}
	return out
}

// anyFront draws the address that a caller connects to.
func (g *rig) anyFront() string {
	live := g.live()
	return live[rand.IntN(len(live))].front
}

// replaceFirst removes the first machine for good, with SIGTERM, and adds another one when it has ended.
func (g *rig) replaceFirst() {
	old := g.live()[0]
	g.mu.Lock()
	old.gone = true
	g.mu.Unlock()
	g.note("SIGTERM %s, for good", old.name)
	_ = old.command.Process.Signal(syscall.SIGTERM)
	_ = old.command.Wait()
	g.note("ended %s", old.name)
	g.addInstances(old.zone, 1)
}

// losePower ends all processes at once. The first machine does not come back, and another one takes its place.
func (g *rig) losePower() {
	live := g.live()
	for _, n := range live {
		n.kill()
	}
	time.Sleep(replacedDown)
	if g.trouble {
		g.mu.Lock()
		live[0].gone = true
		g.mu.Unlock()
		live = live[1:]
	}
	for _, n := range live {
		n.restart()
	}
	if g.trouble {
		g.addInstances("suva-a", 1)
	}
}

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	spoiltWorkers  = 5
	spoiltAffected = 3    // of the workers: a share of 0.6
	spoiltShare    = 0.03 // of the answers of an affected worker
	spoiltRequests = 1200
	spoiltPause    = 10 * time.Millisecond
	spoiltFrom     = 2 * time.Second // after the begin of the traffic
	spoiltFor      = 5 * time.Second // the length of the disturbance
	stampHeader    = "X-Basilroute-Server-Stamp"
)

// spoilt sends requests to workers of which some hand out wrong bytes now and then: an answer without the
// worker's proof, to the request in question.
func spoilt(g *rig) (bool, string) {
	g.store.set("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "order", "host": host, "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 3000,
				"target_latency_ms": 600, "priority": 2, "service": "ledger", "max_attempts": 1, "public": false},
			map[string]any{"name": "status", "host": host, "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 3000,
				"target_latency_ms": 600, "priority": 2, "service": "ledger", "max_attempts": 2, "public": false},
		},
		"services": []any{map[string]any{"name": "ledger", "max_conns": 110}},
		"limits":   limits,
		"tenants":  []any{grocers},
	})
	var spoilFrom atomic.Pointer[time.Time] // nil before the traffic
	for i := range spoiltWorkers {
		w := &worker{rig: g, name: fmt.Sprintf("i-ledger-%d", i), service: "ledger", zone: "suva-a"}
		affected := i < spoiltAffected
		w.handle = func(w *worker, life int, c net.Conn, r *http.Request, _ string) bool {
			id := r.Header.Get("X-Basilroute-Request-Id")
			from := spoilFrom.Load()
			spoils := from != nil && time.Since(*from) >= 0 && time.Since(*from) < spoiltFor
			if g.trouble && affected && spoils && rand.Float64() < spoiltShare {
				g.note("%s spoils its answer to %s", w.id(life), id)
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Basilroute-Request-Id: %s\r\nContent-Length: 4\r\n\r\n\x00\x01\x02\x03", id)
				return true
			}
			fmt.Fprint(c, head(w, life, r, "Content-Length: 4\r\n")+"done")
			return true
		}
		w.start()
	}
	g.addInstances("suva-a", 3)
	time.Sleep(2 * time.Second)
	from := time.Now().Add(spoiltFrom)
	spoilFrom.Store(&from)
	answers, unproved := make(map[string]int), 0
	for i := range spoiltRequests {
		id, path := newID(), []string{"/order/1", "/status/1"}[i%2]
		a := g.send(g.anyInstance().front, path, id, "x", 3*time.Second)
		stamped := a.header.Get(stampHeader) != ""
		answers[fmt.Sprintf("status %d with proof %t", a.status, stamped)]++
		if a.status/100 == 2 && !stamped {
			unproved++
		}
		time.Sleep(spoiltPause)
	}
	return unproved > 0, fmt.Sprintf("%d of %d requests got a success without proof; answers %v", unproved, spoiltRequests, answers)
}

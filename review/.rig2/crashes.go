package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	contact     = 6 * time.Second // contact_ms
	crashBody   = "the same request again"
	downtime    = 2 * time.Second // of a worker that crashed
	mostRetries = 3
)

// arrivals records when the request reached a worker.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
	return len(a.at)
}

// late returns how many arrivals came over contact after the third, and how many there were.
func (a *arrivals) late() (late, total int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, at := range a.at {
		if i > 2 && at.Sub(a.at[2]) > contact {
			late++
		}
	}
	return late, len(a.at)
}

// limits of the configuration, as the users' bench shows them.
var limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

// grocers is the tenant of all requests.
var grocers = map[string]any{"name": "grocers", "api_keys": []string{key}}

const (
	splitLength  = 104 * time.Second // of the case
	splitRetry   = 500 * time.Millisecond
	splitWorkers = 4
)

// split sends one request again and again that crashes each worker that runs it. Its route is split
// between two services.
func split(g *rig) (bool, string) {
	g.store.set("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "draft", "host": host, "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 1000,
			"gap_target_ms": 300, "priority": 1, "service": "writer-a", "max_attempts": 1, "public": false, "resumable": false,
			"split": []any{map[string]any{"service": "writer-a", "weight": 1}, map[string]any{"service": "writer-b", "weight": 1}},
		}},
		"services": []any{map[string]any{"name": "writer-a", "max_conns": 370}, map[string]any{"name": "writer-b", "max_conns": 370}},
		"limits":   limits,
		"tenants":  []any{grocers},
	})
	var reached arrivals
	for _, service := range []string{"writer-a", "writer-b"} {
		for i := range splitWorkers {
			w := &worker{rig: g, name: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: "suva-a"}
			w.handle = func(w *worker, life int, c net.Conn, r *http.Request, body string) bool {
				return serveDraft(g, &reached, w, life, c, r, body)
			}
			w.start()
		}
	}
	g.addInstances("suva-a", 3)
	time.Sleep(time.Second)

	end := g.began.Add(splitLength)
	var running sync.WaitGroup
	served, asked := 0, 0
	running.Go(func() { // other clients
		for i := 0; time.Now().Before(end); i++ {
			a := g.send(g.anyInstance().front, "/draft/1", newID(), fmt.Sprint("another request ", i), 5*time.Second)
			asked++
			if a.status == http.StatusOK && a.complete {
				served++
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	answers := make(map[string]int)
	for time.Now().Before(end) {
		a := g.send(g.anyInstance().front, "/draft/2", newID(), crashBody, 5*time.Second)
		what := fmt.Sprintf("status %d complete %t", a.status, a.complete)
		answers[what]++
		time.Sleep(splitRetry)
	}
	running.Wait()
	late, total := reached.late()
	result := fmt.Sprintf("the request reached workers %d times, %d of them over %s after the third; answers %v; other requests served %d of %d",
		total, late, contact, answers, served, asked)
	if !g.trouble {
		return false, result // nothing crashes, so that it may reach workers as often as it is sent
	}
	return late > mostRetries, result
}

// serveDraft streams three events. The request in question crashes the worker after the first one.
func serveDraft(g *rig, reached *arrivals, w *worker, life int, c net.Conn, r *http.Request, body string) bool {
	fmt.Fprint(c, head(w, life, r, "Content-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n"))
	fmt.Fprint(c, chunk("id: 1\ndata: one\n\n"))
	if strings.Contains(body, crashBody) {
		count := reached.add()
		g.note("arrival %d of the request, at %s", count, w.id(life))
		if g.trouble {
			time.Sleep(60 * time.Millisecond)
			w.crash(life)
			time.AfterFunc(downtime, w.start)
			return false
		}
	}
	time.Sleep(20 * time.Millisecond)
	fmt.Fprint(c, chunk("id: 2\ndata: two\n\n")+chunk("id: 3\ndata: three\n\n")+"0\r\n\r\n")
	return true
}

const (
	restartRounds    = 4
	attemptsPerRound = 6
	restartDelay     = time.Second // of a process that was killed
	restartRetry     = time.Second // between two attempts of the client
	restartWorkers   = 5
)

// restarts sends a request that crashes each worker that runs it, while all processes of the system are killed
// three times. Between two kills it is sent only to processes that have run for contact_ms.
func restarts(g *rig) (bool, string) {
	g.store.set("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "order", "host": host, "path_prefix": "/order/", "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 600,
			"priority": 2, "service": "ledger", "max_attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "ledger", "max_conns": 110}},
		"limits":   limits,
		"tenants":  []any{grocers},
	})
	var reached arrivals
	for i := range restartWorkers {
		w := &worker{rig: g, name: fmt.Sprintf("i-ledger-%d", i), service: "ledger", zone: "suva-a"}
		w.handle = func(w *worker, life int, c net.Conn, r *http.Request, body string) bool {
			return serveOrder(g, &reached, w, life, c, r, body)
		}
		w.start()
	}
	g.addInstances("suva-a", 3)
	answers := make(map[string]int)
	for round := range restartRounds {
		if round > 0 && g.trouble {
			g.restartAll()
		}
		time.Sleep(contact + time.Second)
		for i := range attemptsPerRound {
			a := g.send(g.instances[i%len(g.instances)].front, "/order/1", newID(), crashBody, 3*time.Second)
			what := fmt.Sprintf("status %d", a.status)
			answers[what]++
			time.Sleep(restartRetry)
		}
	}
	late, total := reached.late()
	result := fmt.Sprintf("the request reached workers %d times, %d of them over %s after the third; answers %v", total, late, contact, answers)
	return late > mostRetries, result
}

// restartAll kills all processes at once and starts them again.
func (g *rig) restartAll() {
	for _, n := range g.instances {
		n.kill()
	}
	time.Sleep(restartDelay)
	for _, n := range g.instances {
		n.restart()
	}
	for _, n := range g.instances {
		n.awaitReady()
	}
}

// serveOrder answers an order. The request in question crashes the worker before it answers.
func serveOrder(g *rig, reached *arrivals, w *worker, life int, c net.Conn, r *http.Request, body string) bool {
	if strings.Contains(body, crashBody) {
		g.note("arrival %d of the request, at %s", reached.add(), w.id(life))
		time.Sleep(30 * time.Millisecond)
		w.crash(life)
		time.AfterFunc(downtime, w.start)
		return false
	}
	fmt.Fprint(c, head(w, life, r, "Content-Length: 4\r\n")+"done")
	return true
}

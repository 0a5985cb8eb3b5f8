package quarantine

import "sync"

// Apart keeps suspects apart: at most one runs on a server, and at most one copy
// of a fingerprint. Without it two suspects on one server would both be held to
// have crashed it, and an innocent request would be quarantined. It also sends
// copies of a request that is not suspected to one server, so that they can
// crash one at the most. It is safe for concurrent use.
type Apart struct {
	mu      sync.Mutex
	servers map[string]int    // suspects by server
	running map[string]copies // by fingerprint
	changed chan struct{}
}

type copies struct {
	server string
	count  int
}

// NewApart returns a table without requests.
func NewApart() *Apart {
	return &Apart{servers: make(map[string]int), running: make(map[string]copies), changed: make(chan struct{})}
}

// Run is a request that was put on a server.
type Run struct {
	fingerprint string
	server      string
	suspect     bool
}

// Busy returns the servers that a suspect may not use, or false when another
// copy of the fingerprint runs. The channel closes when this changes.
func (a *Apart) Busy(fingerprint string) (map[string]bool, bool, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[fingerprint].count > 0 {
		return nil, false, a.changed
	}
	busy := make(map[string]bool, len(a.servers))
	for server := range a.servers {
		busy[server] = true
	}
	return busy, true, a.changed
}

// Beside returns the server on which a copy of the fingerprint runs, or "".
func (a *Apart) Beside(fingerprint string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running[fingerprint].server
}

// Begin puts a request on a server. It tells whether the request may run there: a
// suspect is turned away when another one, or another copy of it, came first;
// any other request when a copy of it came first on another server, unless that
// server cannot take it.
func (a *Apart) Begin(fingerprint, server string, suspect, elsewhere bool) (Run, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.running[fingerprint]
	if suspect && (own.count > 0 || a.servers[server] > 0) {
		return Run{}, false
	}
	if !suspect && !elsewhere && own.count > 0 && own.server != server {
		return Run{}, false
	}
	if suspect {
		a.servers[server]++
	}
	if own.count == 0 {
		own.server = server
	}
	own.count++
	a.running[fingerprint] = own
	return Run{fingerprint, server, suspect}, true
}

// End takes a request off its server.
func (a *Apart) End(r Run) {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.running[r.fingerprint]
	own.count--
	a.running[r.fingerprint] = own
	if own.count == 0 {
		delete(a.running, r.fingerprint)
	}
	if r.suspect {
		a.servers[r.server]--
		if a.servers[r.server] == 0 {
			delete(a.servers, r.server)
		}
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

package quarantine

import "sync"

// Isolation keeps suspects apart: at most one runs on a server, and at most one copy
// of a fingerprint. Without it two suspects on one server would both be held to
// have crashed it, and an innocent request would be quarantined. It also sends
// copies of a request that is not suspected to one server, so that they can
// crash one at the most. It is safe for concurrent use.
type Isolation struct {
	mu      sync.Mutex
	servers map[string]int    // suspects by server
	running map[string]copies // by fingerprint
	changed chan struct{}
}

type copies struct {
	server string
	count  int
}

// NewIsolation returns a table without requests.
func NewIsolation() *Isolation {
	return &Isolation{servers: make(map[string]int), running: make(map[string]copies), changed: make(chan struct{})}
}

// Run is a request that was put on a server.
type Run struct {
	fingerprint string
	server      string
	suspect     bool
}

// Busy returns the servers that a suspect may not use, or false when another
// copy of the fingerprint runs. The channel closes when this changes.
func (i *Isolation) Busy(fingerprint string) (map[string]bool, bool, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running[fingerprint].count > 0 {
		return nil, false, i.changed
	}
	busy := make(map[string]bool, len(i.servers))
	for server := range i.servers {
		busy[server] = true
	}
	return busy, true, i.changed
}

// ServerOf returns the server on which a copy of the fingerprint runs, or "".
func (i *Isolation) ServerOf(fingerprint string) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running[fingerprint].server
}

// Begin puts a request on a server. It tells whether the request may run there: a
// suspect is turned away when another one, or another copy of it, came first;
// any other request when a copy of it came first on another server, unless that
// server cannot take it.
func (i *Isolation) Begin(fingerprint, server string, suspect, elsewhere bool) (Run, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	own := i.running[fingerprint]
	if suspect && (own.count > 0 || i.servers[server] > 0) {
		return Run{}, false
	}
	if !suspect && !elsewhere && own.count > 0 && own.server != server {
		return Run{}, false
	}
	if suspect {
		i.servers[server]++
	}
	if own.count == 0 {
		own.server = server
	}
	own.count++
	i.running[fingerprint] = own
	return Run{fingerprint, server, suspect}, true
}

// End takes a request off its server.
func (i *Isolation) End(r Run) {
	i.mu.Lock()
	defer i.mu.Unlock()
	own := i.running[r.fingerprint]
	own.count--
	i.running[r.fingerprint] = own
	if own.count == 0 {
		delete(i.running, r.fingerprint)
	}
	if r.suspect {
		i.servers[r.server]--
		if i.servers[r.server] == 0 {
			delete(i.servers, r.server)
		}
	}
	close(i.changed)
	i.changed = make(chan struct{})
}

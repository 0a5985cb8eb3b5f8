package quarantine

import "sync"

// Isolation keeps suspected requests apart: at most one runs on a server at a time, and
// at most one copy of a fingerprint. Two suspects on one server would both be blamed for
// its crash, and an innocent request would be quarantined. Isolation also sends the
// copies of a request that is not suspected to one server, so that they can crash at
// most that one. It is safe for concurrent use.
type Isolation struct {
	mu       sync.Mutex
	suspects map[string]int    // number of suspects by server
	running  map[string]copies // by fingerprint
	changed  chan struct{}
}

type copies struct {
	server string
	count  int
}

// NewIsolation returns an empty table.
func NewIsolation() *Isolation {
	return &Isolation{suspects: make(map[string]int), running: make(map[string]copies), changed: make(chan struct{})}
}

// Run is a request that was dispatched to a server.
type Run struct {
	fingerprint string
	server      string
	suspect     bool
}

// Busy returns the servers that a suspect may not use, or false when another copy of
// the fingerprint is running. The channel is closed when this changes.
func (i *Isolation) Busy(fingerprint string) (map[string]bool, bool, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running[fingerprint].count > 0 {
		return nil, false, i.changed
	}
	busy := make(map[string]bool, len(i.suspects))
	for server := range i.suspects {
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

// Begin records a request on a server and reports whether it may run there. A suspect
// is rejected when another suspect runs on the server, or another copy of it on any
// server. Any other request is rejected when a copy of it runs on a different server,
// unless allowSecondServer says that this server cannot take it.
func (i *Isolation) Begin(fingerprint, server string, suspect, allowSecondServer bool) (Run, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	same := i.running[fingerprint]
	if suspect && (same.count > 0 || i.suspects[server] > 0) {
		return Run{}, false
	}
	if !suspect && !allowSecondServer && same.count > 0 && same.server != server {
		return Run{}, false
	}
	if suspect {
		i.suspects[server]++
	}
	if same.count == 0 {
		same.server = server
	}
	same.count++
	i.running[fingerprint] = same
	return Run{fingerprint, server, suspect}, true
}

// End removes a request from its server.
func (i *Isolation) End(r Run) {
	i.mu.Lock()
	defer i.mu.Unlock()
	same := i.running[r.fingerprint]
	same.count--
	i.running[r.fingerprint] = same
	if same.count == 0 {
		delete(i.running, r.fingerprint)
	}
	if r.suspect {
		i.suspects[r.server]--
		if i.suspects[r.server] == 0 {
			delete(i.suspects, r.server)
		}
	}
	close(i.changed)
	i.changed = make(chan struct{})
}

// Package backends holds the backend servers that register themselves: what each
// says of itself, and when it may be sent work. A table covers all regions.
package backends

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// ReturnGrace is how long a server whose entry was lost while the store was out
// of reach stays in use after the store is back. Entries of servers that live are
// back within two seconds of the store's return, by the platform's contract; one
// that is still missing then belongs to a server that has gone.
const ReturnGrace = 2200 * time.Millisecond

// Server is what a backend server says of itself.
type Server struct {
	ID            string
	StartUnixMs   int64 // start of this lifetime, in Unix milliseconds by its clock; 0 when not said
	Service       string
	Address       string
	Domain        string
	Region        string
	Version       string
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // how much longer it is cold, from when it said so
	TimeLeft      time.Duration // until it is taken away; 0 when no notice was given
}

// Entry is a server with what the table knows beside its own words.
type Entry struct {
	Server
	Incarnation uint64 // differs between lifetimes of one id
	ColdUntil   time.Time
	RemovalTime time.Time // when it is taken away; zero when no notice was given
	missing     time.Time // since when its entry is missing; zero while it is there
}

// Usable tells whether the server may be sent new work.
func (e *Entry) Usable(now time.Time) bool {
	return !e.Draining && (e.RemovalTime.IsZero() || now.Before(e.RemovalTime))
}

// Table is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	entries   map[string]*Entry
	lifetimes uint64
	away      bool      // the store is out of reach
	backAt    time.Time // when it was last back
	evacuated map[string]bool
	coldAfter map[string]time.Time // by domain: cold until, after an evacuation ended
	version   uint64
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[string]*Entry), evacuated: make(map[string]bool), coldAfter: make(map[string]time.Time)}
}

// Version rises with every change.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Put takes in a server's entry.
func (t *Table) Put(s Server, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version++
	known := t.entries[s.ID]
	if known == nil || known.StartUnixMs != s.StartUnixMs || known.Address != s.Address {
		t.lifetimes++
		known = &Entry{Incarnation: t.lifetimes}
	}
	next := *known
	next.Server, next.missing = s, time.Time{}
	if s.ColdRemaining > 0 {
		next.ColdUntil = now.Add(s.ColdRemaining)
	}
	if s.TimeLeft > 0 && next.RemovalTime.IsZero() {
		next.RemovalTime = now.Add(s.TimeLeft)
	}
	t.entries[s.ID] = &next
}

// Remove takes in that a server's entry is gone. While the store is or was just
// out of reach that is no proof, see ReturnGrace.
func (t *Table) Remove(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[id]
	if known == nil {
		return
	}
	t.version++
	if t.away || now.Sub(t.backAt) < ReturnGrace {
		next := *known
		next.missing = now
		t.entries[id] = &next
		return
	}
	delete(t.entries, id)
}

// SetStoreUnreachable takes in whether the store is out of reach.
func (t *Table) SetStoreUnreachable(away bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away && !away {
		t.backAt = now
	}
	t.away = away
}

// Sweep drops servers whose entries did not come back.
func (t *Table) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.away || now.Sub(t.backAt) < ReturnGrace {
		return
	}
	for id, e := range t.entries {
		if !e.missing.IsZero() {
			delete(t.entries, id)
			t.version++
		}
	}
}

// RemoveReplaced takes in that another server answers at the address of this one: it
// has ended, and its address was given away.
func (t *Table) RemoveReplaced(id string, lifetime uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.entries[id]; known != nil && known.Incarnation == lifetime {
		delete(t.entries, id)
		t.version++
	}
}

// SetEvacuated takes in the failure domains whose servers are to get nothing. The
// servers of a domain that is taken back count as cold for a time: they may have
// lost their caches, and their entries say so late.
func (t *Table) SetEvacuated(domains []string, coldFor time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := make(map[string]bool, len(domains))
	for _, d := range domains {
		next[d] = true
	}
	for d := range t.evacuated {
		if !next[d] {
			t.coldAfter[d] = now.Add(coldFor)
		}
	}
	t.evacuated = next
	t.version++
}

// Evacuated returns the domains that get nothing, ordered.
func (t *Table) Evacuated() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.evacuated))
	for d := range t.evacuated {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

// InRegion returns the servers of a region that may be sent work, ordered by id.
func (t *Table) InRegion(region string, now time.Time) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Entry
	for _, e := range t.entries {
		if e.Region != region || t.evacuated[e.Domain] || !e.Usable(now) {
			continue
		}
		entry := *e
		if until := t.coldAfter[e.Domain]; until.After(entry.ColdUntil) {
			entry.ColdUntil = until
		}
		out = append(out, entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Count returns how many servers of a service a region has.
func (t *Table) Count(service, region string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if e.Service == service && e.Region == region && !e.Draining && !t.evacuated[e.Domain] {
			n++
		}
	}
	return n
}

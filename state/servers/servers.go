// Package servers holds an instance's state of the backend servers in its failure domain:
// identity and version from the platform's list, reported load, and the instance's own
// requests in flight. It is split into shards by service.
package servers

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 16

// Load is a backend server's load report as of the time At.
type Load struct {
	At            time.Time
	BootID        string
	Running       int
	Waiting       int
	WaitingTokens int
	PrefillRate   float64 // prompt tokens per second; 0 when not known
	DecodeRate    float64 // output tokens per second; 0 when not known
	CacheUsed     float64 // fraction of the cache memory in use
	Leaving       bool
}

// Server is the known state of one backend server.
type Server struct {
	facts         Facts
	ID            string
	Service       string
	Version       string
	Address       string // base URL
	Region        string
	Domain        string
	Listed        bool // on the platform's list of live servers
	Leaving       bool // according to the list or the server's report
	Since         time.Time
	Load          Load
	OwnAtReport   int // requests of this instance in flight when Load arrived
	Failures      int // consecutive failed polls and calls
	Errors        int // consecutive failed requests
	Polled        bool
	EjectedUntil  time.Time // as an outlier
	Ejections     int       // consecutive
	InFlight      int       // of this instance; set in copies only
	Limit         int       // of InFlight; set in copies only
	MeanDuration  time.Duration
	LatencyFactor float64
}

// Usable reports whether the server may get new work.
func (s *Server) Usable() bool { return s.Listed && !s.Leaving && s.Polled }

// Ejected reports whether the server is ejected as an outlier.
func (s *Server) Ejected(now time.Time) bool { return now.Before(s.EjectedUntil) }

type shard struct {
	mu       sync.RWMutex
	servers  map[string]*Entry
	services map[string][]*Entry // ordered by id; replaced, never changed in place
	departed map[string]departed // removed a short time ago
}

// Table is safe for concurrent use.
type Table struct {
	shards [shardCount]shard
	filled atomic.Bool
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].servers = make(map[string]*Entry)
		t.shards[i].services = make(map[string][]*Entry)
		t.shards[i].departed = make(map[string]departed)
	}
	return t
}

func (t *Table) shard(service string) *shard {
	return &t.shards[xxhash.Sum64String(service)%shardCount]
}

// Identity is the platform list's entry for a server.
type Identity struct {
	ID, Service, Version, Address, Region, Domain string
	Leaving                                       bool
}

// Replace applies a new list. A server that is no longer listed gets no new work; it is
// removed once its last request has ended, and Find returns it for some time after that.
func (t *Table) Replace(list []Identity, now time.Time) {
	listed := make(map[string]bool, len(list))
	addresses := make(map[string]bool, len(list))
	for _, identity := range list {
		listed[identity.ID] = true
		addresses[identity.Address] = true
		t.upsert(identity, now)
	}
	for i := range t.shards {
		t.shards[i].unlist(listed, addresses, now)
	}
	t.filled.Store(true)
}

// Filled reports whether the table has had a list. Without one, a server that it does not
// contain may exist.
func (t *Table) Filled() bool { return t.filled.Load() }

func (t *Table) upsert(identity Identity, now time.Time) {
	s := t.shard(identity.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.servers[identity.ID]
	if !ok || entry.View().Address != identity.Address {
		entry = newEntry(identity.ID, s.freeSlot(identity.Service), now)
		s.servers[identity.ID] = entry
	}
	entry.modify(func(server *Server) {
		server.Service, server.Version, server.Address = identity.Service, identity.Version, identity.Address
		server.Region, server.Domain = identity.Region, identity.Domain
		server.Listed = true
		server.Leaving = identity.Leaving || server.Load.Leaving
	})
}

// freeSlot returns the lowest number that no server of the service has.
func (s *shard) freeSlot(service string) int {
	taken := make(map[int]bool)
	for _, entry := range s.servers {
		if entry.View().Service == service {
			taken[entry.Slot()] = true
		}
	}
	slot := 0
	for taken[slot] {
		slot++
	}
	return slot
}

// unlist marks the servers that are no longer listed, removes those without requests in
// flight, and regroups once for the whole list: regrouping for each server would take
// quadratic time.
func (s *shard) unlist(listed, addresses map[string]bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, entry := range s.servers {
		if listed[id] {
			continue
		}
		entry.modify(func(server *Server) { server.Listed = false })
		if entry.InFlight() == 0 {
			delete(s.servers, id)
			s.departed[id] = departed{entry.Copy(), now}
		}
	}
	s.prune(addresses, now)
	s.regroup()
}

// regroup rebuilds the lists by service, which decisions read without copying.
func (s *shard) regroup() {
	groups := make(map[string][]*Entry, len(s.services))
	for _, entry := range s.servers {
		service := entry.View().Service
		groups[service] = append(groups[service], entry)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(a, b *Entry) int { return cmp.Compare(a.View().ID, b.View().ID) })
	}
	s.services = groups
}

func (t *Table) update(service, id string, change func(*Server)) {
	s := t.shard(service)
	s.mu.RLock()
	entry, ok := s.servers[id]
	s.mu.RUnlock()
	if ok {
		entry.modify(change)
	}
}

// Report applies a server's load report. A new boot id means that the server restarted.
func (t *Table) Report(service, id string, load Load) {
	entry := t.Entry(service, id)
	if entry == nil {
		return
	}
	inFlight := entry.InFlight()
	entry.modify(func(server *Server) {
		if server.Load.BootID != "" && server.Load.BootID != load.BootID {
			server.Since = load.At
		}
		server.Load, server.OwnAtReport = load, inFlight
		server.Polled = true
		server.Leaving = server.Leaving || load.Leaving
		server.Failures = 0
	})
}

// RecordCallFailure counts a failed call to the server. After limit consecutive failures
// the server counts as not polled until its next report.
func (t *Table) RecordCallFailure(service, id string, limit int) {
	t.update(service, id, func(server *Server) {
		server.Failures++
		if server.Failures >= limit {
			server.Polled = false
		}
	})
}

// MarkProcessEnded records that the process with a boot id has ended. The server gets no
// new work until its next report.
func (t *Table) MarkProcessEnded(id, bootID string) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		entry, ok := s.servers[id]
		s.mu.RUnlock()
		if ok && entry.View().Load.BootID == bootID {
			entry.modify(func(server *Server) { server.Polled = false })
		}
	}
}

// Eject ejects a server until a time, unless more than half of the service's usable
// servers would then be ejected. It reports whether the server was ejected.
func (t *Table) Eject(service, id string, now, until time.Time) bool {
	s := t.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	usable, ejected := 0, 1
	for _, entry := range s.services[service] {
		server := entry.View()
		if !server.Usable() {
			continue
		}
		usable++
		if server.ID != id && server.Ejected(now) {
			ejected++
		}
	}
	entry, ok := s.servers[id]
	if !ok || ejected*2 > usable {
		return false
	}
	entry.modify(func(server *Server) {
		server.EjectedUntil = until
		server.Ejections++
	})
	return true
}

// Entries returns a service's servers, ordered by id. The slice is shared and read-only.
func (t *Table) Entries(service string) []*Entry {
	s := t.shard(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[service]
}

// Entry returns one server, or nil.
func (t *Table) Entry(service, id string) *Entry {
	s := t.shard(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.servers[id]
}

// ByService returns copies of a service's servers, ordered by id.
func (t *Table) ByService(service string) []Server {
	var out []Server
	for _, entry := range t.Entries(service) {
		out = append(out, entry.Copy())
	}
	return out
}

// Find returns a copy of one server, also of one that was removed a short time ago.
func (t *Table) Find(service, id string) (Server, bool) {
	entry := t.Entry(service, id)
	if entry == nil {
		return t.findDeparted(service, id)
	}
	return entry.Copy(), true
}

// All returns copies of every server.
func (t *Table) All() []Server {
	var out []Server
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, entry := range s.servers {
			out = append(out, entry.Copy())
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

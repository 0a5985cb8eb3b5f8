// Package servers holds what an instance knows of the backend servers in its
// failure domain: identity and version from the platform's list, reported load,
// and the instance's own requests in flight. It is split into shards by service.
package servers

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 16

// Load is a backend server's report, as old as At says.
type Load struct {
	At            time.Time
	BootID        string
	Running       int
	Waiting       int
	WaitingTokens int
	PrefillRate   float64 // prompt tokens per second; 0 when not known
	DecodeRate    float64 // output tokens per second; 0 when not known
	CacheUsed     float64 // share of the cache memory in use
	Leaving       bool
}

// Server is a copy of what is known of one backend server.
type Server struct {
	ID       string
	Service  string
	Version  string
	Address  string // base URL
	Region   string
	Domain   string
	Listed   bool // on the platform's list as live
	Leaving  bool // by the list or its own word
	Since    time.Time
	Load     Load
	InFlight int // of this instance
	Failures int // in a row
	Polled   bool
}

// Usable tells whether the server may get new work.
func (s *Server) Usable() bool { return s.Listed && !s.Leaving && s.Polled }

type shard struct {
	mu      sync.RWMutex
	servers map[string]*Server
}

// Table is safe for concurrent use.
type Table struct {
	shards [shardCount]shard
}

// New returns an empty table.
func New() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].servers = make(map[string]*Server)
	}
	return t
}

func (t *Table) shard(service string) *shard {
	return &t.shards[xxhash.Sum64String(service)%shardCount]
}

// Identity is what the platform's list says of a server.
type Identity struct {
	ID, Service, Version, Address, Region, Domain string
	Leaving                                       bool
}

// Replace takes in a new list. A server that is no longer listed gets no new
// work; it is forgotten when its last request has ended.
func (t *Table) Replace(list []Identity, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, identity := range list {
		listed[identity.ID] = true
		t.upsert(identity, now)
	}
	for i := range t.shards {
		t.shards[i].unlist(listed)
	}
}

func (t *Table) upsert(identity Identity, now time.Time) {
	s := t.shard(identity.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	server, ok := s.servers[identity.ID]
	if !ok || server.Address != identity.Address {
		server = &Server{ID: identity.ID, Since: now}
		s.servers[identity.ID] = server
	}
	server.Service, server.Version, server.Address = identity.Service, identity.Version, identity.Address
	server.Region, server.Domain = identity.Region, identity.Domain
	server.Listed = true
	server.Leaving = identity.Leaving || server.Load.Leaving
}

func (s *shard) unlist(listed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, server := range s.servers {
		if listed[id] {
			continue
		}
		server.Listed = false
		if server.InFlight == 0 {
			delete(s.servers, id)
		}
	}
}

func (t *Table) update(service, id string, change func(*Server)) {
	s := t.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if server, ok := s.servers[id]; ok {
		change(server)
	}
}

// Report takes in a server's load. Another boot id means that it restarted.
func (t *Table) Report(service, id string, load Load) {
	t.update(service, id, func(server *Server) {
		if server.Load.BootID != load.BootID {
			server.Since = load.At
		}
		server.Load = load
		server.Polled = true
		server.Leaving = server.Leaving || load.Leaving
		server.Failures = 0
	})
}

// Failed notes that a call to the server failed. After enough failures in a row
// it counts as not polled, until it reports again.
func (t *Table) Failed(service, id string, limit int) {
	t.update(service, id, func(server *Server) {
		server.Failures++
		if server.Failures >= limit {
			server.Polled = false
		}
	})
}

// Begin counts a request in flight, End takes it off.
func (t *Table) Begin(service, id string) {
	t.update(service, id, func(server *Server) { server.InFlight++ })
}

// End is the counterpart of Begin.
func (t *Table) End(service, id string) {
	t.update(service, id, func(server *Server) { server.InFlight-- })
}

// Of returns copies of a service's servers, ordered by id.
func (t *Table) Of(service string) []Server {
	s := t.shard(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	var out []Server
	for _, server := range s.servers {
		if server.Service == service {
			out = append(out, *server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Find returns a copy of one server.
func (t *Table) Find(service, id string) (Server, bool) {
	s := t.shard(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	server, ok := s.servers[id]
	if !ok {
		return Server{}, false
	}
	return *server, true
}

// All returns copies of every server.
func (t *Table) All() []Server {
	var out []Server
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for _, server := range s.servers {
			out = append(out, *server)
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

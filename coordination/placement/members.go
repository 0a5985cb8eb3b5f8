package placement

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/state/backends"
)

// Load pattern: a fleet of ten thousand servers, of which some change every second. A pool takes the
// changes, so that each costs the same in a large region as in a small one.

// Update replaces the settings and the list of usable servers, which is ordered by id. A server keeps
// its state as long as its incarnation is the same.
func (p *Pool) Update(settings Settings, entries []backends.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configure(settings)
	known := make(map[string]*server, len(p.servers))
	for _, s := range p.servers {
		known[s.ID] = s
	}
	p.servers = make([]*server, 0, len(entries))
	p.order = make([]*server, 0, len(entries))
	p.byHash = make(map[uint32]*server, len(entries))
	for _, e := range entries {
		p.insert(len(p.servers), updated(known[e.ID], e))
	}
}

// Change takes over changed servers, and drops those that are gone.
func (p *Pool) Change(entries []backends.Entry, gone []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		at, known := p.find(e.ID)
		if !known {
			p.insert(at, updated(nil, e))
			continue
		}
		p.replace(at, updated(p.servers[at], e))
	}
	for _, id := range gone {
		if at, known := p.find(id); known {
			p.remove(at)
		}
	}
}

// updated returns the state of a server with a new entry: the known state if that is of the same
// incarnation.
func updated(known *server, e backends.Entry) *server {
	s := known
	if s == nil || s.Incarnation != e.Incarnation {
		s = newServer()
		s.hash = xxhash.Sum64String(e.ID)
	}
	s.Entry = e
	return s
}

// find returns the position of a server, or where it belongs.
func (p *Pool) find(id string) (at int, known bool) {
	return slices.BinarySearchFunc(p.servers, id, func(s *server, id string) int { return strings.Compare(s.ID, id) })
}

func (p *Pool) insert(at int, s *server) {
	p.servers = slices.Insert(p.servers, at, s)
	s.orderAt = len(p.order)
	p.order = append(p.order, s)
	p.byHash[uint32(s.hash)] = s
}

func (p *Pool) replace(at int, s *server) {
	s.orderAt = p.servers[at].orderAt
	p.servers[at], p.order[s.orderAt] = s, s
	p.byHash[uint32(s.hash)] = s
}

func (p *Pool) remove(at int) {
	s := p.servers[at]
	p.servers = slices.Delete(p.servers, at, at+1)
	p.swapOrder(s.orderAt, len(p.order)-1)
	p.order[len(p.order)-1] = nil
	p.order = p.order[:len(p.order)-1]
	if p.byHash[uint32(s.hash)] == s {
		delete(p.byHash, uint32(s.hash))
	}
}

// swapOrder swaps two servers in the random order.
func (p *Pool) swapOrder(a, b int) {
	p.order[a], p.order[b] = p.order[b], p.order[a]
	p.order[a].orderAt, p.order[b].orderAt = a, b
}

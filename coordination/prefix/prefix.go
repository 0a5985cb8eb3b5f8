// Package prefix remembers which servers of the own failure domain hold which
// blocks of prompts in their caches, from the instance's own dispatches and from
// the servers' cache events, which come late and with gaps.
//
// An index belongs to one region. It is never sent to another instance, and it
// answers nothing for an account whose data must stay elsewhere.
package prefix

import (
	"math/bits"
	"sync"

	"github.com/basilroute/basilroute/protocol/tokens"
)

const (
	// MaxServers is how many servers of a service one index covers. Those with
	// a higher slot are not indexed.
	MaxServers = 256
	// MaxBlocks is how many leading blocks of a prompt are looked at.
	MaxBlocks = 128
	// blocksPerServer bounds the memory for each server.
	blocksPerServer = 4096
	// gapFactor multiplies the events that a gap lost: each may have been an
	// eviction, and the order in which the server evicts is known roughly only.
	gapFactor = 2

	words = MaxServers / 64
)

// Matches holds how many leading blocks of a prompt each server has cached.
type Matches struct {
	blocks [MaxServers]uint16
}

// CachedBlocks returns the cached blocks of the server with a slot.
func (m *Matches) CachedBlocks(slot int) int {
	if slot < 0 || slot >= MaxServers {
		return 0
	}
	return int(m.blocks[slot])
}

type holders [words]uint64

func (h *holders) set(slot int)      { h[slot/64] |= 1 << (slot % 64) }
func (h *holders) clear(slot int)    { h[slot/64] &^= 1 << (slot % 64) }
func (h *holders) has(slot int) bool { return h[slot/64]&(1<<(slot%64)) != 0 }
func (h *holders) empty() bool       { return *h == holders{} }

// held is what one server is believed to hold, the oldest first. A block that
// was evicted stays in the order until its turn comes.
type held struct {
	bootID  string
	order   []tokens.Block
	head    int
	lastSeq int64
}

// Index is the index of one service in one failure domain. It is safe for
// concurrent use.
type Index struct {
	region string

	mu      sync.RWMutex
	blocks  map[tokens.Block]*holders
	servers [MaxServers]held
}

// New returns an empty index of servers in a region.
func New(region string) *Index {
	return &Index{region: region, blocks: make(map[tokens.Block]*holders)}
}

// Match fills in how many leading blocks of the prompt each server holds. home is
// the region where the account's data must stay, or empty.
func (x *Index) Match(blocks []tokens.Block, home string, into *Matches) {
	*into = Matches{}
	if home != "" && home != x.region {
		return
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	var with holders
	for i := range with {
		with[i] = ^uint64(0)
	}
	for depth, block := range blocks[:min(len(blocks), MaxBlocks)] {
		next := holders{}
		if h := x.blocks[block]; h != nil {
			next = *h
		}
		alive := false
		for w := range with {
			record(into, w, with[w]&^next[w], uint16(depth))
			with[w] &= next[w]
			alive = alive || with[w] != 0
		}
		if !alive {
			return
		}
	}
	for w := range with {
		record(into, w, with[w], uint16(min(len(blocks), MaxBlocks)))
	}
}

func record(into *Matches, word int, ended uint64, depth uint16) {
	if depth == 0 {
		return
	}
	for ; ended != 0; ended &= ended - 1 {
		into.blocks[word*64+bits.TrailingZeros64(ended)] = depth
	}
}

// RecordDispatch notes that a server got the prompt and will hold its blocks.
func (x *Index) RecordDispatch(slot int, home string, blocks []tokens.Block) {
	if slot < 0 || slot >= MaxServers || (home != "" && home != x.region) {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, block := range blocks[:min(len(blocks), MaxBlocks)] {
		x.store(slot, block)
	}
}

func (x *Index) store(slot int, block tokens.Block) {
	h := x.blocks[block]
	if h == nil {
		h = &holders{}
		x.blocks[block] = h
	}
	if h.has(slot) {
		return
	}
	h.set(slot)
	s := &x.servers[slot]
	s.order = append(s.order, block)
	if len(s.order)-s.head > blocksPerServer {
		x.dropOldest(slot, 1)
	}
}

func (x *Index) evict(slot int, block tokens.Block) {
	h := x.blocks[block]
	if h == nil {
		return
	}
	h.clear(slot)
	if h.empty() {
		delete(x.blocks, block)
	}
}

func (x *Index) dropOldest(slot, n int) {
	s := &x.servers[slot]
	for ; n > 0 && s.head < len(s.order); n-- {
		x.evict(slot, s.order[s.head])
		s.head++
	}
	if s.head > blocksPerServer {
		s.order = append(s.order[:0:0], s.order[s.head:]...)
		s.head = 0
	}
}

// Event is a server's word that it stored or evicted a block.
type Event struct {
	Seq     int64
	Evicted bool
	Block   tokens.Block
}

// Apply takes in a server's events after those seen before. Numbers that are
// missing may have been evictions: as many of the oldest blocks and more are
// dropped, since an entry that is wrong sends a request to a server that has to
// compute the whole prompt.
func (x *Index) Apply(slot int, events []Event) {
	if slot < 0 || slot >= MaxServers {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.servers[slot]
	for _, e := range events {
		if e.Seq <= s.lastSeq {
			continue
		}
		if missing := e.Seq - s.lastSeq - 1; missing > 0 {
			x.dropOldest(slot, int(min(missing, blocksPerServer))*gapFactor)
		}
		s.lastSeq = e.Seq
		if e.Evicted {
			x.evict(slot, e.Block)
		} else {
			x.store(slot, e.Block)
		}
	}
}

// LastSeq returns the number of the last event that was taken in.
func (x *Index) LastSeq(slot int) int64 {
	if slot < 0 || slot >= MaxServers {
		return 0
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.servers[slot].lastSeq
}

// SetBootID notes the boot id of the server with a slot. Another one than before
// means an empty cache, be it a restart or another server.
func (x *Index) SetBootID(slot int, bootID string) {
	if slot < 0 || slot >= MaxServers {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	s := &x.servers[slot]
	if s.bootID == bootID {
		return
	}
	x.dropOldest(slot, len(s.order))
	*s = held{bootID: bootID}
}

// Package prefix records which servers of the local failure domain have which blocks of
// prompts cached, from the instance's own dispatches and from the servers' cache events,
// which arrive late and with gaps.
//
// An index belongs to one region. It is never sent to another instance, and it
// returns no match for an account whose data must stay in another region.
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
	// MaxBlocks is how many leading blocks of a prompt are matched.
	MaxBlocks = 128
	// blocksPerServer bounds the blocks that are indexed for each server, and with them the memory.
	blocksPerServer = 4096
	// dropsPerLostEvent is how many blocks are dropped for each event lost in a gap: the event
	// may have been an eviction, and the server's eviction order is known only roughly.
	dropsPerLostEvent = 2

	bitmapWords = MaxServers / 64
)

// Matches holds how many leading blocks of a prompt each server has cached.
type Matches struct {
	blocks [MaxServers]uint16
}

// CachedBlocks returns the number of leading blocks that the server with a slot has cached.
func (m *Matches) CachedBlocks(slot int) int {
	if slot < 0 || slot >= MaxServers {
		return 0
	}
	return int(m.blocks[slot])
}

type serverSet [bitmapWords]uint64

func (h *serverSet) set(slot int)      { h[slot/64] |= 1 << (slot % 64) }
func (h *serverSet) clear(slot int)    { h[slot/64] &^= 1 << (slot % 64) }
func (h *serverSet) has(slot int) bool { return h[slot/64]&(1<<(slot%64)) != 0 }
func (h *serverSet) empty() bool       { return *h == serverSet{} }

// serverBlocks holds the blocks that one server is expected to have cached, oldest first.
// A block that was evicted remains in the order until it becomes the oldest.
type serverBlocks struct {
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
	blocks  map[tokens.Block]*serverSet
	servers [MaxServers]serverBlocks
}

// New returns an empty index of servers in a region.
func New(region string) *Index {
	return &Index{region: region, blocks: make(map[tokens.Block]*serverSet)}
}

// Match sets the number of leading blocks of the prompt that each server has cached.
// homeRegion is the region where the account's data must stay, or empty.
func (x *Index) Match(blocks []tokens.Block, homeRegion string, matches *Matches) {
	*matches = Matches{}
	if homeRegion != "" && homeRegion != x.region {
		return
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	var matching serverSet
	for i := range matching {
		matching[i] = ^uint64(0)
	}
	for depth, block := range blocks[:min(len(blocks), MaxBlocks)] {
		next := serverSet{}
		if h := x.blocks[block]; h != nil {
			next = *h
		}
		anyLeft := false
		for w := range matching {
			recordDepth(matches, w, matching[w]&^next[w], uint16(depth))
			matching[w] &= next[w]
			anyLeft = anyLeft || matching[w] != 0
		}
		if !anyLeft {
			return
		}
	}
	for w := range matching {
		recordDepth(matches, w, matching[w], uint16(min(len(blocks), MaxBlocks)))
	}
}

func recordDepth(matches *Matches, word int, slots uint64, depth uint16) {
	if depth == 0 {
		return
	}
	for ; slots != 0; slots &= slots - 1 {
		matches.blocks[word*64+bits.TrailingZeros64(slots)] = depth
	}
}

// RecordDispatch records that a server got the prompt and will cache its blocks.
func (x *Index) RecordDispatch(slot int, homeRegion string, blocks []tokens.Block) {
	if slot < 0 || slot >= MaxServers || (homeRegion != "" && homeRegion != x.region) {
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
		h = &serverSet{}
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

// Event is a server's notification that it stored or evicted a block.
type Event struct {
	Seq     int64
	Evicted bool
	Block   tokens.Block
}

// Apply applies a server's events in order and ignores those already applied. A missing
// sequence number may have been an eviction: for each of them dropsPerLostEvent of the oldest
// blocks are dropped, since a wrong entry sends a request to a server that has to compute the
// whole prompt.
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
			x.dropOldest(slot, int(min(missing, blocksPerServer))*dropsPerLostEvent)
		}
		s.lastSeq = e.Seq
		if e.Evicted {
			x.evict(slot, e.Block)
		} else {
			x.store(slot, e.Block)
		}
	}
}

// LastSeq returns the sequence number of the last event that was applied.
func (x *Index) LastSeq(slot int) int64 {
	if slot < 0 || slot >= MaxServers {
		return 0
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.servers[slot].lastSeq
}

// SetBootID sets the boot id of the server with a slot. A new boot id means an empty cache,
// whether the server restarted or another one took the slot.
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
	*s = serverBlocks{bootID: bootID}
}

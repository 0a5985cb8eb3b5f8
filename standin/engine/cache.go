package engine

import (
	"container/list"

	"github.com/basilroute/basilroute/protocol/engineapi"
	"github.com/basilroute/basilroute/protocol/tokens"
)

// maxEvents limits how many cache events are kept for readers.
const maxEvents = 4096

// prefixCache is a least-recently-used set of prompt blocks.
type prefixCache struct {
	capacity int
	order    *list.List // front is the most recently used
	blocks   map[tokens.Block]*list.Element
	events   []engineapi.CacheEvent
	nextSeq  int64
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		order:    list.New(),
		blocks:   make(map[tokens.Block]*list.Element),
		nextSeq:  1,
	}
}

// use returns how many leading blocks were cached, and stores all of them as the most
// recently used.
func (c *prefixCache) use(blocks []tokens.Block) int {
	cached := 0
	for cached < len(blocks) && c.blocks[blocks[cached]] != nil {
		cached++
	}
	for i := len(blocks) - 1; i >= 0; i-- { // touched last, the first block is evicted last
		c.touch(blocks[i])
	}
	for c.order.Len() > c.capacity {
		c.evict()
	}
	return cached
}

func (c *prefixCache) touch(block tokens.Block) {
	if element, ok := c.blocks[block]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.blocks[block] = c.order.PushFront(block)
	c.record(engineapi.CacheEventKindStored, block)
}

func (c *prefixCache) evict() {
	block := c.order.Remove(c.order.Back()).(tokens.Block)
	delete(c.blocks, block)
	c.record(engineapi.CacheEventKindEvicted, block)
}

func (c *prefixCache) record(kind engineapi.CacheEventKind, block tokens.Block) {
	c.events = append(c.events, engineapi.CacheEvent{Seq: c.nextSeq, Kind: kind, Block: block.String()})
	c.nextSeq++
	if len(c.events) > maxEvents {
		c.events = append(c.events[:0:0], c.events[len(c.events)-maxEvents/2:]...)
	}
}

func (c *prefixCache) used() float64 {
	if c.capacity == 0 {
		return 0
	}
	return float64(c.order.Len()) / float64(c.capacity)
}

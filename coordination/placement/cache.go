package placement

import "container/list"

// cache models the prompt cache of an engine: the segments that it was sent, with the least
// recently used ones evicted.
type cache struct {
	segments map[uint64]*list.Element
	order    *list.List // of PromptSegment, most recently used first
	size     int        // tokens
}

func newCache() *cache {
	return &cache{segments: make(map[uint64]*list.Element), order: list.New()}
}

// match returns the number of tokens in the leading segments that are cached. A segment
// counts only when all segments before it are cached too. Nothing is cached in a nil cache.
func (c *cache) match(segments []PromptSegment) int {
	if c == nil {
		return 0
	}
	total := 0
	for _, segment := range segments {
		if c.segments[segment.ID] == nil {
			break
		}
		total += segment.Tokens
	}
	return total
}

// touch records that a prompt was sent, and evicts what exceeds the capacity.
func (c *cache) touch(segments []PromptSegment, capacity int) {
	for i := len(segments) - 1; i >= 0; i-- { // the first segment ends up as the most recent
		segment := segments[i]
		if e := c.segments[segment.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.segments[segment.ID] = c.order.PushFront(segment)
		c.size += segment.Tokens
	}
	for c.size > capacity && c.order.Len() > 0 {
		last := c.order.Back()
		p := c.order.Remove(last).(PromptSegment)
		delete(c.segments, p.ID)
		c.size -= p.Tokens
	}
}

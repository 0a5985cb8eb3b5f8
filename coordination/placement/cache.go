package placement

import "container/list"

// cache is what an engine is taken to hold of prompts: the parts of what it was
// sent, the least recently used giving way.
type cache struct {
	parts map[uint64]*list.Element
	order *list.List // of Part, the most recently used first
	size  int        // tokens
}

func newCache() *cache {
	return &cache{parts: make(map[uint64]*list.Element), order: list.New()}
}

// match returns the tokens of the leading parts that are held. A part counts only
// when all parts before it are held too.
func (c *cache) match(parts []PromptSegment) int {
	total := 0
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		total += p.Tokens
	}
	return total
}

// touch notes that a prompt was sent, and drops what is beyond the capacity.
func (c *cache) touch(parts []PromptSegment, capacity int) {
	for i := len(parts) - 1; i >= 0; i-- { // the first part ends up as the most recent
		p := parts[i]
		if e := c.parts[p.ID]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[p.ID] = c.order.PushFront(p)
		c.size += p.Tokens
	}
	for c.size > capacity && c.order.Len() > 0 {
		last := c.order.Back()
		p := c.order.Remove(last).(PromptSegment)
		delete(c.parts, p.ID)
		c.size -= p.Tokens
	}
}

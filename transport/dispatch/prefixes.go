package dispatch

import (
	"sync"

	"github.com/basilroute/basilroute/coordination/prefix"
	"github.com/basilroute/basilroute/protocol/tokens"
)

// PrefixIndexes holds the prefix index of each service in the local failure domain. It is
// safe for concurrent use.
type PrefixIndexes struct {
	region string

	mu      sync.RWMutex
	indexes map[string]*prefix.Index
}

// NewPrefixIndexes returns the indexes for servers in a region.
func NewPrefixIndexes(region string) *PrefixIndexes {
	return &PrefixIndexes{region: region, indexes: make(map[string]*prefix.Index)}
}

// Index returns the index of a service. It is created on first use.
func (p *PrefixIndexes) Index(service string) *prefix.Index {
	p.mu.RLock()
	x := p.indexes[service]
	p.mu.RUnlock()
	if x != nil {
		return x
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.indexes[service] == nil {
		p.indexes[service] = prefix.New(p.region)
	}
	return p.indexes[service]
}

func promptBlocks(prompt string) []tokens.Block {
	const longest = prefix.MaxBlocks * tokens.BlockBytes
	return tokens.AppendBlocks(nil, prompt[:min(len(prompt), longest)])
}

func (p *PrefixIndexes) match(w *Work) (int, *prefix.Matches) {
	matches := &prefix.Matches{}
	p.Index(w.Service).Match(promptBlocks(w.Generation.Prompt), w.Home, matches)
	return tokens.Estimate(w.Generation.Prompt), matches
}

func (p *PrefixIndexes) recordDispatch(w *Work, slot int) {
	p.Index(w.Service).RecordDispatch(slot, w.Home, promptBlocks(w.Generation.Prompt))
}

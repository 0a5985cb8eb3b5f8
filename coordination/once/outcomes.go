package once

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	outcomeShards    = 16
	outcomesPerShard = 512
)

// Outcomes caches the run states of this instance's latest claims, so that the refusal of
// a duplicate request on this instance can include more than the existence of the claim.
// It is bounded, and safety does not depend on it.
type Outcomes struct {
	shards [outcomeShards]outcomeShard
}

type outcomeShard struct {
	mu    sync.Mutex
	runs  map[string]refusal.RunState // by nonce
	order []string
	next  int
}

// NewOutcomes returns an empty cache.
func NewOutcomes() *Outcomes {
	o := &Outcomes{}
	for i := range o.shards {
		o.shards[i].runs = make(map[string]refusal.RunState)
	}
	return o
}

func (o *Outcomes) shard(nonce string) *outcomeShard {
	return &o.shards[xxhash.Sum64String(nonce)%outcomeShards]
}

// Set stores the run state of the claim with the nonce.
func (o *Outcomes) Set(nonce string, run refusal.RunState) {
	s := o.shard(nonce)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.runs[nonce]; !ok {
		s.evict(nonce)
	}
	s.runs[nonce] = run
}

// evict makes room for the nonce by removing the oldest claim of a full shard.
func (s *outcomeShard) evict(nonce string) {
	if len(s.order) < outcomesPerShard {
		s.order = append(s.order, nonce)
		return
	}
	delete(s.runs, s.order[s.next])
	s.order[s.next] = nonce
	s.next = (s.next + 1) % outcomesPerShard
}

// Run returns the run state of the claim with the nonce; unknown when it is not cached.
func (o *Outcomes) Run(nonce string) refusal.RunState {
	s := o.shard(nonce)
	s.mu.Lock()
	defer s.mu.Unlock()
	if run, ok := s.runs[nonce]; ok {
		return run
	}
	return refusal.RunUnknown
}

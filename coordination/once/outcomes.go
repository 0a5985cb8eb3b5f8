package once

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/protocol/refusal"
)

const (
	outcomeShards   = 16
	outcomesInShard = 512
)

// Outcomes remembers how the newest claims of this instance ended, so that a
// second comer here is told more than that a claim stands. It is bounded and
// holds nothing that safety rests on.
type Outcomes struct {
	shards [outcomeShards]outcomeShard
}

type outcomeShard struct {
	mu    sync.Mutex
	runs  map[string]refusal.Run // by nonce
	order []string
	next  int
}

// NewOutcomes returns an empty memory.
func NewOutcomes() *Outcomes {
	o := &Outcomes{}
	for i := range o.shards {
		o.shards[i].runs = make(map[string]refusal.Run)
	}
	return o
}

func (o *Outcomes) shard(nonce string) *outcomeShard {
	return &o.shards[xxhash.Sum64String(nonce)%outcomeShards]
}

// Set remembers the run state of the claim with the nonce.
func (o *Outcomes) Set(nonce string, run refusal.Run) {
	s := o.shard(nonce)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.runs[nonce]; !ok {
		s.evict(nonce)
	}
	s.runs[nonce] = run
}

// evict makes room by the oldest claim.
func (s *outcomeShard) evict(nonce string) {
	if len(s.order) < outcomesInShard {
		s.order = append(s.order, nonce)
		return
	}
	delete(s.runs, s.order[s.next])
	s.order[s.next] = nonce
	s.next = (s.next + 1) % outcomesInShard
}

// Run returns the run state of the claim with the nonce; unknown when it is not
// remembered.
func (o *Outcomes) Run(nonce string) refusal.Run {
	s := o.shard(nonce)
	s.mu.Lock()
	defer s.mu.Unlock()
	if run, ok := s.runs[nonce]; ok {
		return run
	}
	return refusal.Unknown
}

// Package requests tracks the requests in flight, so that withdrawing a key cancels its
// open streams and a graceful shutdown can wait for the last request.
package requests

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/protocol/refusal"
)

const shardCount = 32

type shard struct {
	mu    sync.Mutex
	byKey map[string]map[*Request]struct{}
}

// Request is one request in flight.
type Request struct {
	keyID  string
	cancel context.CancelCauseFunc
}

// Table is safe for concurrent use.
type Table struct {
	shards [shardCount]shard

	mu      sync.Mutex
	count   int
	closed  bool
	drained chan struct{}
}

// New returns an empty table.
func New() *Table {
	t := &Table{drained: make(chan struct{})}
	for i := range t.shards {
		t.shards[i].byKey = make(map[string]map[*Request]struct{})
	}
	return t
}

func (t *Table) shard(keyID string) *shard {
	return &t.shards[xxhash.Sum64String(keyID)%shardCount]
}

// Begin registers a request under its key. The context it returns is cancelled when the
// key is withdrawn or the table cancels all requests. It returns false when the table is
// closed.
func (t *Table) Begin(ctx context.Context, keyID string) (context.Context, *Request, bool) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return ctx, nil, false
	}
	t.count++
	t.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	r := &Request{keyID: keyID, cancel: cancel}
	s := t.shard(keyID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[keyID] == nil {
		s.byKey[keyID] = make(map[*Request]struct{})
	}
	s.byKey[keyID][r] = struct{}{}
	return ctx, r, true
}

// End removes the request and releases its context.
func (t *Table) End(r *Request) {
	r.cancel(nil)
	s := t.shard(r.keyID)
	s.mu.Lock()
	delete(s.byKey[r.keyID], r)
	if len(s.byKey[r.keyID]) == 0 {
		delete(s.byKey, r.keyID)
	}
	s.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	t.checkDrained()
}

func (t *Table) checkDrained() {
	if t.closed && t.count == 0 {
		select {
		case <-t.drained:
		default:
			close(t.drained)
		}
	}
}

// CancelKey cancels every request of a key because the key was withdrawn.
func (t *Table) CancelKey(keyID string) {
	s := t.shard(keyID)
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.byKey[keyID] {
		r.cancel(refusal.New(refusal.CodeWithdrawn, "the key was withdrawn").WithRunState(refusal.RunUnknown))
	}
}

// CancelAll cancels every request with a reason.
func (t *Table) CancelAll(reason *refusal.Refusal) {
	for i := range t.shards {
		t.shards[i].cancelAll(reason)
	}
}

func (s *shard) cancelAll(reason *refusal.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, requests := range s.byKey {
		for r := range requests {
			r.cancel(reason)
		}
	}
}

// Close makes Begin refuse new requests. The channel is closed when the last request has
// ended.
func (t *Table) Close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.checkDrained()
	return t.drained
}

// Count returns the number of requests in flight.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

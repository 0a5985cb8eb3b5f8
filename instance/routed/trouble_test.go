package routed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// testCallTimeout is how long a client waits for an answer of a store, on top of a watch's wait.
const testCallTimeout = time.Second

var (
	errTestReset   = errors.New("connection reset")
	errTestTimeout = errors.New("no answer")
)

// fault is how calls of a store fail.
type fault int

const (
	faultNone   fault = iota
	faultReset        // at once
	faultSilent       // without an answer
)

// trouble is what a store does to its callers.
type trouble struct {
	calls    fault         // of all calls
	watches  fault         // of watches, those that don't wait too
	cutAfter time.Duration // a watch that has waited so long is cut; 0 for never
}

// disturb sets what the store does to its callers. Watches that wait learn of a fault of all calls.
func (s *memoryStore) disturb(t trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
	if t.calls != faultNone {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *memoryStore) currentTrouble() trouble {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.trouble
}

func (f fault) strike(ctx context.Context, timeout time.Duration) error {
	switch f {
	case faultReset:
		return errTestReset
	case faultSilent:
		sleep(ctx, timeout)
		return errTestTimeout
	default:
		return nil
	}
}

func (s *memoryStore) disturbCall(ctx context.Context) error {
	return s.currentTrouble().calls.strike(ctx, testCallTimeout)
}

func (s *memoryStore) disturbWatch(ctx context.Context, timeout time.Duration) error {
	t := s.currentTrouble()
	return max(t.calls, t.watches).strike(ctx, timeout)
}

// watchCut returns a channel that gets an error when a watch that begins now is cut.
func (s *memoryStore) watchCut() (cut <-chan error, stop func()) {
	after := s.currentTrouble().cutAfter
	if after == 0 {
		return nil, func() {}
	}
	c := make(chan error, 1)
	timer := time.AfterFunc(after, func() { c <- errTestReset })
	return c, func() { timer.Stop() }
}

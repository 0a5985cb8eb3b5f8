// Package retry bounds the load that retries add after failures. Only the instance
// that received the request from the caller retries, only if the request did not
// run or may be repeated, and only within a budget for each service.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

// Bounds of the backoff between attempts.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// maxCredit is the maximum credit, in retries. A budget starts with this credit, and
// what the first requests earn repays it, so retries never exceed the larger of
// maxCredit and the budget's fraction of the requests.
const maxCredit = 10

// Budget is the retry budget of each service. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	credit map[string]float64
	owed   map[string]float64 // what is left to repay of the initial credit
}

// NewBudget returns a budget with full credit for every service.
func NewBudget() *Budget {
	return &Budget{credit: make(map[string]float64), owed: make(map[string]float64)}
}

// RecordRequest adds to the credit what a request of a caller earns.
func (b *Budget) RecordRequest(s *service.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.owed[s.Name]; !known {
		b.owed[s.Name] = maxCredit
	}
	earned := s.Retry.Budget
	repaid := min(earned, b.owed[s.Name])
	b.owed[s.Name] -= repaid
	b.credit[s.Name] = min(b.creditOf(s)+earned-repaid, maxCredit)
}

func (b *Budget) creditOf(s *service.Service) float64 {
	credit, ok := b.credit[s.Name]
	if !ok {
		return maxCredit
	}
	return credit
}

// Retryable reports whether a failed attempt may be followed by another at all.
func Retryable(r *refusal.Refusal, repeatable bool) bool {
	switch r.Code {
	case refusal.CodeBackendFailed, refusal.CodeNoServer, refusal.CodeLeaving, refusal.CodePeerUnreachable, refusal.CodeOverloaded:
	default:
		return false
	}
	return r.RunState == refusal.NotRun || (repeatable && r.RunState == refusal.RunUnknown)
}

// reachedBackend reports whether the refused attempt may have reached a backend server.
// Attempts that a queue or a routing decision refused put no load on servers.
func reachedBackend(code refusal.Code) bool {
	return code == refusal.CodeBackendFailed || code == refusal.CodePeerUnreachable
}

// Take spends a retry after a refusal and returns the backoff before it, or false if no
// retry is allowed. attempt is the number of attempts made, and left the time to the
// request's deadline. A retry of an attempt that put no load on servers costs nothing of
// the budget and is bounded by the number of attempts only.
func (b *Budget) Take(s *service.Service, code refusal.Code, attempt int, left time.Duration, rng *rand.Rand) (time.Duration, bool) {
	if attempt >= int(s.Retry.Attempts) {
		return 0, false
	}
	if !reachedBackend(code) {
		return 0, left > 0
	}
	ceiling := min(minBackoff<<attempt, maxBackoff)
	wait := time.Duration(rng.Int64N(int64(ceiling)))
	if wait >= left {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.creditOf(s)
	if credit < 1 {
		return 0, false
	}
	b.credit[s.Name] = credit - 1
	return wait, true
}

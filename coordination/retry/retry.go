// Package retry bounds what failures may add to the load. Only the instance
// that the caller talks to retries, only when the request did not run or may be
// repeated, and only within a budget kept for each service.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
)

// Backoff bounds between attempts.
const (
	minBackoff = 10 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// maxCredit is how many retries may be saved up. A budget starts with as many,
// lent on its first requests: retries never exceed the larger of maxCredit and
// the budget's share of the requests.
const maxCredit = 10

// Budget counts requests and retries of each service. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	credit map[string]float64
	owed   map[string]float64 // of the credit lent at the start
}

// NewBudget returns a budget with full credit for every service.
func NewBudget() *Budget {
	return &Budget{credit: make(map[string]float64), owed: make(map[string]float64)}
}

// RecordRequest adds a first attempt's share to the credit.
func (b *Budget) RecordRequest(s *service.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.owed[s.Name]; !known {
		b.owed[s.Name] = maxCredit
	}
	earned := s.Retry.Budget
	back := min(earned, b.owed[s.Name])
	b.owed[s.Name] -= back
	b.credit[s.Name] = min(b.get(s)+earned-back, maxCredit)
}

func (b *Budget) get(s *service.Service) float64 {
	credit, ok := b.credit[s.Name]
	if !ok {
		return maxCredit
	}
	return credit
}

// Retryable tells whether a failed attempt may be followed by another at all.
func Retryable(r *refusal.Refusal, repeatable bool) bool {
	switch r.Code {
	case refusal.CodeBackendFailed, refusal.CodeNoServer, refusal.CodeLeaving, refusal.CodePeerUnreachable, refusal.CodeOverloaded:
	default:
		return false
	}
	return r.Run == refusal.NotRun || (repeatable && r.Run == refusal.Unknown)
}

// placed tells whether the refusal came after a backend server was tried. What
// only a queue or a routing decision refused put no load on servers.
func placed(code refusal.Code) bool {
	return code == refusal.CodeBackendFailed || code == refusal.CodePeerUnreachable
}

// Take spends a retry after a refusal and returns how long to wait before it.
// attempt is the number of attempts made. Going elsewhere after a queue refused
// costs nothing of the budget; the number of attempts bounds it.
func (b *Budget) Take(s *service.Service, code refusal.Code, attempt int, left time.Duration, rng *rand.Rand) (time.Duration, bool) {
	if attempt >= int(s.Retry.Attempts) {
		return 0, false
	}
	if !placed(code) {
		return 0, left > 0
	}
	ceiling := min(minBackoff<<attempt, maxBackoff)
	wait := time.Duration(rng.Int64N(int64(ceiling)))
	if wait >= left {
		return 0, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	credit := b.get(s)
	if credit < 1 {
		return 0, false
	}
	b.credit[s.Name] = credit - 1
	return wait, true
}

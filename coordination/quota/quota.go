// Package quota keeps every client account within its rate and burst, summed
// over all instances.
package quota

import (
	"sync"
	"time"

	"github.com/basilroute/basilroute/service"
)

// Ledger admits requests against the tokens that this instance may give out.
// It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	share   float64
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Time
}

// New returns a ledger that gives out nothing until SetShare.
func New() *Ledger {
	return &Ledger{buckets: make(map[string]*bucket)}
}

// SetShare sets the share of every account's rate and burst that is minted here.
func (l *Ledger) SetShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// Admit takes tokens for a request, or returns after what time to come back.
func (l *Ledger) Admit(a *service.Account, tokens float64, now time.Time) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(a, now)
	if b.tokens >= tokens {
		b.tokens -= tokens
		return true, 0
	}
	rate := a.Rate * l.share
	if rate <= 0 {
		return false, 0
	}
	return false, time.Duration((tokens - b.tokens) / rate * float64(time.Second))
}

// Settle gives back what a request did not use.
func (l *Ledger) Settle(a *service.Account, refund float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(a, now)
	b.tokens = min(b.tokens+refund, a.Burst*l.share)
}

func (l *Ledger) bucket(a *service.Account, now time.Time) *bucket {
	b, ok := l.buckets[a.Name]
	if !ok {
		b = &bucket{at: now}
		l.buckets[a.Name] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.at).Seconds()*a.Rate*l.share, a.Burst*l.share)
	b.at = now
	return b
}

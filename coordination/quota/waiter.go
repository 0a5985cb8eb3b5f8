package quota

import "time"

// Decision ends a wait for tokens.
type Decision struct {
	OK         bool
	Charge     Charge
	RetryAfter time.Duration // of a refusal
}

// Waiter is a request that waits for minting or a loan.
type Waiter struct {
	Done chan Decision // receives one decision

	account  string
	tokens   float64
	deadline time.Time
}

// BorrowNeeded is signalled when waiting requests need loans, so that Plan is called at once.
func (l *Ledger) BorrowNeeded() <-chan struct{} { return l.borrowNeeded }

func (l *Ledger) signalBorrow() {
	select {
	case l.borrowNeeded <- struct{}{}:
	default:
	}
}

// Wait queues a request behind the account's others. It is granted when minting or a
// loan brings the tokens, and refused as soon as it is certain that they will not be
// available within the limit.
func (l *Ledger) Wait(name string, tokens float64, limit time.Duration, now time.Time) *Waiter {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a := s.account(name, now)
	a.mint(now, s.minting)
	w := &Waiter{Done: make(chan Decision, 1), account: name, tokens: tokens, deadline: now.Add(limit)}
	a.waiters = append(a.waiters, w)
	s.activate(a)
	a.serveWaiters(s.minting, now)
	if len(a.waiters) > 0 {
		l.signalBorrow()
	}
	return w
}

// Abandon ends the wait of a request whose caller has disconnected.
func (l *Ledger) Abandon(w *Waiter, now time.Time) {
	s := l.shard(w.account)
	s.mu.Lock()
	a := s.accounts[w.account]
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	select {
	case v := <-w.Done:
		l.Settle(v.Charge, 0, now)
	default:
	}
}

func (a *account) queuedTokens() float64 {
	total := 0.0
	for _, w := range a.waiters {
		total += w.tokens
	}
	return total
}

// serveWaiters grants requests in the order of arrival and refuses those that cannot
// be granted in time. A refusal may leave enough tokens for the requests behind it.
func (a *account) serveWaiters(minting int, now time.Time) {
	a.grantWaiters(minting, now)
	if a.refuseLate(now) {
		a.grantWaiters(minting, now)
	}
}

func (a *account) grantWaiters(minting int, now time.Time) {
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		c, ok := a.charge(w.tokens, now, minting)
		if !ok {
			return
		}
		w.Done <- Decision{OK: true, Charge: c}
		a.waiters = a.waiters[1:]
	}
}

// refuseLate refuses each waiter whose tokens will come too late. While there are
// lenders left to ask, that is known only at the waiter's deadline. Once all of them
// are exhausted, no more tokens come than the account's rate mints in the whole
// fleet, so the refusal and its Retry-After are known at once. An instance that has
// just started learns its share and its lenders within some tenths of a second;
// until then, while it is provisional, no request is refused before its deadline.
func (a *account) refuseLate(now time.Time) (refused bool) {
	before := len(a.waiters)
	kept := a.waiters[:0]
	missing := -a.level - a.borrowed(now)
	for _, w := range a.waiters {
		missing += w.tokens
		refill := a.refillTime(missing)
		late := now.Add(refill).After(w.deadline) && a.round.exhausted(now) && !a.provisional
		if late || !now.Before(w.deadline) {
			w.Done <- Decision{RetryAfter: a.retryAfter(w.tokens, refill, now)}
			missing -= w.tokens
			continue
		}
		kept = append(kept, w)
	}
	clear(a.waiters[len(kept):])
	a.waiters = kept
	return len(kept) < before
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Hour
	// unknownRateRetryAfter is used while the account's rate is not known, as after a
	// start. It is long enough to receive the configuration and the local share.
	unknownRateRetryAfter = 500 * time.Millisecond
)

// refillTime returns how long it takes to mint the tokens at the account's whole rate.
func (a *account) refillTime(tokens float64) time.Duration {
	switch {
	case a.doc == nil:
		return unknownRateRetryAfter
	case a.doc.Rate <= 0:
		return maxRetryAfter
	}
	wait := time.Duration(min(tokens/a.doc.Rate, maxRetryAfter.Seconds()) * float64(time.Second))
	return max(minRetryAfter, wait)
}

const (
	// retryFraction is the fraction of the account's locally admitted rate at which
	// retries of refused requests are spread.
	retryFraction = 0.25
	// maxRetryQueueDelay bounds the Retry-After where the account's rate alone gives a
	// shorter one. For an account far beyond its rate a further refusal is better than
	// a longer delay.
	maxRetryQueueDelay = 5 * time.Second
)

// retryAfter returns the Retry-After of a refused request: at least minWait, the time in
// which the account could have the tokens, and after the times given to earlier refusals,
// spaced by the rate at which this instance could admit them. With the account's whole rate
// instead, callers that were refused at the same moment retried within a tenth of a second
// of each other, and all but one were refused again.
func (a *account) retryAfter(tokens float64, minWait time.Duration, now time.Time) time.Duration {
	rate := retryFraction * a.admittedRate
	if a.doc != nil {
		rate = max(rate, a.doc.Rate*a.evenShare)
	}
	earliest := now.Add(minWait)
	if a.nextRetry.Before(earliest) {
		a.nextRetry = earliest
	}
	wait := min(a.nextRetry.Sub(now), max(maxRetryQueueDelay, minWait))
	if rate > 0 {
		behind := min(tokens/rate, maxRetryQueueDelay.Seconds())
		a.nextRetry = now.Add(wait + time.Duration(behind*float64(time.Second)))
	}
	return wait
}

// Tick serves waiting requests and updates the averages. It is called several times
// a second.
func (l *Ledger) Tick(elapsed time.Duration, now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.advance(now)
		for _, a := range s.active {
			a.mint(now, s.minting)
			a.measure(elapsed)
			a.serveWaiters(s.minting, now)
		}
		s.mu.Unlock()
	}
}

package quota

import "time"

// Decision ends a wait for tokens.
type Decision struct {
	OK         bool
	Charge     Charge
	RetryAfter time.Duration // when it was refused: when the account may have the tokens
}

// Waiter is a request that waits for minting or a loan.
type Waiter struct {
	Done chan Decision // receives one verdict

	account  string
	tokens   float64
	deadline time.Time
}

// BorrowNeeded is signalled when a request waits, so that a loan is asked for at once.
func (l *Ledger) BorrowNeeded() <-chan struct{} { return l.wanted }

func (l *Ledger) signal() {
	select {
	case l.wanted <- struct{}{}:
	default:
	}
}

// Wait queues a request behind the account's others until Tick or a loan decides.
// It is refused as soon as it is plain that the tokens cannot come in time.
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
		l.signal()
	}
	return w
}

// Abandon ends the wait of a request whose caller has gone.
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

func (a *account) queued() float64 {
	total := 0.0
	for _, w := range a.waiters {
		total += w.tokens
	}
	return total
}

// serveWaiters grants in the order of arrival and refuses what cannot be granted
// in time. A refusal may leave enough for those behind.
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

// refuseLate refuses each waiter whose tokens come too late. While lenders are
// left to ask, that is at its limit; once all of them were dry the fleet mints no
// more than the account's rate, so the time to come back is known and the
// refusal need not wait. An instance that has just started knows neither its part nor
// its lenders: it learns them within some tenths of a second, and until then no refusal
// is certain.
func (a *account) refuseLate(now time.Time) (refused bool) {
	before := len(a.waiters)
	kept := a.waiters[:0]
	missing := -a.level - a.borrowed(now)
	for _, w := range a.waiters {
		missing += w.tokens
		comes := a.comesIn(missing)
		late := now.Add(comes).After(w.deadline) && a.round.exhausted(now) && !a.provisional
		if late || !now.Before(w.deadline) {
			w.Done <- Decision{RetryAfter: a.comeBack(w.tokens, comes, now)}
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
	leastRetryAfter = 50 * time.Millisecond
	mostRetryAfter  = time.Hour
	// unknownRetryAfter is told while the account's rate is not known here, as after a
	// start: by then the configuration and the own part have come.
	unknownRetryAfter = 500 * time.Millisecond
)

// comesIn is how long the account's whole rate takes for some tokens.
func (a *account) comesIn(tokens float64) time.Duration {
	switch {
	case a.doc == nil:
		return unknownRetryAfter
	case a.doc.Rate <= 0:
		return mostRetryAfter
	}
	wait := time.Duration(min(tokens/a.doc.Rate, mostRetryAfter.Seconds()) * float64(time.Second))
	return max(leastRetryAfter, wait)
}

const (
	// comebackShare is the part of what the account is admitted here that is kept for
	// those who come back.
	comebackShare = 0.25
	// comebackMost is the longest time that is told beyond what the account's own rate
	// takes: an offender's callers are better told again.
	comebackMost = 5 * time.Second
)

// comeBack tells a refused request when to come back: at the least when the account could
// have the tokens, and behind those told before it at the pace at which this instance
// could admit them. Told the account's whole rate, all who were refused at once came back
// within a tenth of a second of each other, and all but one were refused again.
func (a *account) comeBack(tokens float64, least time.Duration, now time.Time) time.Duration {
	rate := comebackShare * a.admitted
	if a.doc != nil {
		rate = max(rate, a.doc.Rate*a.even)
	}
	earliest := now.Add(least)
	if a.toldNext.Before(earliest) {
		a.toldNext = earliest
	}
	wait := min(a.toldNext.Sub(now), max(comebackMost, least))
	if rate > 0 {
		behind := min(tokens/rate, comebackMost.Seconds())
		a.toldNext = now.Add(wait + time.Duration(behind*float64(time.Second)))
	}
	return wait
}

// Tick serves the requests that wait and updates the averages. It is called
// several times a second.
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

// Package quota keeps every client account within its rate and burst, summed
// over all instances.
//
// An account's rate and burst are split over failure domains by the shares of
// its document, and each domain's part evenly over the domain's slots. The holder
// of a slot mints that part into a bucket that starts empty. Minted tokens move
// to where the demand is as loans: the lender debits them before it answers, and
// until they are reported spent or have expired they still fill its capacity.
//
// So, for each account, the tokens that can be admitted without minting (buckets
// and open loans) never exceed the burst, and grow by minting only. That bounds
// every window T by rate*T + burst.
//
// The package does no I/O: the time comes in with each call.
package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/service"
)

const (
	shardCount = 16

	// LoanValidity is how long a loan may be spent. The borrower counts it from
	// when it asked, the lender, with slots.WithDrift, from when it lent.
	LoanValidity = 3 * time.Second
)

// LoanExpiry returns when a loan lent at a time has expired for every borrower.
func LoanExpiry(lent time.Time) time.Time { return lent.Add(slots.WithDrift(LoanValidity)) }

// Ledger admits requests against the tokens that this instance may give out.
// It is safe for concurrent use.
type Ledger struct {
	domain string
	shards [shardCount]shard
	wanted chan struct{} // signalled when a request waits
	pass   bool          // small requests pass large ones that wait

	mu        sync.Mutex
	nextAhead time.Time         // when tokens are next borrowed ahead of need
	epochs    map[int]uint64    // latest epoch held, by slot
	from      map[int]time.Time // when that epoch begins to mint
	division  Division
	docs      map[string]*service.Account
}

// shard holds a part of the accounts and its own copy of the slots held, so that
// no admission uses a slot that another goroutine has just seen lost.
type shard struct {
	mu          sync.Mutex
	grants      []grant
	minting     int       // slots that mint now
	change      time.Time // when minting changes next; zero for never
	accounts    map[string]*account
	provisional bool
	active      []*account // accounts with demand, loans or waiters
}

// grant is a slot with the time in which it mints.
type grant struct{ from, until time.Time }

// New returns a ledger of an instance of a failure domain. It mints nothing until
// it holds slots and knows the documents.
func New(domain string) *Ledger {
	l := &Ledger{
		domain: domain, pass: true, wanted: make(chan struct{}, 1), epochs: make(map[int]uint64),
		from: make(map[int]time.Time), docs: make(map[string]*service.Account),
	}
	for i := range l.shards {
		l.shards[i].accounts = make(map[string]*account)
	}
	return l
}

// DisablePassing makes small requests wait behind large ones. It is called before the
// ledger is used.
func (l *Ledger) DisablePassing() { l.pass = false }

func (l *Ledger) shard(name string) *shard {
	return &l.shards[xxhash.Sum64String(name)%shardCount]
}

// SetHeldSlots takes in the slots that this instance may mint for.
//
// The former holder of a slot may have lent just before it stopped, and these
// loans still fill the slot's part of the burst. A slot with a new epoch
// therefore mints only when they have expired; a slot's first epoch has none.
func (l *Ledger) SetHeldSlots(held []slots.HeldSlot, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grants := make([]grant, len(held))
	for i, h := range held {
		if l.epochs[h.Slot] != h.Epoch {
			l.epochs[h.Slot] = h.Epoch
			l.from[h.Slot] = now
			if h.Epoch > 1 {
				l.from[h.Slot] = LoanExpiry(now)
			}
		}
		grants[i] = grant{from: l.from[h.Slot], until: h.Until}
	}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.advance(now)
		s.grants = grants
		s.recount(now)
		s.mu.Unlock()
	}
}

// SetProvisional says that loans of a predecessor may be unspent. Until then an
// instance that mints the same part again holds no more than the rest of the
// capacity that its predecessor could not lend, and lends nothing, so that a further
// restart leaves no loans beside the first ones. Without it a restarted instance has
// to wait for the loans' end before it mints at all, and after a restart of the whole
// fleet every account is refused for that time.
func (l *Ledger) SetProvisional(provisional bool, now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.advance(now)
		if s.provisional != provisional {
			s.provisional = provisional
			for _, a := range s.accounts {
				a.mint(now, s.minting)
				a.setProvisional(provisional, s.minting)
			}
		}
		s.mu.Unlock()
	}
}

// advance brings the shard to now through every change of the slots that mint.
func (s *shard) advance(now time.Time) {
	for !s.change.IsZero() && !now.Before(s.change) {
		s.recount(s.change)
	}
}

// recount sets what mints from a time on. Every account is brought there first,
// since what it minted and may keep before depends on the former number.
func (s *shard) recount(at time.Time) {
	minting, change := 0, time.Time{}
	soonest := func(t time.Time) {
		if t.After(at) && (change.IsZero() || t.Before(change)) {
			change = t
		}
	}
	for _, g := range s.grants {
		if !at.Before(g.from) && at.Before(g.until) {
			minting++
		}
		soonest(g.from)
		soonest(g.until)
	}
	s.change = change
	if minting == s.minting {
		return
	}
	for _, a := range s.accounts {
		a.mint(at, s.minting)
		a.history.note(a.headroom(s.minting))
		a.clamp(minting)
	}
	s.minting = minting
}

// account returns the account's state, made at its first use.
func (s *shard) account(name string, now time.Time) *account {
	a, ok := s.accounts[name]
	if !ok {
		a = &account{name: name, at: now, provisional: s.provisional}
		s.accounts[name] = a
	}
	return a
}

// Charge is what a request was charged with. It has to be settled once.
type Charge struct {
	Account string
	Tokens  float64
	own     float64 // of the own bucket
	seq     uint64  // of the own bucket's history
	loans   []loanPart
}

// loanPart is the part of a charge that was paid by a loan.
type loanPart struct {
	lender slots.Member
	loan   uint64
	tokens float64
}

// passFactor is how many times smaller than the first one that waits a request has to
// be to pass those that wait. Behind a long prompt that waits for loans an order of a few
// tokens would be refused though its tokens are there. Short prompts stay behind long ones:
// they would use up what these wait for.
const passFactor = 10

// Admit takes tokens for a request, from loans first since these expire. One that is
// not small fails while other requests of the account wait for tokens.
func (l *Ledger) Admit(name string, tokens float64, now time.Time) (Charge, bool) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a := s.account(name, now)
	a.mint(now, s.minting)
	s.activate(a)
	a.asked += tokens
	a.requests++
	if len(a.waiters) > 0 && (!l.pass || passFactor*tokens > a.waiters[0].tokens) {
		return Charge{}, false
	}
	return a.charge(tokens, now, s.minting)
}

// Settle gives back what a request did not use. used is at most what was charged.
func (l *Ledger) Settle(c Charge, used float64, now time.Time) {
	refund := c.Tokens - used
	if refund <= 0 {
		return
	}
	s := l.shard(c.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a, ok := s.accounts[c.Account]
	if !ok {
		return
	}
	a.mint(now, s.minting)
	own := min(refund, c.own)
	a.refund(own, c.seq, s.minting)
	a.reportRefund(c.loans, refund-own, now)
	s.activate(a)
}

func (s *shard) activate(a *account) {
	if !a.active {
		a.active = true
		s.active = append(s.active, a)
	}
}

// Available returns the tokens that the account could be charged here now.
func (l *Ledger) Available(name string, now time.Time) float64 {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a, ok := s.accounts[name]
	if !ok {
		return 0
	}
	a.mint(now, s.minting)
	return a.level + a.borrowed(now)
}

// MintingSlots returns how many slots mint here now.
func (l *Ledger) MintingSlots(now time.Time) int {
	s := &l.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.minting
}

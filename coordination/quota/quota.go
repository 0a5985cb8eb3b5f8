// Package quota keeps every client account within its rate and burst, summed
// over all instances.
//
// An account's rate and burst are divided over failure domains by the shares of
// its document, and each domain's share evenly over the domain's slots. The holder
// of a slot mints that share into a token bucket that starts empty. Minted tokens
// move to where the demand is as loans: the lender debits them before it answers,
// and until they are reported spent or have expired they still occupy its capacity.
//
// For each account, the tokens that can be spent without further minting (buckets
// and open loans) therefore never exceed the burst, and grow by minting only. In
// every window of length T at most rate*T + burst tokens are admitted.
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
	// the time of its request, the lender, with slots.WithDrift, from the time of
	// the grant.
	LoanValidity = 3 * time.Second
)

// LoanExpiry returns when a loan granted at the time lent has expired for every borrower.
func LoanExpiry(lent time.Time) time.Time { return lent.Add(slots.WithDrift(LoanValidity)) }

// Ledger admits requests against the tokens that this instance may give out.
// It is safe for concurrent use.
type Ledger struct {
	domain       string
	shards       [shardCount]shard
	borrowNeeded chan struct{} // see BorrowNeeded
	overtaking   bool          // small requests overtake large waiting ones

	mu              sync.Mutex
	nextBorrowAhead time.Time         // when tokens are next borrowed ahead of need
	epochs          map[int]uint64    // latest epoch held, by slot
	mintFrom        map[int]time.Time // when that epoch begins to mint
	division        Division
	docs            map[string]*service.Account
}

// shard holds some of the accounts. It has its own copy of the held slots, so that
// no admission uses a slot that another goroutine has just recorded as lost.
type shard struct {
	mu          sync.Mutex
	grants      []grant
	minting     int       // number of slots that mint now
	nextChange  time.Time // when minting changes next; zero for never
	accounts    map[string]*account
	provisional bool
	active      []*account // accounts with demand, loans or waiters
}

// grant is the period in which a held slot mints.
type grant struct{ from, until time.Time }

// New returns the ledger of an instance of a failure domain. It mints nothing before
// SetHeldSlots and Update.
func New(domain string) *Ledger {
	l := &Ledger{
		domain: domain, overtaking: true, borrowNeeded: make(chan struct{}, 1), epochs: make(map[int]uint64),
		mintFrom: make(map[int]time.Time), docs: make(map[string]*service.Account),
	}
	for i := range l.shards {
		l.shards[i].accounts = make(map[string]*account)
	}
	return l
}

// DisableOvertaking makes small requests wait behind large ones. It is called before the
// ledger is used.
func (l *Ledger) DisableOvertaking() { l.overtaking = false }

func (l *Ledger) shard(name string) *shard {
	return &l.shards[xxhash.Sum64String(name)%shardCount]
}

// SetHeldSlots sets the slots that this instance may mint for.
//
// The former holder of a slot may have lent tokens just before it lost the slot,
// and these loans still occupy the slot's share of the burst. A slot with a new
// epoch therefore mints only after they have expired. A slot's first epoch has no
// former holder.
func (l *Ledger) SetHeldSlots(held []slots.HeldSlot, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	grants := make([]grant, len(held))
	for i, h := range held {
		if l.epochs[h.Slot] != h.Epoch {
			l.epochs[h.Slot] = h.Epoch
			l.mintFrom[h.Slot] = now
			if h.Epoch > 1 {
				l.mintFrom[h.Slot] = LoanExpiry(now)
			}
		}
		grants[i] = grant{from: l.mintFrom[h.Slot], until: h.Until}
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

// SetProvisional sets whether loans of an earlier incarnation may be unspent. While they
// may, the bucket holds only the fraction of the capacity that could not be lent, and the
// instance lends nothing, so that a further restart adds no loans to the first ones.
// Without this state a restarted instance could not mint before the loans have expired, and
// after a restart of the whole fleet every account would be refused for that time.
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

// advance brings the shard up to now through every change of the number of minting slots.
func (s *shard) advance(now time.Time) {
	for !s.nextChange.IsZero() && !now.Before(s.nextChange) {
		s.recount(s.nextChange)
	}
}

// recount updates the number of slots that mint from the given time on. It first
// mints every account up to that time with the former number.
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
	s.nextChange = change
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

// account returns the account's state, created on first use.
func (s *shard) account(name string, now time.Time) *account {
	a, ok := s.accounts[name]
	if !ok {
		a = &account{name: name, mintedUntil: now, provisional: s.provisional}
		s.accounts[name] = a
	}
	return a
}

// Charge is what a request was charged. It has to be settled once.
type Charge struct {
	Account    string
	Tokens     float64
	fromBucket float64 // tokens of the local bucket
	seq        uint64  // point in the bucket's history at the debit
	loans      []loanPayment
}

// loanPayment is the part of a charge that was taken from a loan.
type loanPayment struct {
	lender slots.Member
	loanID uint64
	tokens float64
}

// overtakeFactor is how many times smaller than the first waiting request a request has to
// be to overtake the queue. Otherwise an order of a few tokens behind a long prompt that waits
// for loans would be refused although its tokens are available. Short prompts do not overtake
// long ones, since they would use up the tokens that those wait for.
const overtakeFactor = 10

// Admit charges a request, from loans first since these expire. It fails if the tokens are
// not available, and, unless the request is small, while others of the account wait.
func (l *Ledger) Admit(name string, tokens float64, now time.Time) (Charge, bool) {
	s := l.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	a := s.account(name, now)
	a.mint(now, s.minting)
	s.activate(a)
	a.requestedSinceTick += tokens
	a.requestsSinceTick++
	if len(a.waiters) > 0 && (!l.overtaking || overtakeFactor*tokens > a.waiters[0].tokens) {
		return Charge{}, false
	}
	return a.charge(tokens, now, s.minting)
}

// Settle refunds the tokens that a request did not use. used is at most c.Tokens.
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
	bucketRefund := min(refund, c.fromBucket)
	a.refund(bucketRefund, c.seq, s.minting)
	a.reportRefund(c.loans, refund-bucketRefund, now)
	s.activate(a)
}

func (s *shard) activate(a *account) {
	if !a.active {
		a.active = true
		s.active = append(s.active, a)
	}
}

// Available returns the tokens that the account could be charged now at this instance.
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

// MintingSlots returns the number of held slots that mint now.
func (l *Ledger) MintingSlots(now time.Time) int {
	s := &l.shards[0]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	return s.minting
}

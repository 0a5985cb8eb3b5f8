package slots

import (
	"slices"
	"sync"
	"time"
)

// Settings are the slot settings of the fleet document.
type Settings struct {
	Slots    int           // number of slots of the failure domain
	Lease    time.Duration // how long a renewal is valid
	Promise  time.Duration // validity of a promise, counted by the requester from its request
	Peers    int           // maximum length of a list
	Promises int           // number of promises that a holder needs, see Record.Promises
	Release  time.Duration // from the end of the lease to the slot's expiry
}

// Intervals of the protocol, some as a number for each lease or promise.
const (
	renewalsPerLease    = 3
	promisesPerValidity = 3
	retryInterval       = 500 * time.Millisecond // after a write whose outcome is open, and between requests for consent
	listChangeInterval  = time.Second            // between renewals that only change the list
	longerListInterval  = 200 * time.Millisecond // the same if the new list is longer
	secondSlotGrace     = time.Second            // how long a free slot is left to instances that hold none
	takeoverGrace       = 5 * time.Second        // how long a slot with a former holder is not handed over: that holder may still be listed as live
	handoverGrace       = 2 * time.Second        // how long an instance has to be live before a slot is handed over to it
)

// Entry is a slot's key as read from the store.
type Entry struct {
	Revision int64 // 0 when the key does not exist
	Record   Record
}

// Write is a compare-and-swap to carry out, on the expected revision.
type Write struct {
	Slot   int
	Record Record
	Expect int64
}

// Request asks another member for a promise, or for a consent.
type Request struct {
	Slot    int
	To      Member
	Epoch   uint64
	Seq     uint64 // version of the slot that the request is for
	Consent bool
	SentAt  time.Time
}

// Actions are the writes and requests that the caller has to carry out.
type Actions struct {
	Writes   []Write
	Requests []Request
}

// Outcome is the result of a write.
type Outcome int

// Outcomes of a write.
const (
	Written  Outcome = iota
	Conflict         // the key has another revision
	Unknown          // the write may have taken effect, or may still do so
)

// HeldSlot is a slot that this instance may mint for.
type HeldSlot struct {
	Slot  int
	Epoch uint64
	Until time.Time // exclusive
}

// Machine is the protocol's state machine for all slots of the local failure domain.
// It is safe for concurrent use.
type Machine struct {
	mu       sync.Mutex
	self     Member
	settings Settings
	slots    []*slot
	live     map[Member]time.Time // live peers of the domain, with the time since when
	leaving  bool
	nonce    uint64 // of the last write
}

// slot is this instance's state of one slot.
type slot struct {
	index int

	read        bool // the slot was read from the store at least once
	seen        Entry
	seenAt      time.Time // when this instance first saw that version
	regressedAt time.Time // when the store first returned an older version; zero if it did not

	held          *holding
	heldSince     time.Time // when this instance became the holder in this epoch
	pending       *pendingWrite
	promised      map[promiseKey]time.Time // when the promise expires
	lastRequestAt time.Time                // when promises or consents were last requested
	relinquished  bool                     // a release or handover was sent: never mint for this epoch again

	consents map[Member]uint64 // latest version that the member consented to

	commitment commitment
}

// holding is an acknowledged version of the slot whose holder is this instance.
type holding struct {
	Entry
	sentAt time.Time
}

// pendingWrite is a write whose outcome is not known. Until it is, nothing else is
// written, so that a write that takes effect late cannot bring a list that the holder
// does not account for.
type pendingWrite struct {
	Write
	firstSentAt time.Time // the time that the lease counts from
	lastSentAt  time.Time
	inFlight    bool
}

type promiseKey struct {
	member Member
	seq    uint64
}

// New returns a machine that holds no slot.
func New(self Member, settings Settings) *Machine {
	m := &Machine{self: self, settings: settings, live: make(map[Member]time.Time)}
	m.resize()
	return m
}

// Configure applies the fleet document's settings. Held slots beyond a reduced number
// of slots are released.
func (m *Machine) Configure(settings Settings) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settings = settings
	m.resize()
}

func (m *Machine) resize() {
	for len(m.slots) < m.settings.Slots {
		m.slots = append(m.slots, &slot{
			index: len(m.slots), promised: make(map[promiseKey]time.Time), consents: make(map[Member]uint64),
		})
	}
}

// SetLive sets the live instances of the domain, without those that are leaving.
func (m *Machine) SetLive(members []Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[Member]time.Time, len(members))
	for _, member := range members {
		if member == m.self {
			continue
		}
		next[member] = now
		if since, ok := m.live[member]; ok {
			next[member] = since
		}
	}
	m.live = next
}

// Leave makes the machine release its slots and take no more.
func (m *Machine) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// HeldSlots returns the slots that this instance may mint for now.
func (m *Machine) HeldSlots(now time.Time) []HeldSlot {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []HeldSlot
	for _, s := range m.slots {
		if until := s.mintDeadline(); now.Before(until) {
			out = append(out, HeldSlot{Slot: s.index, Epoch: s.held.Record.Epoch, Until: until})
		}
	}
	return out
}

// Idle reports whether no slot is held and no write is open.
func (m *Machine) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.slots, func(s *slot) bool { return s.held != nil || s.pending != nil })
}

// NeedsFrequentReads reports whether this instance holds or is listed for a slot, or a slot
// is free or not read yet, so that the store has to be read often.
func (m *Machine) NeedsFrequentReads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.slots, func(s *slot) bool {
		return !s.read || s.free() || s.held != nil || s.pending != nil ||
			s.seen.Record.Holder == m.self || s.seen.Record.isListed(m.self)
	})
}

// Records returns the last read record of each slot, for operators.
func (m *Machine) Records() []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Record, len(m.slots))
	for i, s := range m.slots {
		out[i] = s.seen.Record
	}
	return out
}

// Observe applies a listing of all slots in the store. A slot without an entry does
// not exist.
func (m *Machine) Observe(entries map[int]Entry, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.slots {
		s.observe(m.self, entries[s.index], now)
	}
}

func (s *slot) observe(self Member, e Entry, now time.Time) {
	if s.read && e.Revision != s.seen.Revision && e.Record.Seq <= s.seen.Record.Seq && s.seen.Revision != 0 {
		s.observeOlder(e, now)
		return
	}
	s.regressedAt = time.Time{}
	if !s.read || e.Revision != s.seen.Revision {
		s.read, s.seen, s.seenAt = true, e, now
	}
	s.reconcile(self, e, now)
}

// observeOlder applies a version older than the one already seen: a delayed response,
// or that of a store restored from a backup. The holder of the newer version may still
// mint, so the older version is accepted only after the newer one has expired.
func (s *slot) observeOlder(e Entry, now time.Time) {
	if s.regressedAt.IsZero() {
		s.regressedAt = now
	}
	if now.Sub(s.regressedAt) < WithDrift(s.seen.Record.slotExpiry()) {
		return
	}
	s.seen, s.seenAt, s.regressedAt = e, now, time.Time{}
	s.held, s.pending = nil, nil
}

// reconcile compares the stored version with this instance's pending write and with the
// version that it holds.
func (s *slot) reconcile(self Member, e Entry, now time.Time) {
	if p := s.pending; p != nil && !p.inFlight && e.Record.Seq >= p.Record.Seq {
		s.pending = nil
		if sameWrite(e.Record, p.Record) {
			s.accept(self, e, p.firstSentAt, now)
			return
		}
	}
	if s.held == nil || e.Record.Seq <= s.held.Record.Seq {
		return
	}
	if p := s.pending; p != nil && sameWrite(e.Record, p.Record) {
		return // the outcome of this write is still to come
	}
	s.drop()
}

// sameWrite reports whether a version is the write that this instance tried. Comparing
// holder and list is not enough: the former holder may have handed the slot over with
// the same content earlier, and the lease counts from this instance's own write.
func sameWrite(have, tried Record) bool {
	return have.Writer == tried.Writer && have.Nonce == tried.Nonce
}

func (s *slot) accept(self Member, e Entry, asked, now time.Time) {
	s.read, s.seen = true, e
	if e.Record.Holder != self || e.Record.Released || s.relinquished {
		s.drop()
		return
	}
	if s.held == nil || s.held.Record.Epoch != e.Record.Epoch {
		s.heldSince = now
	}
	s.held = &holding{Entry: e, sentAt: asked}
	for key := range s.promised {
		if key.seq < e.Record.Seq {
			delete(s.promised, key)
		}
	}
}

func (s *slot) drop() {
	s.held, s.relinquished = nil, false
	clear(s.promised)
}

// WriteDone records the outcome of a write.
func (m *Machine) WriteDone(w Write, outcome Outcome, revision int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.slots[w.Slot]
	p := s.pending
	if p == nil || p.Record.Seq != w.Record.Seq {
		return
	}
	p.inFlight = false
	switch outcome {
	case Written:
		s.pending = nil
		s.seenAt = now
		s.accept(m.self, Entry{Revision: revision, Record: w.Record}, p.firstSentAt, now)
	case Conflict:
		// The next read shows whether an earlier try of this write is stored.
	case Unknown:
	}
}

func (s *slot) free() bool { return s.read && (s.seen.Revision == 0 || s.seen.Record.Released) }

// NeedsPromptRead reports whether a slot is free, not read yet or handed over to this
// instance, or a write is open, so that the store has to be read soon.
func (m *Machine) NeedsPromptRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.slots, func(s *slot) bool {
		return s.index < m.settings.Slots && (!s.read || s.free() || s.pending != nil ||
			(s.seen.Record.Holder == m.self && s.held == nil))
	})
}

package slots

import (
	"slices"
	"sync"
	"time"
)

// Settings are the fleet document's settings of slots.
type Settings struct {
	Slots    int           // of the failure domain
	Lease    time.Duration // of a renewal
	Promise  time.Duration // validity of a promise, counted by the asker from when it asked
	Peers    int           // length of a list
	Promises int           // of a list of that length
	Release  time.Duration // after the lease, when anyone may take the slot
}

// Parts of the lease and other times.
const (
	renewalsPerLease = 3
	promisesPerValid = 3
	retryPause       = 500 * time.Millisecond // after a write whose outcome is open, and between asks for consent
	otherListPause   = time.Second            // between renewals that only bring another list
	longerListPause  = 200 * time.Millisecond // between renewals that bring a longer one
	secondSlotGrace  = time.Second            // a free slot is left so long to instances that hold none
	takenGrace       = 5 * time.Second        // a slot taken from another is kept so long: the other may still look alive
	handoverGrace    = 2 * time.Second        // an instance is known so long before it is handed a slot
)

// Entry is a slot's key as read from the store.
type Entry struct {
	Revision int64 // 0 when the key does not exist
	Record   Record
}

// Write is a compare-and-swap to carry out.
type Write struct {
	Slot   int
	Record Record
	Expect int64
}

// Request is a question for another member: for a promise, or for a consent.
type Request struct {
	Slot    int
	To      Member
	Epoch   uint64
	Seq     uint64 // version of the slot that is asked about
	Consent bool
	SentAt  time.Time
}

// Actions are what the caller has to carry out.
type Actions struct {
	Writes   []Write
	Requests []Request
}

// Outcome is what became of a write.
type Outcome int

// Outcomes of a write.
const (
	Written  Outcome = iota
	Conflict         // the key has another revision
	Unknown          // it may have taken effect, or may yet
)

// HeldSlot is a slot that this instance may mint for.
type HeldSlot struct {
	Slot  int
	Epoch uint64
	Until time.Time // exclusive
}

// Machine runs the protocol for all slots of the own failure domain. It is safe
// for concurrent use.
type Machine struct {
	mu       sync.Mutex
	self     Member
	settings Settings
	slots    []*slot
	live     map[Member]time.Time // live peers of the domain, since when
	leaving  bool
	nonce    uint64 // of the last write
}

// slot is what one instance knows of one slot.
type slot struct {
	index int

	read        bool // it was read from the store once
	seen        Entry
	seenAt      time.Time // when this instance first saw that version
	regressedAt time.Time // when the store was first seen to be older; zero when it is not

	held     *holding
	heldFrom time.Time // since when this epoch is held
	pending  *pendingWrite
	promised map[promiseKey]time.Time // fresh until
	lastAsk  time.Time                // for promises or consents
	givenUp  bool                     // a release or handover was tried: never mint for this epoch again

	consents map[Member]uint64 // latest version that the member consented to

	granted granted
}

// holding is an acknowledged version of the slot that names this instance.
type holding struct {
	Entry
	asked time.Time
}

// pendingWrite is a write whose outcome is not known. Until it is, no other
// content is written: a late effect cannot bring a list that nobody counts.
type pendingWrite struct {
	Write
	asked    time.Time // first try
	tried    time.Time // last try
	inFlight bool
}

type promiseKey struct {
	member Member
	seq    uint64
}

// New returns a machine that holds nothing.
func New(self Member, settings Settings) *Machine {
	m := &Machine{self: self, settings: settings, live: make(map[Member]time.Time)}
	m.resize()
	return m
}

// Configure takes in the fleet document's settings. Slots above a smaller number
// are released.
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

// SetLive takes in the live, not leaving instances of the domain.
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

// Leave makes the machine release what it holds and take nothing more.
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
		if until := s.mintsUntil(); now.Before(until) {
			out = append(out, HeldSlot{Slot: s.index, Epoch: s.held.Record.Epoch, Until: until})
		}
	}
	return out
}

// Idle tells whether no slot is held and no write is open.
func (m *Machine) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !slices.ContainsFunc(m.slots, func(s *slot) bool { return s.held != nil || s.pending != nil })
}

// NeedsFrequentReads tells whether this instance holds or is listed for a slot, or whether a
// slot is free, so that it has to look at the store often.
func (m *Machine) NeedsFrequentReads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.slots, func(s *slot) bool {
		return !s.read || s.free() || s.held != nil || s.pending != nil ||
			s.seen.Record.Holder == m.self || s.seen.Record.lists(m.self)
	})
}

// Records returns what is known of each slot, for operators.
func (m *Machine) Records() []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Record, len(m.slots))
	for i, s := range m.slots {
		out[i] = s.seen.Record
	}
	return out
}

// Observe takes in what a list of all slots in the store returned. A slot
// without an entry does not exist.
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
	s.settle(self, e, now)
}

// observeOlder is for an answer that is older than what is known: a late one, or
// a store that was restored. The holder of the newer version may still mint, so
// the older one counts only after the newer has lapsed.
func (s *slot) observeOlder(e Entry, now time.Time) {
	if s.regressedAt.IsZero() {
		s.regressedAt = now
	}
	if now.Sub(s.regressedAt) < WithDrift(s.seen.Record.lapse()) {
		return
	}
	s.seen, s.seenAt, s.regressedAt = e, now, time.Time{}
	s.held, s.pending = nil, nil
}

// settle compares the store's version with the own write that is open and with
// what is held.
func (s *slot) settle(self Member, e Entry, now time.Time) {
	if p := s.pending; p != nil && !p.inFlight && e.Record.Seq >= p.Record.Seq {
		s.pending = nil
		if mine(e.Record, p.Record) {
			s.accept(self, e, p.asked, now)
			return
		}
	}
	if s.held == nil || e.Record.Seq <= s.held.Record.Seq {
		return
	}
	if p := s.pending; p != nil && mine(e.Record, p.Record) {
		return // its answer is on the way
	}
	s.lose()
}

// mine tells whether a version is the write that this instance tried. Holder and
// list do not suffice: the former holder may have handed the slot over with the
// same content and earlier, and the lease counts from the own write.
func mine(have, tried Record) bool {
	return have.Writer == tried.Writer && have.Nonce == tried.Nonce
}

func (s *slot) accept(self Member, e Entry, asked, now time.Time) {
	s.read, s.seen = true, e
	if e.Record.Holder != self || e.Record.Released || s.givenUp {
		s.lose()
		return
	}
	if s.held == nil || s.held.Record.Epoch != e.Record.Epoch {
		s.heldFrom = now
	}
	s.held = &holding{Entry: e, asked: asked}
	for key := range s.promised {
		if key.seq < e.Record.Seq {
			delete(s.promised, key)
		}
	}
}

func (s *slot) lose() {
	s.held, s.givenUp = nil, false
	clear(s.promised)
}

// WriteDone takes in what became of a write.
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
		s.accept(m.self, Entry{Revision: revision, Record: w.Record}, p.asked, now)
	case Conflict:
		// The next read settles whether an earlier try of this write stands.
	case Unknown:
	}
}

func (s *slot) free() bool { return s.read && (s.seen.Revision == 0 || s.seen.Record.Released) }

// NeedsPromptRead tells whether a slot is free or not read yet, or a write is open, so
// that the store has to be read soon.
func (m *Machine) NeedsPromptRead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.slots, func(s *slot) bool {
		return s.index < m.settings.Slots && (!s.read || s.free() || s.pending != nil ||
			(s.seen.Record.Holder == m.self && s.held == nil))
	})
}

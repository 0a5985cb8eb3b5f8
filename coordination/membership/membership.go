// Package membership keeps what an instance knows of the other instances. Each
// instance writes its own entry and raises its version; entries spread by
// exchanges, and only what the other side lacks travels. Liveness is a counter
// that every instance raises once a round. The members of a failure domain agree
// on their order, so that a whole domain's counters travel as two bytes each.
//
// The package does no I/O: the time and the random source come in with each call.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

const (
	// RoundInterval is how often an instance starts exchanges.
	RoundInterval = time.Second
	// UnreachableAfter is how long a counter may stand still before its instance
	// counts as unreachable: three rounds in a row may be lost.
	UnreachableAfter = 4 * time.Second
	// unreachableAfterRelayed applies where counters come by way of others: in a
	// fleet that is too large for everybody to exchange with everybody.
	unreachableAfterRelayed = 8 * time.Second
	// ForgetAfter is how long an unreachable instance stays known. Regions lose
	// each other for minutes, and then go on where they were.
	ForgetAfter = 15 * time.Minute
	// forgetUnlisted applies to an unreachable instance that said it leaves, or
	// that the platform no longer lists.
	forgetUnlisted = 30 * time.Second
	// rememberGone is how long a forgotten instance cannot come back by a rumour.
	rememberGone = 24 * time.Hour
	// roundSlack is how late a round may be before the instance takes itself to
	// have been paused.
	roundSlack = 2 * RoundInterval
)

// Member is what is known of one instance.
type Member struct {
	Entry       *peerpb.Member // not to be changed
	LastContact time.Time      // when its counter last rose here
	Reachable   bool
	// Loads is the last word on the load of its failure domain, and LoadsHeard when that
	// came here; zero when none has.
	Loads           []*peerpb.ServiceLoad
	LoadsReceivedAt time.Time
}

// Leaving tells whether the instance said that it stops.
func (m Member) Leaving() bool { return leaving(m.Entry) }

func leaving(m *peerpb.Member) bool { return m.GetState() == peerpb.MemberState_MEMBER_STATE_LEAVING }

// Seed is an instance on the platform's list, or an address from the settings,
// which has no id.
type Seed struct {
	ID, PeerAddress, Region, Domain string
}

type record struct {
	entry      *peerpb.Member
	heartbeat  uint64
	heard      time.Time
	loads      []*peerpb.ServiceLoad
	loadsHeard time.Time
}

// goneRecord remembers a forgotten instance, so that an old rumour does not make
// it live again.
type goneRecord struct {
	incarnation, heartbeat uint64
	address                string
	until                  time.Time
}

// Table is safe for concurrent use.
type Table struct {
	mu       sync.RWMutex
	self     string
	members  map[string]*record
	gone     map[string]goneRecord
	seeds    []Seed
	listed   map[string]bool // ids on the platform's list; nil before the first one
	lastBeat time.Time
	rounds   uint64
	relayed  int                     // views of other domains that were handed on
	index    map[string]*domainIndex // nil after a change of entries
	order    []*record               // by id; nil after a change of members
	changes  uint64                  // of entries of others
	hash     uint64
}

// New returns a table that knows only the instance itself.
func New(self *peerpb.Member, now time.Time) *Table {
	return &Table{
		self:     self.GetId(),
		members:  map[string]*record{self.GetId(): {entry: self, heartbeat: 1, heard: now}},
		gone:     make(map[string]goneRecord),
		lastBeat: now,
	}
}

// UpdateSelf changes the instance's own entry. The version rises only with what
// travels as an entry: load and configuration revision travel with each exchange.
func (t *Table) UpdateSelf(now time.Time, change func(*peerpb.Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[t.self]
	next := proto.CloneOf(r.entry)
	change(next)
	if !proto.Equal(static(next), static(r.entry)) {
		next.Version++
		t.index = nil
	}
	r.entry, r.heard = next, now
}

// static is the part of an entry that has a version.
func static(m *peerpb.Member) *peerpb.Member {
	out := shallow(m)
	out.Loads, out.ConfigRevision, out.Heartbeat, out.HeardAgoMs = nil, 0, 0, 0
	return out
}

// shallow returns a copy that shares the lists. Entries are handed out and never
// changed, only replaced, and a copy of the lists each second for each member
// would be most of the cost of an exchange.
func shallow(m *peerpb.Member) *peerpb.Member {
	out := &peerpb.Member{}
	fields := out.ProtoReflect()
	m.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		fields.Set(field, value)
		return true
	})
	return out
}

// SetSeeds takes in the platform's list. It says whom to try, and which
// unreachable instances need not be remembered; it never makes a live one dead.
func (t *Table) SetSeeds(seeds []Seed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds, t.listed = nil, nil
	for _, seed := range seeds {
		if seed.ID != "" && t.listed == nil {
			t.listed = make(map[string]bool, len(seeds))
		}
		if seed.ID != "" {
			t.listed[seed.ID] = true
		}
		if seed.ID != t.self {
			t.seeds = append(t.seeds, seed)
		}
	}
}

// StartRound begins a round: it raises the own counter and forgets who has gone.
//
// After a pause of this process the silence of the others proves nothing: their
// counters rose, it just did not look. Without the correction a resumed instance
// takes all others for dead and refuses what it should forward.
func (t *Table) StartRound(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if late := now.Sub(t.lastBeat) - roundSlack; late > 0 {
		for _, r := range t.members {
			r.heard = r.heard.Add(late)
		}
	}
	t.lastBeat = now
	t.rounds++
	own := t.members[t.self]
	own.heartbeat++
	own.heard = now
	t.sweep(now)
}

func (t *Table) sweep(now time.Time) {
	for id, r := range t.members {
		if id == t.self || now.Sub(r.heard) < t.keep(id, r) {
			continue
		}
		t.gone[id] = goneRecord{r.entry.GetIncarnation(), r.heartbeat, r.entry.GetPeerAddress(), now.Add(rememberGone)}
		delete(t.members, id)
		t.changed()
	}
	for id, g := range t.gone {
		if now.After(g.until) {
			delete(t.gone, id)
		}
	}
}

func (t *Table) keep(id string, r *record) time.Duration {
	if leaving(r.entry) || t.listed != nil && !t.listed[id] {
		return forgetUnlisted
	}
	return ForgetAfter
}

// observed is the time up to which silence counts: not past the instance's own
// last round, see Beat.
func (t *Table) observed(now time.Time) time.Time {
	if limit := t.lastBeat.Add(roundSlack); now.After(limit) {
		return limit
	}
	return now
}

func (t *Table) reachable(id string, r *record, observed time.Time) bool {
	limit := UnreachableAfter
	if len(t.members) > fullFanout {
		limit = unreachableAfterRelayed
	}
	return id == t.self || observed.Sub(r.heard) < limit
}

// Merge takes in entries from a peer.
func (t *Table) Merge(entries []*peerpb.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, entry := range entries {
		t.merge(entry, now)
	}
}

func (t *Table) merge(entry *peerpb.Member, now time.Time) {
	id := entry.GetId()
	switch {
	case id == "":
		return
	case id == t.self:
		t.outlive(entry)
		return
	}
	r, known := t.members[id]
	if !known && t.rumour(id, entry.GetIncarnation(), entry.GetHeartbeat()) {
		return
	}
	if known && !supersedes(entry, r.entry) {
		t.hear(r, entry.GetHeartbeat(), entry.GetIncarnation(), entry.GetConfigRevision(), now)
		return
	}
	next := &record{
		entry: proto.CloneOf(entry), heartbeat: entry.GetHeartbeat(),
		heard: now.Add(-time.Duration(entry.GetHeardAgoMs()) * time.Millisecond),
	}
	if known && r.entry.GetIncarnation() == entry.GetIncarnation() {
		next.heartbeat = max(next.heartbeat, r.heartbeat)
		next.heard = later(next.heard, r.heard)
		next.entry.ConfigRevision = max(entry.GetConfigRevision(), r.entry.GetConfigRevision())
		next.loads, next.loadsHeard = r.loads, r.loadsHeard
	}
	next.entry.Heartbeat, next.entry.HeardAgoMs = 0, 0
	t.members[id] = next
	delete(t.gone, id)
	t.changed()
}

// changed notes that another instance's record was replaced or forgotten.
func (t *Table) changed() {
	t.index, t.order = nil, nil
	t.changes++
}

// Changes counts the changes of other instances' entries. Whether they can be reached, and their
// load, change without.
func (t *Table) Changes() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changes
}

// rumour tells whether news is old news of an instance that was forgotten.
func (t *Table) rumour(id string, incarnation, heartbeat uint64) bool {
	g, ok := t.gone[id]
	if !ok || incarnation > g.incarnation {
		return false
	}
	return incarnation < g.incarnation || heartbeat <= g.heartbeat
}

// outlive raises the own incarnation above that of an earlier run. Without it,
// an instance that starts with a clock behind its predecessor's stays invisible.
func (t *Table) outlive(entry *peerpb.Member) {
	own := t.members[t.self]
	if entry.GetIncarnation() <= own.entry.GetIncarnation() {
		return
	}
	own.entry = proto.CloneOf(own.entry)
	own.entry.Incarnation = entry.GetIncarnation() + 1
	own.entry.Version++
	t.index = nil
}

// supersedes tells whether an entry is newer than another of the same id. An
// instance that leaves does not come back in the same incarnation.
func supersedes(next, current *peerpb.Member) bool {
	if next.GetIncarnation() != current.GetIncarnation() {
		return next.GetIncarnation() > current.GetIncarnation()
	}
	if leaving(next) != leaving(current) {
		return leaving(next)
	}
	return next.GetVersion() > current.GetVersion()
}

// hear takes in a counter and the configuration revision that came with it.
func (t *Table) hear(r *record, heartbeat, incarnation uint64, revision int64, now time.Time) {
	if incarnation != r.entry.GetIncarnation() {
		return
	}
	if heartbeat > r.heartbeat {
		r.heartbeat, r.heard = heartbeat, now
	}
	if revision > r.entry.GetConfigRevision() {
		r.entry = shallow(r.entry)
		r.entry.ConfigRevision = revision
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Self returns the instance's own entry.
func (t *Table) Self() *peerpb.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members[t.self].entry
}

// Members returns every known instance, the own one included, ordered by id.
func (t *Table) Members(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	observed := t.observed(now)
	records := t.ordered()
	out := make([]Member, len(records))
	for i, r := range records {
		out[i] = Member{
			Entry: r.entry, LastContact: r.heard, Reachable: t.reachable(r.entry.GetId(), r, observed), Loads: r.loads, LoadsReceivedAt: r.loadsHeard,
		}
	}
	return out
}

// ordered returns the records by id. The caller holds the lock for writing.
func (t *Table) ordered() []*record {
	if t.order == nil {
		for _, r := range t.members {
			t.order = append(t.order, r)
		}
		slices.SortFunc(t.order, func(a, b *record) int { return cmp.Compare(a.entry.GetId(), b.entry.GetId()) })
	}
	return t.order
}

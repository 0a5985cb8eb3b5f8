// Package membership tracks the instances of the fleet by gossip. Each instance
// writes its own entry and increments its version; entries spread in pairwise
// exchanges, which carry only what the peer lacks. Liveness is a heartbeat counter
// that every instance increments once per round. The members of a failure domain
// agree on their order, so that the counters of a domain take two bytes per member.
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
	// RoundInterval is the interval at which an instance starts exchanges.
	RoundInterval = time.Second
	// UnreachableAfter is how long a heartbeat counter may stay unchanged before its
	// instance counts as unreachable: three consecutive rounds may be lost.
	UnreachableAfter = 4 * time.Second
	// unreachableAfterRelayed applies where counters are relayed by other instances:
	// in a fleet that is too large for a full mesh of exchanges.
	unreachableAfterRelayed = 8 * time.Second
	// ForgetAfter is how long an unreachable instance stays in the table. Regions
	// can be partitioned for minutes, and their instances then resume with the
	// entries that they had.
	ForgetAfter = 15 * time.Minute
	// forgetUnlistedAfter applies to an unreachable instance that announced its
	// shutdown or that the platform no longer lists. One that it has never listed may have
	// joined since.
	forgetUnlistedAfter = 30 * time.Second
	// tombstoneTTL is how long stale gossip cannot add a forgotten instance again.
	tombstoneTTL = 24 * time.Hour
	// roundSlack is how late a round may start before the instance assumes that its
	// process was paused.
	roundSlack = 2 * RoundInterval
)

// Member is the known state of one instance.
type Member struct {
	Entry       *peerpb.Member // read-only
	LastContact time.Time      // when its heartbeat counter last rose in this table
	Reachable   bool
	Confirmed   bool // its counter rose within half of the time after which it is unreachable
	// LeavingSince is when this table learnt that the instance is leaving; zero if it is not.
	LeavingSince time.Time
	// Loads is the last load report of its failure domain, and LoadsReceivedAt the time
	// that report arrived; zero when there was none.
	Loads           []*peerpb.ServiceLoad
	LoadsReceivedAt time.Time
}

// Leaving reports whether the instance announced its shutdown.
func (m Member) Leaving() bool { return leaving(m.Entry) }

func leaving(m *peerpb.Member) bool { return m.GetState() == peerpb.MemberState_MEMBER_STATE_LEAVING }

// Seed is an instance on the platform's list, or an address from the settings,
// which has no id.
type Seed struct {
	ID, PeerAddress, Region, Domain string
}

type record struct {
	entry           *peerpb.Member
	heartbeat       uint64
	lastContact     time.Time
	leavingSince    time.Time // zero if it is not leaving
	loads           []*peerpb.ServiceLoad
	loadsReceivedAt time.Time
}

// tombstone marks a forgotten instance, so that stale gossip does not add it again.
type tombstone struct {
	incarnation, heartbeat uint64
	address                string
	expiry                 time.Time
}

// Table is safe for concurrent use.
type Table struct {
	mu           sync.RWMutex
	self         string
	members      map[string]*record
	tombstones   map[string]tombstone
	seeds        []Seed
	listed       map[string]bool // ids on the platform's list; nil before the first list
	everListed   map[string]bool // ids that have been on it
	lastRound    time.Time
	rounds       uint64
	relayedViews int                     // views of other domains that were relayed
	index        map[string]*domainIndex // nil after a change of entries
	sorted       []*record               // by id; nil after a change of members
	changes      uint64                  // count of changes to entries of other instances
	fleetHash    uint64
}

// New returns a table that knows only the instance itself.
func New(self *peerpb.Member, now time.Time) *Table {
	return &Table{
		self:       self.GetId(),
		members:    map[string]*record{self.GetId(): {entry: self, heartbeat: 1, lastContact: now}},
		tombstones: make(map[string]tombstone),
		everListed: make(map[string]bool),
		lastRound:  now,
	}
}

// UpdateSelf changes the local instance's entry. The version rises only for fields
// that are sent as part of the entry: load and configuration revision are sent with
// each exchange.
func (t *Table) UpdateSelf(now time.Time, change func(*peerpb.Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[t.self]
	next := proto.CloneOf(r.entry)
	change(next)
	if !proto.Equal(versionedFields(next), versionedFields(r.entry)) {
		next.Version++
		t.index = nil
	}
	if leaving(next) && !leaving(r.entry) {
		r.leavingSince = now
	}
	r.entry, r.lastContact = next, now
}

// versionedFields returns the part of an entry that its version covers.
func versionedFields(m *peerpb.Member) *peerpb.Member {
	out := shallowCopy(m)
	out.Loads, out.ConfigRevision, out.Heartbeat, out.HeardAgoMs = nil, 0, 0, 0
	return out
}

// shallowCopy returns a copy that shares the lists. Entries are handed out and never
// changed, only replaced, and a copy of the lists per second and member would be
// most of the cost of an exchange.
func shallowCopy(m *peerpb.Member) *peerpb.Member {
	out := &peerpb.Member{}
	fields := out.ProtoReflect()
	m.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		fields.Set(field, value)
		return true
	})
	return out
}

// SetSeeds replaces the platform's list. The list provides addresses to try, and
// lets unlisted unreachable instances be forgotten early; it never makes a live
// instance unreachable.
func (t *Table) SetSeeds(seeds []Seed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds, t.listed = nil, nil
	for _, seed := range seeds {
		if seed.ID != "" && t.listed == nil {
			t.listed = make(map[string]bool, len(seeds))
		}
		if seed.ID != "" {
			t.listed[seed.ID], t.everListed[seed.ID] = true, true
		}
		if seed.ID != t.self {
			t.seeds = append(t.seeds, seed)
		}
	}
}

// StartRound begins a round: it increments the local heartbeat counter and removes
// members whose retention has passed.
//
// After a pause of this process the silence of the others proves nothing: their
// counters rose while it did not run. Without the correction a resumed instance
// counts all others as unreachable and refuses requests that it should forward.
func (t *Table) StartRound(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if late := now.Sub(t.lastRound) - roundSlack; late > 0 {
		for _, r := range t.members {
			r.lastContact = r.lastContact.Add(late)
		}
	}
	t.lastRound = now
	t.rounds++
	local := t.members[t.self]
	local.heartbeat++
	local.lastContact = now
	t.sweep(now)
}

func (t *Table) sweep(now time.Time) {
	for id, r := range t.members {
		if id == t.self || now.Sub(r.lastContact) < t.retention(id, r) {
			continue
		}
		t.tombstones[id] = tombstone{r.entry.GetIncarnation(), r.heartbeat, r.entry.GetPeerAddress(), now.Add(tombstoneTTL)}
		delete(t.members, id)
		delete(t.everListed, id)
		t.markChanged()
	}
	for id, g := range t.tombstones {
		if now.After(g.expiry) {
			delete(t.tombstones, id)
		}
	}
}

func (t *Table) retention(id string, r *record) time.Duration {
	if leaving(r.entry) || t.listed != nil && !t.listed[id] && t.everListed[id] {
		return forgetUnlistedAfter
	}
	return ForgetAfter
}

// observationTime returns the time up to which silence counts: at most roundSlack
// after the local instance's last round, see StartRound.
func (t *Table) observationTime(now time.Time) time.Time {
	if limit := t.lastRound.Add(roundSlack); now.After(limit) {
		return limit
	}
	return now
}

func (t *Table) reachable(id string, r *record, observed time.Time) bool {
	return id == t.self || observed.Sub(r.lastContact) < t.silenceLimit()
}

func (t *Table) confirmed(id string, r *record, observed time.Time) bool {
	return id == t.self || observed.Sub(r.lastContact) < t.silenceLimit()/2
}

func (t *Table) silenceLimit() time.Duration {
	if len(t.members) > maxFullMesh {
		return unreachableAfterRelayed
	}
	return UnreachableAfter
}

// Merge applies entries that a peer sent.
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
		t.raiseIncarnation(entry)
		return
	}
	r, known := t.members[id]
	if !known && t.isStaleGossip(id, entry.GetIncarnation(), entry.GetHeartbeat()) {
		return
	}
	if known && !supersedes(entry, r.entry) {
		t.applyHeartbeat(r, entry.GetHeartbeat(), entry.GetIncarnation(), entry.GetConfigRevision(), now)
		return
	}
	next := &record{
		entry: proto.CloneOf(entry), heartbeat: entry.GetHeartbeat(),
		lastContact: now.Add(-time.Duration(entry.GetHeardAgoMs()) * time.Millisecond),
	}
	if known && r.entry.GetIncarnation() == entry.GetIncarnation() {
		next.heartbeat = max(next.heartbeat, r.heartbeat)
		next.lastContact = later(next.lastContact, r.lastContact)
		next.entry.ConfigRevision = max(entry.GetConfigRevision(), r.entry.GetConfigRevision())
		next.loads, next.loadsReceivedAt = r.loads, r.loadsReceivedAt
		next.leavingSince = r.leavingSince
	}
	if leaving(entry) && next.leavingSince.IsZero() {
		next.leavingSince = now
	}
	next.entry.Heartbeat, next.entry.HeardAgoMs = 0, 0
	t.members[id] = next
	delete(t.tombstones, id)
	t.markChanged()
}

// markChanged records that another instance's record was replaced or removed.
func (t *Table) markChanged() {
	t.index, t.sorted = nil, nil
	t.changes++
}

// Changes returns the number of changes to other instances' entries. Changes of their
// reachability and load do not count.
func (t *Table) Changes() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.changes
}

// isStaleGossip reports whether an update about a forgotten instance is no newer than
// its tombstone.
func (t *Table) isStaleGossip(id string, incarnation, heartbeat uint64) bool {
	g, ok := t.tombstones[id]
	if !ok || incarnation > g.incarnation {
		return false
	}
	return incarnation < g.incarnation || heartbeat <= g.heartbeat
}

// raiseIncarnation raises the local incarnation above that of an earlier process
// with the same id. Without it the entry of an instance that starts with a clock
// behind its predecessor's is ignored by all peers.
func (t *Table) raiseIncarnation(entry *peerpb.Member) {
	local := t.members[t.self]
	if entry.GetIncarnation() <= local.entry.GetIncarnation() {
		return
	}
	local.entry = proto.CloneOf(local.entry)
	local.entry.Incarnation = entry.GetIncarnation() + 1
	local.entry.Version++
	t.index = nil
}

// supersedes reports whether an entry is newer than another with the same id. An
// instance that is leaving does not become live again in the same incarnation.
func supersedes(next, current *peerpb.Member) bool {
	if next.GetIncarnation() != current.GetIncarnation() {
		return next.GetIncarnation() > current.GetIncarnation()
	}
	if leaving(next) != leaving(current) {
		return leaving(next)
	}
	return next.GetVersion() > current.GetVersion()
}

// applyHeartbeat applies a heartbeat counter and the configuration revision that
// came with it.
func (t *Table) applyHeartbeat(r *record, heartbeat, incarnation uint64, revision int64, now time.Time) {
	if incarnation != r.entry.GetIncarnation() {
		return
	}
	if heartbeat > r.heartbeat {
		r.heartbeat, r.lastContact = heartbeat, now
	}
	if revision > r.entry.GetConfigRevision() {
		r.entry = shallowCopy(r.entry)
		r.entry.ConfigRevision = revision
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Self returns the local instance's entry.
func (t *Table) Self() *peerpb.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members[t.self].entry
}

// Members returns every known instance, the local one included, ordered by id.
func (t *Table) Members(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	observed := t.observationTime(now)
	records := t.sortedRecords()
	out := make([]Member, len(records))
	for i, r := range records {
		out[i] = Member{
			Entry: r.entry, LastContact: r.lastContact, Reachable: t.reachable(r.entry.GetId(), r, observed),
			Confirmed:    t.confirmed(r.entry.GetId(), r, observed),
			LeavingSince: r.leavingSince, Loads: r.loads, LoadsReceivedAt: r.loadsReceivedAt,
		}
	}
	return out
}

// sortedRecords returns the records ordered by id. The caller holds the lock for
// writing.
func (t *Table) sortedRecords() []*record {
	if t.sorted == nil {
		for _, r := range t.members {
			t.sorted = append(t.sorted, r)
		}
		slices.SortFunc(t.sorted, func(a, b *record) int { return cmp.Compare(a.entry.GetId(), b.entry.GetId()) })
	}
	return t.sorted
}

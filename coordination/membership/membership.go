// Package membership keeps what an instance knows of the other instances. Each
// instance writes its own entry and raises its version; entries spread by
// exchanging digests, and only what the other side lacks travels.
//
// The package does no I/O: the time comes in with each call.
package membership

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// UnreachableAfter is how long an entry may stay unchanged before its instance
// counts as unreachable. Every instance raises its version each second.
const UnreachableAfter = 4 * time.Second

// Member is what is known of one instance.
type Member struct {
	Entry     *peerpb.Member // not to be changed
	Heard     time.Time      // when its version last rose here
	Reachable bool
}

// Leaving tells whether the instance said that it stops.
func (m Member) Leaving() bool {
	return m.Entry.GetState() == peerpb.MemberState_MEMBER_STATE_LEAVING
}

// Seed is an instance on the platform's list.
type Seed struct {
	ID, PeerAddress, Region, Domain string
}

type record struct {
	entry *peerpb.Member
	heard time.Time
}

// Table is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	self    string
	members map[string]*record
	seeds   map[string]Seed
}

// New returns a table that knows only the instance itself.
func New(self *peerpb.Member, now time.Time) *Table {
	return &Table{
		self:    self.GetId(),
		members: map[string]*record{self.GetId(): {entry: self, heard: now}},
		seeds:   make(map[string]Seed),
	}
}

// UpdateSelf changes the instance's own entry and raises its version.
func (t *Table) UpdateSelf(now time.Time, change func(*peerpb.Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.members[t.self]
	next := proto.CloneOf(r.entry)
	change(next)
	next.Version++
	r.entry, r.heard = next, now
}

// SetSeeds takes in the platform's list. It only says whom to try.
func (t *Table) SetSeeds(seeds []Seed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = make(map[string]Seed, len(seeds))
	for _, seed := range seeds {
		if seed.ID != t.self {
			t.seeds[seed.ID] = seed
		}
	}
}

// Digests says which version of every entry is known here.
func (t *Table) Digests() []*peerpb.MemberDigest {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*peerpb.MemberDigest, 0, len(t.members))
	for id, r := range t.members {
		out = append(out, &peerpb.MemberDigest{Id: id, Incarnation: r.entry.GetIncarnation(), Version: r.entry.GetVersion()})
	}
	return out
}

// Newer returns the entries that the sender of the digests lacks.
func (t *Table) Newer(digests []*peerpb.MemberDigest) []*peerpb.Member {
	known := make(map[string]*peerpb.MemberDigest, len(digests))
	for _, d := range digests {
		known[d.GetId()] = d
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []*peerpb.Member
	for id, r := range t.members {
		d := known[id]
		if d == nil || newer(r.entry, d.GetIncarnation(), d.GetVersion()) {
			out = append(out, r.entry)
		}
	}
	return out
}

func newer(m *peerpb.Member, incarnation, version uint64) bool {
	return cmp.Or(cmp.Compare(m.GetIncarnation(), incarnation), cmp.Compare(m.GetVersion(), version)) > 0
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
	if entry.GetId() == t.self || entry.GetId() == "" {
		return
	}
	r, ok := t.members[entry.GetId()]
	if !ok {
		t.members[entry.GetId()] = &record{entry: entry, heard: now}
		return
	}
	if newer(entry, r.entry.GetIncarnation(), r.entry.GetVersion()) {
		r.entry, r.heard = entry, now
	}
}

// Self returns the instance's own entry.
func (t *Table) Self() *peerpb.Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.members[t.self].entry
}

// Members returns every known instance, the own one included, ordered by id.
func (t *Table) Members(now time.Time) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]Member, 0, len(t.members))
	for id, r := range t.members {
		reachable := id == t.self || now.Sub(r.heard) < UnreachableAfter
		out = append(out, Member{Entry: r.entry, Heard: r.heard, Reachable: reachable})
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Entry.GetId(), b.Entry.GetId()) })
	return out
}

// Targets returns the peer addresses to exchange with: every known instance and
// every seed that is not known yet.
func (t *Table) Targets() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []string
	for id, r := range t.members {
		if id != t.self {
			out = append(out, r.entry.GetPeerAddress())
		}
	}
	for id, seed := range t.seeds {
		if t.members[id] == nil {
			out = append(out, seed.PeerAddress)
		}
	}
	slices.Sort(out)
	return out
}

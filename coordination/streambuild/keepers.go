package streambuild

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/rendezvous"
)

const (
	localKeepers  = 2 // keepers in the region of the first instance
	remoteKeepers = 1 // in other regions, for when the first region is lost
	// askedPerRegion is how many instances of each region are asked: one more than keep a record, as some may
	// have ended since.
	askedPerRegion = 2
)

// Member is an instance that can keep records.
type Member struct {
	ID      string
	Region  string
	Address netip.AddrPort
	hash    uint64
}

// Members are the other instances of the fleet, by region.
type Members struct {
	region   string // of this instance
	byRegion map[string][]Member
	remote   []Member
	silent   []string // regions with members that cannot be reached, and no others
}

// NewMembers returns the members around an instance of a region. unreachable names the regions of those that cannot be reached.
func NewMembers(region string, others []Member, unreachable ...string) *Members {
	out := &Members{region: region, byRegion: make(map[string][]Member)}
	for _, m := range others {
		m.hash = xxhash.Sum64String(m.ID)
		out.byRegion[m.Region] = append(out.byRegion[m.Region], m)
		if m.Region != region {
			out.remote = append(out.remote, m)
		}
	}
	for _, region := range unreachable {
		if len(out.byRegion[region]) == 0 {
			out.silent = append(out.silent, region)
		}
	}
	return out
}

// None reports whether no other instance is known.
func (m *Members) None() bool { return len(m.byRegion) == 0 }

// Keepers returns the instances that keep the record of a stream which begins at this instance.
func (m *Members) Keepers(stream StreamID) []Member {
	return append(top(m.byRegion[m.region], stream, localKeepers), top(m.remote, stream, remoteKeepers)...)
}

// Candidates returns the instances that may keep the record of a stream, those of the local region first.
func (m *Members) Candidates(stream StreamID) []Member {
	out := top(m.byRegion[m.region], stream, askedPerRegion)
	for region, members := range m.byRegion {
		if region != m.region {
			out = append(out, top(members, stream, askedPerRegion)...)
		}
	}
	return out
}

// CountLocal returns how many of the members are in the region of this instance.
func (m *Members) CountLocal(members []Member) int {
	n := 0
	for _, other := range members {
		if other.Region == m.region {
			n++
		}
	}
	return n
}

// Heard reports whether an instance of each region has answered, of those that were asked. One that has not may hold the record, or
// have seen another build.
func (m *Members) Heard(asked []Member, answers []Answer) bool {
	heard := make(map[string]bool, len(m.byRegion))
	for _, a := range answers {
		if at := slices.IndexFunc(asked, func(member Member) bool { return member.Address == a.From }); at >= 0 {
			heard[asked[at].Region] = true
		}
	}
	return len(m.silent) == 0 && len(heard) == len(m.byRegion)
}

// top returns the members with the highest scores for a stream, the highest first.
func top(members []Member, stream StreamID, count int) []Member {
	out := make([]Member, 0, count+1)
	for _, m := range members {
		score := rendezvous.Score(m.hash, uint64(stream))
		at := slices.IndexFunc(out, func(o Member) bool { return score > rendezvous.Score(o.hash, uint64(stream)) })
		switch {
		case at >= 0:
			out = slices.Insert(out, at, m)
		case len(out) < count:
			out = append(out, m)
		}
		out = out[:min(len(out), count)]
	}
	return out
}

// Package coldowner chooses the instance of a region that sends requests to a cold server. The
// server's rate limit applies to all instances together; a single sender keeps it without
// coordination. The package does no I/O.
package coldowner

import (
	"slices"

	"github.com/basilroute/basilroute/coordination/rendezvous"
)

// Member is an instance of the region that can be reached and still serves.
type Member struct {
	ID      string
	Leaving bool // it has announced its shutdown
}

// View is a region's instances as one of them knows them. It is safe for concurrent use.
type View struct {
	candidates []string
	owners     rendezvous.Owners
}

// NewView returns the view of a region with the members. Those that leave own servers only if
// there are no others. A view that still has a member that another view lacks yields no second
// owner: only the servers of that member have other owners without it.
func NewView(members []Member) *View {
	v := &View{}
	for _, leaving := range []bool{false, true} {
		for _, m := range members {
			if m.Leaving == leaving {
				v.candidates = append(v.candidates, m.ID)
			}
		}
		if len(v.candidates) > 0 {
			return v
		}
	}
	return v
}

// Owner returns the member that sends to a server, or an empty string if there are no members.
func (v *View) Owner(server string) string { return v.owners.Of(server, &v.candidates) }

// Equal reports whether both views yield the same owners.
func (v *View) Equal(other *View) bool { return slices.Equal(v.candidates, other.candidates) }

// Package coldowner decides which instance of a region sends requests to a cold server, and at
// which share of the server's rate. The rate applies to all instances together. A single sender
// in each part of the region that is in touch keeps it without coordination; parts that are cut
// from each other divide it by their numbers of instances. The package does no I/O.
package coldowner

import (
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/rendezvous"
)

// settleTime is how long a higher share has to be due before it is used. Contact that comes back
// is noticed at different times on its two sides.
const settleTime = 2 * time.Second

// Member is an instance of the region that may still serve.
type Member struct {
	ID        string
	Leaving   bool // it has announced its shutdown
	Reachable bool
	Confirmed bool // it was heard of so recently that it still counts the others as reachable too
}

// View is a region's instances as one of them knows them. It is safe for concurrent use.
type View struct {
	candidates []string
	fraction   float64 // of the rate, for the members in touch together
	due        float64 // fraction that is used once it has been due for settleTime
	dueSince   time.Time
	owners     rendezvous.Owners
}

// NewView returns the view of a region with the members. Those that leave own servers only if
// there are no others. A view that still has a member that another view lacks yields no second
// owner: only the servers of that member have other owners without it.
func NewView(members []Member) *View {
	v := &View{fraction: fraction(members)}
	v.due = v.fraction
	for _, leaving := range []bool{false, true} {
		for _, m := range members {
			if m.Reachable && m.Leaving == leaving {
				v.candidates = append(v.candidates, m.ID)
			}
		}
		if len(v.candidates) > 0 {
			return v
		}
	}
	return v
}

// fraction returns the part of the rate that belongs to the members in touch. Members that cannot
// be reached may be cut off, and then use their part.
func fraction(members []Member) float64 {
	confirmed := 0
	for _, m := range members {
		if m.Reachable && m.Confirmed {
			confirmed++
		}
	}
	return float64(confirmed) / float64(max(len(members), 1))
}

// Next returns the view that follows this one: this one itself if nothing has changed. The share
// falls at once, and rises when it has been due for settleTime.
func (v *View) Next(members []Member, now time.Time) *View {
	next := NewView(members)
	if next.fraction > v.fraction {
		next.settle(v, now)
	}
	if slices.Equal(next.candidates, v.candidates) && next.fraction == v.fraction && next.due == v.due {
		return v
	}
	return next
}

// settle delays the rise of the share over that of the view before.
func (v *View) settle(before *View, now time.Time) {
	since := before.dueSince
	if before.due <= before.fraction {
		since, before = now, &View{fraction: before.fraction, due: v.fraction}
	}
	v.due = min(v.due, before.due)
	if now.Sub(since) >= settleTime {
		v.fraction = v.due
		return
	}
	v.fraction, v.dueSince = before.fraction, since
}

// Share returns the share of a server's rate that the member may use.
func (v *View) Share(server, member string) float64 {
	if v.owners.Of(server, &v.candidates) != member {
		return 0
	}
	return v.fraction
}

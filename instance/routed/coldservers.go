package routed

import (
	"time"

	"github.com/basilroute/basilroute/coordination/coldowner"
	"github.com/basilroute/basilroute/coordination/membership"
)

// ownsColdServer reports whether this instance is the one of its region that sends requests
// to a cold server. Two that do not see each other stay below the server's bound, which is
// more than twice the rate. An instance that has just started sees only itself: when a whole
// region starts, each of its instances would send, and the server would crash.
func (n *Instance) ownsColdServer(server string) bool {
	if n.uptime() < startupPeriod || n.stopping.Load() {
		return false
	}
	return n.coldOwners.Load().Owner(server) == n.settings.ID
}

// applyColdOwners applies the members of the region to the ownership of cold servers.
func (n *Instance) applyColdOwners(members []membership.Member, now time.Time) {
	var serving []coldowner.Member
	for _, m := range members {
		if m.Reachable && m.Entry.GetRegion() == n.settings.Region && n.mayServe(m, now) {
			serving = append(serving, coldowner.Member{ID: m.Entry.GetId(), Leaving: m.Leaving()})
		}
	}
	if view := coldowner.NewView(serving); !view.Equal(n.coldOwners.Load()) {
		n.coldOwners.Store(view)
	}
}

// mayServe reports whether a member may still accept requests: it is not leaving, or has begun to
// leave too recently.
func (n *Instance) mayServe(m membership.Member, now time.Time) bool {
	return !m.Leaving() || now.Sub(m.LeavingSince) < n.serveTime()
}

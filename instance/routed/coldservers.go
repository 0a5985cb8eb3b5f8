package routed

import (
	"time"

	"github.com/basilroute/basilroute/coordination/coldowner"
	"github.com/basilroute/basilroute/coordination/membership"
)

// coldShare returns the share of a cold server's rate at which this instance may send to it. An
// instance that has just started sees only itself: when a whole region starts, each of its
// instances would send, and the server would crash.
func (n *Instance) coldShare(server string) float64 {
	if n.uptime() < startupPeriod || n.stopping.Load() {
		return 0
	}
	return n.coldOwners.Load().Share(server, n.settings.ID)
}

// applyColdOwners applies the members of the region to the ownership of cold servers.
func (n *Instance) applyColdOwners(members []membership.Member, now time.Time) {
	var serving []coldowner.Member
	for _, m := range members {
		if m.Entry.GetRegion() == n.settings.Region && n.mayServe(m, now) {
			serving = append(serving, coldowner.Member{
				ID: m.Entry.GetId(), Leaving: m.Leaving(), Reachable: m.Reachable, Confirmed: m.Confirmed,
			})
		}
	}
	n.coldOwners.Store(n.coldOwners.Load().Next(serving, now))
}

// mayServe reports whether a member may still accept requests: it is not leaving, or has begun to
// leave too recently.
func (n *Instance) mayServe(m membership.Member, now time.Time) bool {
	return !m.Leaving() || now.Sub(m.LeavingSince) < n.serveTime()
}

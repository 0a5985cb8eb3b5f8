package routed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/directory"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
	"github.com/basilroute/basilroute/transport/httproute"
)

// lastKnownFor is how long an instance that reaches no other names those it knew: then
// they may be gone.
const lastKnownFor = 8 * time.Second

// isolated tells whether this instance reaches none of those it heard just now.
func (n *Instance) isolated(now time.Time) bool {
	if fleet, _ := n.reachable(); fleet != 1 {
		return false
	}
	return slices.ContainsFunc(n.members.Members(now), func(m membership.Member) bool {
		return m.Entry.GetId() != n.settings.ID && !m.Leaving() && now.Sub(m.LastContact) < lastKnownFor
	})
}

// noGenerations refuses what instances of the other interface forward.
type noGenerations struct{}

// RunForwarded implements peer.Runner.
func (noGenerations) RunForwarded(context.Context, *dispatch.Work, dispatch.Sink) error {
	return refusal.New(refusal.CodeNotFound, "this instance serves HTTP routes")
}

// CancelForwarded implements peer.Runner.
func (noGenerations) CancelForwarded(string, string, string) {}

// Remotes implements httproute.Remotes: one reachable instance of each other region,
// drawn at random so that the calls spread, with the latest word of any instance there:
// each speaks for the servers of its whole region.
func (n *Instance) Remotes(service string) []httproute.Remote {
	byRegion := make(map[string][]membership.Member)
	latest := make(map[string]membership.Member)
	for _, m := range n.members.Members(time.Now()) {
		region := m.Entry.GetRegion()
		if !m.Reachable || m.Leaving() || region == n.settings.Region || m.Entry.GetRelayAddress() == "" {
			continue
		}
		byRegion[region] = append(byRegion[region], m)
		if m.LoadsReceivedAt.After(latest[region].LoadsReceivedAt) {
			latest[region] = m
		}
	}
	out := make([]httproute.Remote, 0, len(byRegion))
	for region, members := range byRegion {
		if sound := slices.DeleteFunc(slices.Clone(members), n.unreachedJustNow); len(sound) > 0 {
			members = sound
		}
		m, word := members[rand.IntN(len(members))], latest[region]
		remote := httproute.Remote{
			Region: region, Instance: m.Entry.GetId(), Address: m.Entry.GetRelayAddress(),
			RoundTrip: 2 * n.settings.Bounds.RegionDelay, ReportedAt: word.LoadsReceivedAt,
		}
		for _, load := range word.Loads {
			if load.GetService() == service {
				remote.Servers = int(load.GetServers())
				remote.Running, remote.FreeSlots = int(load.GetInFlight()), int(load.GetRoom())
				remote.StallFraction = float64(load.GetSlowedPercent()) / 100
				remote.ExpectedFirstByte = time.Duration(load.GetExpectedWaitMs()) * time.Millisecond
			}
		}
		out = append(out, remote)
	}
	return out
}

// avoidFor is how long an instance that could not be reached is passed over for others
// of its region: until the members know better.
const avoidFor = 2 * time.Second

// MarkUnreachable implements httproute.Remotes.
func (n *Instance) MarkUnreachable(instance string) { n.avoided.Store(instance, n.uptime()) }

func (n *Instance) unreachedJustNow(m membership.Member) bool {
	at, ok := n.avoided.Load(m.Entry.GetId())
	if !ok {
		return false
	}
	failed, _ := at.(time.Duration)
	return n.uptime()-failed < avoidFor
}

// DirectoryQuery is what a caller asks the directory.
type DirectoryQuery struct {
	Host           string
	Region, Domain string // the caller's; may be empty
}

// DirectoryAnswer is the directory's.
type DirectoryAnswer struct {
	Addresses []string
	TTL       time.Duration
}

// maxNamed bounds the instances that an answer names: more than a caller tries.
const maxNamed = 16

// directoryTTL is how long an answer counts, within what the deployment allows: short
// enough that a stopping instance is forgotten while it still serves.
const directoryTTL = 2 * time.Second

// Resolve answers a caller that asks where to connect, see directory.Choose. An
// instance that reaches no other one names the others, as it last knew them, and not
// itself: callers may reach them, and it has only its own part of the quotas.
func (n *Instance) Resolve(q DirectoryQuery) DirectoryAnswer {
	region := q.Region
	if region == "" {
		region = n.settings.Region
	}
	var homes []string
	if config := n.routes.Current(); config != nil {
		homes = config.HostHomeRegions(q.Host)
	}
	now := time.Now()
	isolated := n.isolated(now)
	var known []directory.Instance
	for _, m := range n.members.Members(now) {
		usable := m.Reachable
		if isolated {
			usable = !m.Reachable && now.Sub(m.LastContact) < lastKnownFor
		}
		if usable {
			known = append(known, directory.Instance{
				Address: m.Entry.GetCallerAddress(), Region: m.Entry.GetRegion(), Leaving: m.Leaving(),
			})
		}
	}
	named := directory.Choose(known, region, homes)
	rand.Shuffle(len(named), func(a, b int) { named[a], named[b] = named[b], named[a] })
	return DirectoryAnswer{Addresses: named[:min(len(named), maxNamed)], TTL: min(directoryTTL, n.settings.Bounds.DirectoryTTL)}
}

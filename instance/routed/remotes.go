package routed

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/directory"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/spill"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/transport/dispatch"
	"github.com/basilroute/basilroute/transport/httproute"
)

// lastKnownTTL is how long an instance that reaches no other one lists those that it last
// knew: after that they may be gone.
const lastKnownTTL = 8 * time.Second

// isolated reports whether this instance reaches none of the instances that it had contact
// with within lastKnownTTL.
func (n *Instance) isolated(now time.Time) bool {
	if fleet, _ := n.reachableCounts(); fleet != 1 {
		return false
	}
	return slices.ContainsFunc(n.members.Members(now), func(m membership.Member) bool {
		return m.Entry.GetId() != n.settings.ID && !m.Leaving() && now.Sub(m.LastContact) < lastKnownTTL
	})
}

// generationRefuser refuses generations that instances of package instance forward.
type generationRefuser struct{}

// RunForwarded implements peer.Runner.
func (generationRefuser) RunForwarded(context.Context, *dispatch.Work, dispatch.Sink) error {
	return refusal.New(refusal.CodeNotFound, "this instance serves HTTP routes")
}

// CancelForwarded implements peer.Runner.
func (generationRefuser) CancelForwarded(string, string, string) bool { return false }

// Remotes implements httproute.Remotes. It returns one reachable instance of each other
// region, drawn among those to which this one forwards, with the latest load report of any
// instance of that region: each report covers the servers of its whole region.
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
		if reachable := slices.DeleteFunc(slices.Clone(members), n.recentlyUnreachable); len(reachable) > 0 {
			members = reachable
		}
		m, report := n.forwardPeer(members), latest[region]
		remote := httproute.Remote{
			Region: region, Instance: m.Entry.GetId(), Address: m.Entry.GetRelayAddress(),
			RoundTrip: 2 * n.settings.Bounds.RegionDelay, ReportedAt: report.LoadsReceivedAt,
		}
		for _, load := range report.Loads {
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

// forwardPeer draws one of the members of a region to which this instance forwards.
func (n *Instance) forwardPeer(members []membership.Member) membership.Member {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.Entry.GetId()
	}
	chosen := spill.ChoosePeers(n.settings.ID, ids)
	return members[chosen[rand.IntN(len(chosen))]]
}

// unreachableTTL is how long an instance that could not be reached is avoided in favour of
// others of its region: until the membership table reflects the failure.
const unreachableTTL = 2 * time.Second

// MarkUnreachable implements httproute.Remotes.
func (n *Instance) MarkUnreachable(instance string) { n.unreachableAt.Store(instance, n.uptime()) }

func (n *Instance) recentlyUnreachable(m membership.Member) bool {
	at, ok := n.unreachableAt.Load(m.Entry.GetId())
	if !ok {
		return false
	}
	failedAt, _ := at.(time.Duration)
	return n.uptime()-failedAt < unreachableTTL
}

// DirectoryQuery is what a caller sends to the directory.
type DirectoryQuery struct {
	Host           string
	Region, Domain string // the caller's; may be empty
}

// DirectoryAnswer is the directory's response.
type DirectoryAnswer struct {
	Addresses []string
	TTL       time.Duration
}

// maxDirectoryAddresses bounds the instances that a response lists: it is more than a
// caller tries.
const maxDirectoryAddresses = 16

// directoryTTL is how long a response is valid, within what the deployment allows: short
// enough that callers drop a stopping instance while it still serves.
const directoryTTL = 2 * time.Second

// Resolve tells a caller where to connect, see directory.Choose. An instance that reaches
// no other one lists the others, as it last knew them, and not itself: callers may still
// reach them, and it has only its own share of the quotas.
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
			usable = !m.Reachable && now.Sub(m.LastContact) < lastKnownTTL
		}
		if usable {
			known = append(known, directory.Instance{
				Address: m.Entry.GetCallerAddress(), Region: m.Entry.GetRegion(), Leaving: m.Leaving(),
			})
		}
	}
	addresses := directory.Choose(known, region, homes)
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return DirectoryAnswer{Addresses: addresses[:min(len(addresses), maxDirectoryAddresses)], TTL: min(directoryTTL, n.settings.Bounds.DirectoryTTL)}
}

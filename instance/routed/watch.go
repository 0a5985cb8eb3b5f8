package routed

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

// A few instances of a region watch the store, at least two of them and one in each failure
// domain; the others follow one of these over a stream. Each change completes every watch,
// so that without this the number of calls would grow with instances times servers. What a
// watcher misses while it is cut off itself comes with the next exchange, see
// knownRevisions.
const (
	// followHeartbeat is how often a watcher reports that it is up to date.
	followHeartbeat = 500 * time.Millisecond
	// followIdleTimeout is how long a watcher may send nothing before another one is
	// followed, or this instance watches the store: well within the time in which changes
	// have to be in force.
	followIdleTimeout = 1200 * time.Millisecond
	// fallbackWatchPeriod is how long an instance watches the store itself after it found
	// no watcher to follow.
	fallbackWatchPeriod = 5 * time.Second
	// failedWatcherTTL is how long a watcher that failed is avoided: until the membership
	// table reflects the failure.
	failedWatcherTTL = 3 * time.Second
	// roleCheckInterval is how often an instance checks whether it is a watcher.
	roleCheckInterval = 500 * time.Millisecond
)

// runStoreSync keeps the mirrors up to date, from the store or from a watcher.
func (n *Instance) runStoreSync(ctx context.Context) {
	watchUntil := time.Time{}                    // until when this instance watches the store in any case
	failedWatchers := make(map[string]time.Time) // until when a watcher that failed is avoided, by address
	for ctx.Err() == nil {
		now := time.Now()
		if n.isWatcher(now) || now.Before(watchUntil) {
			n.watchStore(ctx, watchUntil)
			continue
		}
		maps.DeleteFunc(failedWatchers, func(_ string, until time.Time) bool { return !now.Before(until) })
		peer := n.pickWatcher(now, failedWatchers)
		if peer == "" {
			watchUntil = now.Add(fallbackWatchPeriod)
			continue
		}
		if !n.followWatcher(ctx, peer) {
			failedWatchers[peer] = time.Now().Add(failedWatcherTTL)
		}
	}
}

// regionWatchers returns the ids of the local region's watchers, by failure domain.
func (n *Instance) regionWatchers(now time.Time) map[string][]string {
	candidates := make(map[string][]configwatch.Candidate)
	for _, m := range n.members.Members(now) {
		if m.Reachable && !m.Leaving() && m.Entry.GetRegion() == n.settings.Region {
			domain := m.Entry.GetDomain()
			candidates[domain] = append(candidates[domain], configwatch.Candidate{
				ID: m.Entry.GetId(), StoreFailing: m.Entry.GetStoreUnreachable(), LinkMbps: int(m.Entry.GetLinkMbps()),
			})
		}
	}
	return configwatch.RegionWatchers(candidates)
}

// isWatcher reports whether this instance is to watch the store itself.
func (n *Instance) isWatcher(now time.Time) bool {
	if n.routes.Current() == nil || n.servers.mirror.Revision() == 0 {
		return true // nothing is known yet: the store is the fastest source
	}
	return slices.Contains(n.regionWatchers(now)[n.settings.Domain], n.settings.ID)
}

// pickWatcher returns the address of a watcher to follow, preferably of the local failure
// domain, or an empty string if there is none.
func (n *Instance) pickWatcher(now time.Time, avoid map[string]time.Time) string {
	byDomain := n.regionWatchers(now)
	var local, remote []string
	for _, m := range n.members.Members(now) {
		address, domain := m.Entry.GetPeerAddress(), m.Entry.GetDomain()
		_, failed := avoid[address]
		if failed || m.Entry.GetStoreUnreachable() || m.Entry.GetRegion() != n.settings.Region ||
			!slices.Contains(byDomain[domain], m.Entry.GetId()) {
			continue
		}
		if domain == n.settings.Domain {
			local = append(local, address)
		} else {
			remote = append(remote, address)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return ""
	}
	return local[rand.IntN(len(local))]
}

// watchStore watches the store until this instance is to follow another one, but at least
// until a given time.
func (n *Instance) watchStore(ctx context.Context, minEnd time.Time) {
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, f := range n.syncs {
		running.Go(func() { n.syncPrefix(ctx, f) })
	}
	for ctx.Err() == nil {
		sleep(ctx, roleCheckInterval)
		now := time.Now()
		if now.After(minEnd) && !n.storeUnreachable() && !n.isWatcher(now) && n.pickWatcher(now, nil) != "" {
			break
		}
	}
	stop()
	running.Wait()
}

// followWatcher follows a watcher. It returns true when this instance is to watch the store
// itself, and false when the watcher fails.
func (n *Instance) followWatcher(ctx context.Context, address string) bool {
	client, err := n.pool.Get(address)
	if err != nil {
		n.log.Error("peer_address", "address", address, "error", err.Error())
		return false
	}
	began := time.Now()
	lastReceived := began
	err = n.receiveUpdates(ctx, client, n.followRequest(), origin{source: sourceWatcher, peer: address}, func() bool {
		lastReceived = time.Now()
		for _, f := range n.syncs {
			n.markStoreReachable(f)
		}
		return !n.isWatcher(lastReceived)
	})
	if err == nil {
		return true
	}
	n.syncMetrics.countFailure(sourceWatcher)
	n.log.Info("watcher_lost", "address", address, "followed_ms", time.Since(began).Milliseconds(),
		"silent_ms", time.Since(lastReceived).Milliseconds(), "error", err.Error())
	return false
}

// followRequest asks for what this instance lacks, and for the changes from then on.
func (n *Instance) followRequest() *peerpb.FollowRequest {
	return &peerpb.FollowRequest{From: n.settings.ID, Known: n.knownRevisions(), Parts: true}
}

// Follow implements peer.Followed: it sends changes to a follower, and ends when this
// instance is no longer up to date.
func (n *Instance) Follow(req *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowUpdate]) error {
	known := req.GetKnown()
	if req.GetOnce() {
		return n.serveCatchUp(stream, known)
	}
	changed := make(chan struct{}, 1)
	n.subscribers.Store(changed, true)
	defer n.subscribers.Delete(changed)
	ticker := time.NewTicker(followHeartbeat)
	defer ticker.Stop()
	for {
		if n.storeUnreachable() || n.leaving.Load() {
			return nil // the follower picks another watcher
		}
		views := n.viewsSince(known, math.MaxInt)
		if err := n.sendUpdate(stream, views, req.GetParts()); err != nil {
			return err
		}
		markSent(known, views)
		select {
		case <-changed:
		case <-ticker.C:
		case <-stream.Context().Done():
			return nil
		case <-n.background.Done():
			return nil
		}
	}
}

// notifyFollowers wakes the streams of those that follow this instance.
func (n *Instance) notifyFollowers() {
	n.subscribers.Range(func(key, _ any) bool {
		if c, ok := key.(chan struct{}); ok {
			select {
			case c <- struct{}{}:
			default:
			}
		}
		return true
	})
}

package routed

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

// A few instances of a region watch the store, at least two of them and one in each
// failure domain; the others follow one of these over a stream. Each change wakes every
// watch, so that the calls would otherwise grow with instances times servers. What a
// watcher misses that is itself cut off comes with the next exchange, see knowledge.
const (
	// followBeat is how often a watcher says that it is up to date.
	followBeat = 500 * time.Millisecond
	// followSilence is how long a watcher may say nothing before another one is
	// followed, or the store is watched here: well within the times in which changes
	// have to be in force.
	followSilence = 1200 * time.Millisecond
	// ownWatch is how long an instance watches the store itself after the watchers
	// failed it.
	ownWatch = 5 * time.Second
	// lostFor is how long a watcher that failed is passed over: until the members know
	// better.
	lostFor = 3 * time.Second
	// roleEvery is how often the roles are looked at.
	roleEvery = 500 * time.Millisecond
)

// followStore keeps the mirrors up to date, from the store or from a watcher.
func (n *Instance) followStore(ctx context.Context) {
	alone := time.Time{}               // until when the store is watched here in any case
	lost := make(map[string]time.Time) // address of a watcher that failed, until when
	for ctx.Err() == nil {
		now := time.Now()
		if n.watches(now) || now.Before(alone) {
			n.watchStore(ctx, alone)
			continue
		}
		maps.DeleteFunc(lost, func(_ string, until time.Time) bool { return !now.Before(until) })
		peer := n.pickWatcher(now, lost)
		if peer == "" {
			alone = now.Add(ownWatch)
			continue
		}
		if !n.followPeer(ctx, peer) {
			lost[peer] = time.Now().Add(lostFor)
		}
	}
}

// watchers returns the watchers of the own region, by failure domain.
func (n *Instance) watchers(now time.Time) map[string][]string {
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

// watches tells whether this instance is to watch the store itself.
func (n *Instance) watches(now time.Time) bool {
	if n.routes.Current() == nil || n.servers.mirror.Revision() == 0 {
		return true // nothing is known yet: the store is the fastest way
	}
	return slices.Contains(n.watchers(now)[n.settings.Domain], n.settings.ID)
}

// pickWatcher returns the address of a watcher to follow, one of the own failure domain
// if any can be used, and empty when there is none.
func (n *Instance) pickWatcher(now time.Time, lost map[string]time.Time) string {
	byDomain := n.watchers(now)
	var near, far []string
	for _, m := range n.members.Members(now) {
		address, domain := m.Entry.GetPeerAddress(), m.Entry.GetDomain()
		_, failed := lost[address]
		if failed || m.Entry.GetStoreUnreachable() || m.Entry.GetRegion() != n.settings.Region ||
			!slices.Contains(byDomain[domain], m.Entry.GetId()) {
			continue
		}
		if domain == n.settings.Domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.IntN(len(near))]
}

// watchStore watches the store until this instance is to follow another one, but at
// least until a time.
func (n *Instance) watchStore(ctx context.Context, least time.Time) {
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, f := range n.followers {
		running.Go(func() { n.follow(ctx, f) })
	}
	for ctx.Err() == nil {
		pause(ctx, roleEvery)
		now := time.Now()
		if now.After(least) && !n.storeAway() && !n.watches(now) && n.pickWatcher(now, nil) != "" {
			break
		}
	}
	stop()
	running.Wait()
}

// followPeer follows a watcher until this instance is to watch itself, which returns
// true, or until the watcher fails it.
func (n *Instance) followPeer(ctx context.Context, address string) bool {
	client, err := n.pool.Get(address)
	if err != nil {
		n.log.Error("peer_address", "address", address, "error", err.Error())
		return false
	}
	began := time.Now()
	heard := began
	req := &peerpb.FollowRequest{From: n.settings.ID, Known: n.knowledge(), Parts: true}
	err = n.receive(ctx, client, req, origin{way: wayWatcher, peer: address}, func() bool {
		heard = time.Now()
		for _, f := range n.followers {
			n.storeAnswered(f)
		}
		return !n.watches(heard)
	})
	if err == nil {
		return true
	}
	n.copies.fail(wayWatcher)
	n.log.Info("watcher_lost", "address", address, "followed_ms", time.Since(began).Milliseconds(),
		"silent_ms", time.Since(heard).Milliseconds(), "error", err.Error())
	return false
}

// Follow implements peer.Followed: it hands on what changes, and ends when this
// instance is no longer up to date.
func (n *Instance) Follow(req *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowUpdate]) error {
	known := req.GetKnown()
	if req.GetOnce() {
		return n.sendOnce(stream, known)
	}
	changed := make(chan struct{}, 1)
	n.subscribers.Store(changed, true)
	defer n.subscribers.Delete(changed)
	ticker := time.NewTicker(followBeat)
	defer ticker.Stop()
	for {
		if n.storeAway() || n.leaving.Load() {
			return nil // the follower turns to another one
		}
		views := n.lacking(known)
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

// announce wakes those who follow this instance.
func (n *Instance) announce() {
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

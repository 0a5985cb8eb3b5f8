package routed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/protocol/peerpb"
)

// Two instances of a failure domain watch the store; the others follow one of these
// over a stream. Each change wakes every watch, so that the calls would otherwise
// grow with instances times servers.
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
	// roleEvery is how often the roles are looked at.
	roleEvery = 500 * time.Millisecond
)

// followStore keeps the mirrors up to date, from the store or from a watcher.
func (n *Node) followStore(ctx context.Context) {
	alone := time.Time{} // until when the store is watched here in any case
	for ctx.Err() == nil {
		now := time.Now()
		watchers := n.watchers(now)
		peer := n.pickWatcher(watchers)
		if peer == "" || now.Before(alone) {
			n.watchStore(ctx, alone)
			continue
		}
		if n.followPeer(ctx, peer) {
			continue
		}
		if n.pickWatcher(n.watchers(time.Now())) == peer || len(watchers) == 1 {
			alone = time.Now().Add(ownWatch)
		}
	}
}

// watchers returns the watchers of the own failure domain.
func (n *Node) watchers(now time.Time) []string {
	var candidates []configwatch.Candidate
	for _, m := range n.members.Members(now) {
		if m.Reachable && !m.Leaving() && m.Entry.GetDomain() == n.settings.Domain {
			candidates = append(candidates, configwatch.Candidate{ID: m.Entry.GetId(), StoreFailing: m.Entry.GetStoreUnreachable()})
		}
	}
	return configwatch.Watchers(candidates)
}

// pickWatcher returns the address of a watcher to follow, empty when this instance is
// to watch the store itself.
func (n *Node) pickWatcher(watchers []string) string {
	if n.routes.Current() == nil || n.servers.mirror.Revision() == 0 {
		return "" // nothing is known yet: the store is the fastest way
	}
	var addresses []string
	for _, m := range n.members.Members(time.Now()) {
		for _, id := range watchers {
			if id == n.settings.ID {
				return ""
			}
			if m.Entry.GetId() == id && !m.Entry.GetStoreUnreachable() {
				addresses = append(addresses, m.Entry.GetPeerAddress())
			}
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// watchStore watches the store until this instance is to follow another one, but at
// least until a time.
func (n *Node) watchStore(ctx context.Context, least time.Time) {
	ctx, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, f := range n.followers {
		running.Go(func() { n.follow(ctx, f) })
	}
	for ctx.Err() == nil {
		pause(ctx, roleEvery)
		now := time.Now()
		if now.After(least) && !n.storeAway() && n.pickWatcher(n.watchers(now)) != "" {
			break
		}
	}
	stop()
	running.Wait()
}

// followPeer follows a watcher until this instance is to watch itself, which returns
// true, or until the watcher fails it.
func (n *Node) followPeer(ctx context.Context, address string) bool {
	client, err := n.pool.Get(address)
	if err != nil {
		n.log.Error("peer_address", "address", address, "error", err.Error())
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(followSilence, cancel)
	defer silence.Stop()
	stream, err := client.Follow(ctx, &peerpb.FollowRequest{From: n.settings.ID, Known: n.knowledge()})
	for err == nil {
		var update *peerpb.FollowUpdate
		update, err = stream.Recv()
		if err != nil {
			break
		}
		silence.Reset(followSilence)
		n.takeViews(update.GetViews(), address)
		for _, f := range n.followers {
			n.storeAnswered(f)
		}
		if n.pickWatcher(n.watchers(time.Now())) == "" {
			return true
		}
	}
	n.log.Info("watcher_lost", "address", address, "error", err.Error())
	return false
}

// Follow implements peer.Followed: it hands on what changes, and ends when this
// instance is no longer up to date.
func (n *Node) Follow(req *peerpb.FollowRequest, stream grpc.ServerStreamingServer[peerpb.FollowUpdate]) error {
	known := req.GetKnown()
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
		for _, view := range views {
			for _, k := range known {
				if k.GetPrefix() == view.GetPrefix() {
					k.Revision = view.GetRevision()
				}
			}
		}
		if err := stream.Send(&peerpb.FollowUpdate{Views: views}); err != nil {
			return err
		}
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
func (n *Node) announce() {
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

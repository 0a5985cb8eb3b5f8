package routed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/mirror"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	// watchWait is how long a watch waits for a change. Silence beyond it and a
	// call's timeout shows that the store is out of reach.
	watchWait = 2 * time.Second
	// minBackoff and maxBackoff are between calls that fail. All instances lose the
	// store at once; without growing pauses they would use up its calls when it is
	// back.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// awayAfter is how long calls fail before the store counts as out of reach.
	awayAfter = 300 * time.Millisecond
	// serversSettle is between a change of backend servers' entries and the next watch.
	// Entries change in bursts, as when a release begins; without the pause each change
	// of a burst is a call by each watcher. It is small against the seconds in which a
	// leaving server has to be left alone.
	serversSettle = 150 * time.Millisecond
)

// follower keeps the mirror of one prefix up to date.
type follower struct {
	prefix  string
	mirror  *mirror.Mirror
	changed func([]mirror.Item)
	settle  time.Duration // between a change and the next watch
	failing atomic.Int64  // since when calls fail, in nanoseconds since the start; 0 while they succeed
}

// follow lists the prefix and watches it until ctx ends.
func (n *Instance) follow(ctx context.Context, f *follower) {
	backoff := minBackoff
	listed := false
	for ctx.Err() == nil {
		delta, err := n.read(ctx, f, listed)
		switch {
		case err == nil:
			listed, backoff = true, minBackoff
			n.storeAnswered(f)
			n.apply(f, delta, origin{way: wayStore})
			if len(delta.Items) > 0 && f.settle > 0 {
				pause(ctx, f.settle)
			}
			continue
		case errors.Is(err, platform.ErrCompacted):
			n.log.Info("store_history_gone", "prefix", f.prefix, "after", f.mirror.Revision())
			listed = false
		case ctx.Err() != nil:
			return
		default:
			n.storeFailed(f, err)
		}
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (n *Instance) read(ctx context.Context, f *follower, listed bool) (mirror.Delta, error) {
	store := n.source.Store()
	after := f.mirror.Revision()
	if !listed || after == 0 {
		found, revision, err := store.List(ctx, f.prefix, 0)
		return mirror.Delta{Revision: revision, Items: items(found), Full: true}, err
	}
	found, revision, err := store.Watch(ctx, f.prefix, after, watchWait)
	return mirror.Delta{After: after, Revision: revision, Items: items(found)}, err
}

func items(found []platform.KeyValue) []mirror.Item {
	out := make([]mirror.Item, len(found))
	for i, kv := range found {
		out[i] = mirror.Item{Key: kv.Key, Value: kv.Value, Revision: kv.Revision, Removed: kv.Deleted}
	}
	return out
}

func (n *Instance) apply(f *follower, d mirror.Delta, from origin) {
	changed := f.mirror.Apply(d)
	n.copies.arrived(f.prefix, from, d, changed)
	if len(changed) == 0 {
		return
	}
	if from.way != wayStore {
		n.log.Info("store_items_from_peer", "prefix", f.prefix, "way", from.way, "peer", from.peer, "items", len(changed),
			"bytes", itemBytes(changed), "revision", d.Revision)
	}
	f.changed(changed)
	n.announce()
}

func (n *Instance) storeAnswered(f *follower) {
	since := f.failing.Swap(0)
	if since == 0 {
		return
	}
	n.log.Info("store_back", "prefix", f.prefix, "away_ms", (n.uptime() - time.Duration(since)).Milliseconds())
	if f == n.servers {
		n.backends.SetStoreUnreachable(false, time.Now())
	}
}

func (n *Instance) storeFailed(f *follower, err error) {
	n.copies.fail(wayStore)
	now := time.Now()
	if f.failing.CompareAndSwap(0, int64(n.uptime())) {
		n.log.Info("store_lost", "prefix", f.prefix, "error", err.Error())
	}
	if f == n.servers {
		n.backends.SetStoreUnreachable(true, now)
	}
}

// away tells whether the store has been out of reach for a while.
func (f *follower) away(uptime time.Duration) bool {
	since := time.Duration(f.failing.Load())
	return since != 0 && uptime-since > awayAfter
}

// storeAway tells whether any part of the store is out of reach.
func (n *Instance) storeAway() bool {
	for _, f := range n.followers {
		if f.away(n.uptime()) || f.mirror.Revision() == 0 {
			return true
		}
	}
	return false
}

// startTime is how long after its start an instance may lack what it needs to serve.
const startTime = 2 * time.Second

// mayWait tells whether requests may wait for what this instance still has to learn.
func (n *Instance) mayWait() bool {
	return n.uptime() < startTime && n.features.On(features.StartupWait)
}

// uptime is by the steady clock: the time of day may jump.
func (n *Instance) uptime() time.Duration { return time.Since(n.started) }

// pause waits, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

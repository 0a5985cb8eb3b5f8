package routed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/mirror"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the time between calls that fail. All instances lose
	// the store at once; without growing delays they would use up its call rate when it
	// comes back.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// unreachableAfter is how long calls have to fail before the store is considered
	// unreachable.
	unreachableAfter = 300 * time.Millisecond
	// serversDebounce is the time between a change of backend servers' entries and the next
	// watch. Entries change in bursts, as when a release begins; without the delay, each
	// change of a burst costs one call by each watcher. It is small against the seconds
	// within which a leaving server must get no more requests.
	serversDebounce = 150 * time.Millisecond
)

// prefixSync keeps the mirror of one prefix up to date.
type prefixSync struct {
	prefix       string
	mirror       *mirror.Mirror
	onChange     func([]mirror.Item, origin)
	debounce     time.Duration // between a change and the next watch
	failingSince atomic.Int64  // uptime in nanoseconds since which calls, other than watches alone, fail; 0 while they succeed
}

func items(found []platform.KeyValue) []mirror.Item {
	out := make([]mirror.Item, len(found))
	for i, kv := range found {
		out[i] = mirror.Item{Key: kv.Key, Value: kv.Value, Revision: kv.Revision, Removed: kv.Deleted}
	}
	return out
}

func (n *Instance) applyDelta(f *prefixSync, d mirror.Delta, from origin) {
	known := f.mirror.Revision()
	if d.Full && isRestored(known, d.Revision) {
		n.recordStoreRestored(f, known, d.Revision)
	}
	changed := f.mirror.Apply(d)
	n.syncMetrics.countItems(f.prefix, from, d, changed)
	if d.Full && d.Revision < known {
		n.syncMetrics.countIgnored(f.prefix, from.source)
		n.log.Info("store_list_ignored", "prefix", f.prefix, "way", from.source, "peer", from.peer,
			"revision", configwatch.FormatRank(d.Revision), "known", configwatch.FormatRank(known))
	}
	if len(changed) == 0 {
		return
	}
	if from.source != sourceStore {
		n.log.Info("store_items_from_peer", "prefix", f.prefix, "way", from.source, "peer", from.peer, "items", len(changed),
			"bytes", itemBytes(changed), "revision", configwatch.FormatRank(d.Revision))
	}
	f.onChange(changed, from)
	n.notifyFollowers()
}

func (n *Instance) markStoreReachable(f *prefixSync) {
	since := f.failingSince.Swap(0)
	if since == 0 {
		return
	}
	n.log.Info("store_back", "prefix", f.prefix, "away_ms", (n.uptime() - time.Duration(since)).Milliseconds())
	if f == n.servers {
		n.backends.SetStoreUnreachable(false, time.Now())
	}
}

func (n *Instance) markStoreFailing(f *prefixSync, err error) {
	n.syncMetrics.countFailure(sourceStore)
	now := time.Now()
	if f.failingSince.CompareAndSwap(0, int64(n.uptime())) {
		n.log.Info("store_lost", "prefix", f.prefix, "error", err.Error())
	}
	if f == n.servers {
		n.backends.SetStoreUnreachable(true, now)
	}
}

// failing reports whether the last call failed.
func (f *prefixSync) failing() bool { return f.failingSince.Load() != 0 }

// unreachable reports whether calls have failed for longer than unreachableAfter.
func (f *prefixSync) unreachable(uptime time.Duration) bool {
	since := time.Duration(f.failingSince.Load())
	return since != 0 && uptime-since > unreachableAfter
}

// storeUnreachable reports whether any prefix is unreachable or has not been read yet.
func (n *Instance) storeUnreachable() bool {
	for _, f := range n.syncs {
		if f.unreachable(n.uptime()) || f.mirror.Revision() == 0 {
			return true
		}
	}
	return false
}

// startupPeriod is how long after its start an instance may lack what it needs to serve.
const startupPeriod = 2 * time.Second

// startupWaitAllowed reports whether requests may wait for state that this instance has not
// received yet after its start.
func (n *Instance) startupWaitAllowed() bool {
	return n.uptime() < startupPeriod && n.features.On(features.StartupWait)
}

// uptime is measured by the monotonic clock, since the wall clock may jump.
func (n *Instance) uptime() time.Duration { return time.Since(n.started) }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

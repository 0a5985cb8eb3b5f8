package routed

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/state/mirror"
	"github.com/basilroute/basilroute/transport/peer"
)

// Instances pass the store's items on over the links that also carry their callers'
// requests, and sending a configuration may take a second on such a link. A copy that is
// aborted for its length is started again and loads the links further, so that none
// arrives. Hence large updates are compressed and sent in chunks, a receiver keeps waiting
// while chunks arrive, and an exchange, which is a single message with a deadline, only
// reports that there is more.
const (
	// maxExchangeItemBytes is how many bytes of items an exchange within a failure domain
	// carries: some thirty entries of servers.
	maxExchangeItemBytes = 8 << 10
	// catchUpDelay is how long an instance that learns of newer revisions waits for its
	// watcher to deliver them.
	catchUpDelay = 700 * time.Millisecond
	// maxCatchUpsServed is how many other instances may fetch from this one at a time.
	maxCatchUpsServed = 4
)

// Between failure domains an item travels once: from a watcher of one to a watcher of the other, if the
// store does not give it to both. If all instances passed items on between domains, then while entries
// change, as at a start, each exchange would carry some that the receiver's own watcher is about to send,
// and bytes would grow with instances times entries.

// exchangeItemBytes returns how many bytes of items an exchange with an instance of a failure domain
// carries. Between domains it carries revisions only.
func (n *Instance) exchangeItemBytes(domain string) int {
	if domain == n.settings.Domain {
		return maxExchangeItemBytes
	}
	return 0
}

// mayCatchUpFrom reports whether this instance may fetch what it lacks from an instance of a failure
// domain: within its own always, from others as a watcher, or when the store and its watchers fail it.
func (n *Instance) mayCatchUpFrom(domain string, now time.Time) bool {
	if domain == n.settings.Domain || slices.Contains(n.regionWatchers(now)[n.settings.Domain], n.settings.ID) {
		return true
	}
	return slices.ContainsFunc(n.syncs, func(f *prefixSync) bool { return f.unreachable(n.uptime()) })
}

// knownRevisions returns the revision up to which each prefix is known. It is part of every
// exchange: a watcher that is cut off from the store detects that only seconds later, and
// its followers, which receive nothing in the meantime, would use outdated items.
func (n *Instance) knownRevisions() []*peerpb.StoreView {
	out := make([]*peerpb.StoreView, len(n.syncs))
	for i, f := range n.syncs {
		out[i] = &peerpb.StoreView{Prefix: f.prefix, Revision: f.mirror.Revision()}
	}
	return out
}

// viewsSince returns the items that a peer lacks, given the revisions that it knows. A view with more
// than maxBytes of values is reduced to its revision.
func (n *Instance) viewsSince(known []*peerpb.StoreView, maxBytes int) []*peerpb.StoreView {
	var out []*peerpb.StoreView
	for _, view := range known {
		for _, f := range n.syncs {
			if f.prefix != view.GetPrefix() || f.mirror.Revision() <= view.GetRevision() {
				continue
			}
			d, complete := f.mirror.SinceWithin(view.GetRevision(), maxBytes)
			if !complete {
				out = append(out, &peerpb.StoreView{Prefix: f.prefix, Revision: d.Revision, After: d.Revision})
				continue
			}
			view := encodeView(f.prefix, d)
			if f == n.servers {
				view.RemovalsHoldMs = n.removalsHold(time.Now()).Milliseconds()
			}
			out = append(out, view)
		}
	}
	return out
}

// holdStep is the unit of the hold of removals that is passed on: most followers get the same packed update.
const holdStep = 500 * time.Millisecond

// removalsHold returns how long a peer is to keep removed servers in use.
func (n *Instance) removalsHold(now time.Time) time.Duration {
	steps := (n.backends.RemovalsHold(now) + holdStep - 1) / holdStep
	return steps * holdStep
}

func encodeView(prefix string, d mirror.Delta) *peerpb.StoreView {
	view := &peerpb.StoreView{Prefix: prefix, Revision: d.Revision, After: d.After, Whole: d.Full}
	for _, item := range d.Items {
		view.Items = append(view.Items, &peerpb.Document{Key: item.Key, Revision: item.Revision, Value: item.Value, Deleted: item.Removed})
	}
	return view
}

// markSent raises the revisions that a follower knows to those that were sent to it.
func markSent(known, sent []*peerpb.StoreView) {
	for _, view := range sent {
		for _, k := range known {
			if k.GetPrefix() == view.GetPrefix() {
				k.Revision = view.GetRevision()
			}
		}
	}
}

// applyViews applies a peer's items that are newer than the local ones.
func (n *Instance) applyViews(views []*peerpb.StoreView, from origin) {
	for _, view := range views {
		d := mirror.Delta{After: view.GetAfter(), Revision: view.GetRevision(), Full: view.GetWhole()}
		for _, item := range view.GetItems() {
			d.Items = append(d.Items, mirror.Item{
				Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Removed: item.GetDeleted(),
			})
		}
		from.hold = time.Duration(view.GetRemovalsHoldMs()) * time.Millisecond
		for _, f := range n.syncs {
			if f.prefix == view.GetPrefix() {
				n.applyDelta(f, d, from)
			}
		}
	}
}

// isBehind reports whether a peer knows a newer revision than this instance.
func (n *Instance) isBehind(views []*peerpb.StoreView) bool {
	for _, view := range views {
		for _, f := range n.syncs {
			if f.prefix == view.GetPrefix() && f.mirror.Revision() < view.GetRevision() {
				return true
			}
		}
	}
	return false
}

// packCache keeps the last update that was compressed: most followers of an instance lack
// the same items.
type packCache struct {
	mu     sync.Mutex
	key    string
	packed []byte
}

func (c *packCache) pack(update *peerpb.FollowUpdate) ([]byte, error) {
	var key strings.Builder
	for _, view := range update.GetViews() {
		_, _ = fmt.Fprintf(&key, "%s %d %d %d;", view.GetPrefix(), view.GetAfter(), view.GetRevision(), view.GetRemovalsHoldMs()) // does not fail
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.key == key.String() {
		return c.packed, nil
	}
	packed, err := peer.PackUpdate(update)
	if err == nil {
		c.key, c.packed = key.String(), packed
	}
	return packed, err
}

// sendUpdate sends views to a follower, in chunks if they are large and the follower
// supports chunks (parts).
func (n *Instance) sendUpdate(stream grpc.ServerStreamingServer[peerpb.FollowUpdate], views []*peerpb.StoreView, chunked bool) error {
	update := &peerpb.FollowUpdate{Views: views}
	if !chunked || proto.Size(update) <= peer.ChunkBytes {
		return stream.Send(update)
	}
	packed, err := n.updateCache.pack(update)
	if err != nil {
		n.log.Error("update_unpackable", "error", err.Error())
		return status.Error(codes.Internal, err.Error())
	}
	return peer.SendChunks(packed, stream.Send)
}

// serveCatchUp sends a peer what it lacks, to at most maxCatchUpsServed peers at a time.
func (n *Instance) serveCatchUp(stream grpc.ServerStreamingServer[peerpb.FollowUpdate], known []*peerpb.StoreView) error {
	if n.catchUpsServed.Add(1) > maxCatchUpsServed {
		n.catchUpsServed.Add(-1)
		return status.Error(codes.ResourceExhausted, "others are catching up from this instance")
	}
	defer n.catchUpsServed.Add(-1)
	return n.sendUpdate(stream, n.viewsSince(known, math.MaxInt), true)
}

// receiveUpdates applies a peer's updates until more returns false after a message; it then
// returns nil. It returns an error when the stream ends, or when nothing arrives for
// followIdleTimeout.
func (n *Instance) receiveUpdates(ctx context.Context, client peerpb.PeerClient, req *peerpb.FollowRequest, from origin, more func() bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := time.AfterFunc(followIdleTimeout, cancel)
	defer idle.Stop()
	stream, err := client.Follow(ctx, req)
	if err != nil {
		return err
	}
	var assembly peer.Assembler
	partial := false
	defer func() { n.countPartialUpdate(&partial, false) }()
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		idle.Reset(followIdleTimeout)
		update, err := assembly.Add(message)
		if err != nil {
			n.log.Error("update_unreadable", "peer", from.peer, "error", err.Error())
			return err
		}
		n.countPartialUpdate(&partial, assembly.Incomplete())
		n.applyViews(update.GetViews(), from)
		if !more() {
			return nil
		}
	}
}

// countPartialUpdate maintains the number of streams on which chunks of an update are still
// to come.
func (n *Instance) countPartialUpdate(partial *bool, now bool) {
	switch {
	case now && !*partial:
		n.partialUpdates.Add(1)
	case !now && *partial:
		n.partialUpdates.Add(-1)
	}
	*partial = now
}

// catchUp fetches from a peer the items of which an exchange carried only the revision,
// unless they arrive from another source in the meantime.
func (n *Instance) catchUp(client peerpb.PeerClient, peerID string, offered []*peerpb.StoreView) {
	if !n.isBehind(offered) || !n.catchingUp.CompareAndSwap(false, true) {
		return
	}
	n.loops.Go(func() {
		defer n.catchingUp.Store(false)
		if n.routes.Current() != nil {
			sleep(n.background, catchUpDelay)
		}
		if n.partialUpdates.Load() > 0 || !n.isBehind(offered) {
			return
		}
		req := &peerpb.FollowRequest{From: n.settings.ID, Known: n.knownRevisions(), Parts: true, Once: true}
		err := n.receiveUpdates(n.background, client, req, origin{source: sourceCatchUp, peer: peerID}, func() bool { return true })
		if err != nil && !errors.Is(err, io.EOF) {
			n.syncMetrics.countFailure(sourceCatchUp)
			n.log.Info("catch_up_failed", "peer", peerID, "error", err.Error())
		}
	})
}

package routed

import (
	"context"
	"fmt"
	"io"
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

// Instances hand on the store's items over the links that carry their callers' requests,
// and a configuration may take a second of such a link. A copy that is given up for its
// length is begun anew and fills the links further, so that none arrives. Hence large updates
// go packed and in parts, a receiver waits while parts arrive, and an exchange, which
// is one message with a deadline, only says that there is more.
const (
	// exchangeItems is how many bytes of items an exchange carries: some thirty entries of servers.
	exchangeItems = 8 << 10
	// catchUpAfter is how long an instance that hears of more than it knows waits for its
	// watcher to bring it.
	catchUpAfter = 700 * time.Millisecond
	// catchUpServes is how many others fetch from this instance at once.
	catchUpServes = 4
)

// knowledge says up to which revision each prefix is known here. It goes with every
// exchange: a watcher that is cut off from the store learns of it seconds later, and its
// followers, who hear nothing in the meantime, would go by what has been replaced.
func (n *Instance) knowledge() []*peerpb.StoreView {
	out := make([]*peerpb.StoreView, len(n.followers))
	for i, f := range n.followers {
		out[i] = &peerpb.StoreView{Prefix: f.prefix, Revision: f.mirror.Revision()}
	}
	return out
}

// lacking returns what a peer lacks.
func (n *Instance) lacking(asked []*peerpb.StoreView) []*peerpb.StoreView {
	var out []*peerpb.StoreView
	for _, view := range asked {
		for _, f := range n.followers {
			if f.prefix != view.GetPrefix() || f.mirror.Revision() <= view.GetRevision() {
				continue
			}
			d := f.mirror.Since(view.GetRevision())
			reply := &peerpb.StoreView{Prefix: f.prefix, Revision: d.Revision, After: d.After, Whole: d.Full}
			for _, item := range d.Items {
				reply.Items = append(reply.Items, &peerpb.Document{
					Key: item.Key, Revision: item.Revision, Value: item.Value, Deleted: item.Removed,
				})
			}
			out = append(out, reply)
		}
	}
	return out
}

// offered is lacking for an exchange: of what is too large for it only the revision goes.
func (n *Instance) offered(asked []*peerpb.StoreView) []*peerpb.StoreView {
	views := n.lacking(asked)
	for i, view := range views {
		if valueBytes(view) > exchangeItems {
			views[i] = &peerpb.StoreView{Prefix: view.GetPrefix(), Revision: view.GetRevision(), After: view.GetRevision()}
		}
	}
	return views
}

func valueBytes(view *peerpb.StoreView) int {
	size := 0
	for _, item := range view.GetItems() {
		size += len(item.GetValue())
	}
	return size
}

// markSent raises what a follower knows by what was sent to it.
func markSent(known, sent []*peerpb.StoreView) {
	for _, view := range sent {
		for _, k := range known {
			if k.GetPrefix() == view.GetPrefix() {
				k.Revision = view.GetRevision()
			}
		}
	}
}

// takeViews takes in what a peer knows beyond this instance.
func (n *Instance) takeViews(views []*peerpb.StoreView, from origin) {
	for _, view := range views {
		d := mirror.Delta{After: view.GetAfter(), Revision: view.GetRevision(), Full: view.GetWhole()}
		for _, item := range view.GetItems() {
			d.Items = append(d.Items, mirror.Item{
				Key: item.GetKey(), Value: item.GetValue(), Revision: item.GetRevision(), Removed: item.GetDeleted(),
			})
		}
		for _, f := range n.followers {
			if f.prefix == view.GetPrefix() {
				n.apply(f, d, from)
			}
		}
	}
}

// behind tells whether a peer knows more than this instance.
func (n *Instance) behind(views []*peerpb.StoreView) bool {
	for _, view := range views {
		for _, f := range n.followers {
			if f.prefix == view.GetPrefix() && f.mirror.Revision() < view.GetRevision() {
				return true
			}
		}
	}
	return false
}

// packCache keeps the update that was packed last: most of those that follow an instance
// lack the same.
type packCache struct {
	mu     sync.Mutex
	of     string
	packed []byte
}

func (c *packCache) pack(update *peerpb.FollowUpdate) ([]byte, error) {
	var of strings.Builder
	for _, view := range update.GetViews() {
		_, _ = fmt.Fprintf(&of, "%s %d %d;", view.GetPrefix(), view.GetAfter(), view.GetRevision()) // does not fail
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.of == of.String() {
		return c.packed, nil
	}
	packed, err := peer.PackUpdate(update)
	if err == nil {
		c.of, c.packed = of.String(), packed
	}
	return packed, err
}

// sendUpdate sends views to a follower, in parts if they are large and the follower takes parts.
func (n *Instance) sendUpdate(stream grpc.ServerStreamingServer[peerpb.FollowUpdate], views []*peerpb.StoreView, parts bool) error {
	update := &peerpb.FollowUpdate{Views: views}
	if !parts || proto.Size(update) <= peer.ChunkBytes {
		return stream.Send(update)
	}
	packed, err := n.packs.pack(update)
	if err != nil {
		n.log.Error("update_unpackable", "error", err.Error())
		return status.Error(codes.Internal, err.Error())
	}
	return peer.SendChunks(packed, stream.Send)
}

// sendOnce sends what a peer lacks to a few at a time.
func (n *Instance) sendOnce(stream grpc.ServerStreamingServer[peerpb.FollowUpdate], known []*peerpb.StoreView) error {
	if n.catchUps.Add(1) > catchUpServes {
		n.catchUps.Add(-1)
		return status.Error(codes.ResourceExhausted, "others are catching up from this instance")
	}
	defer n.catchUps.Add(-1)
	return n.sendUpdate(stream, n.lacking(known), true)
}

// receive takes in a peer's updates until more says that it is enough after a message,
// which returns nil. It ends with an error when the stream does, or when nothing
// comes for followSilence.
func (n *Instance) receive(ctx context.Context, client peerpb.PeerClient, req *peerpb.FollowRequest, from origin, more func() bool) error {
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	silence := time.AfterFunc(followSilence, giveUp)
	defer silence.Stop()
	stream, err := client.Follow(ctx, req)
	if err != nil {
		return err
	}
	var parts peer.Assembler
	partial := false
	defer func() { n.noteReceiving(&partial, false) }()
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		silence.Reset(followSilence)
		update, err := parts.Add(message)
		if err != nil {
			n.log.Error("update_unreadable", "peer", from.peer, "error", err.Error())
			return err
		}
		n.noteReceiving(&partial, parts.Incomplete())
		n.takeViews(update.GetViews(), from)
		if !more() {
			return nil
		}
	}
}

// noteReceiving keeps count of the streams on which parts of an update are still to come.
func (n *Instance) noteReceiving(partial *bool, now bool) {
	switch {
	case now && !*partial:
		n.receiving.Add(1)
	case !now && *partial:
		n.receiving.Add(-1)
	}
	*partial = now
}

// catchUp fetches from a peer what an exchange with it has only named, unless it comes
// on another way meanwhile.
func (n *Instance) catchUp(client peerpb.PeerClient, peerID string, named []*peerpb.StoreView) {
	if !n.behind(named) || !n.catching.CompareAndSwap(false, true) {
		return
	}
	n.loops.Go(func() {
		defer n.catching.Store(false)
		if n.routes.Current() != nil {
			pause(n.background, catchUpAfter)
		}
		if n.receiving.Load() > 0 || !n.behind(named) {
			return
		}
		req := &peerpb.FollowRequest{From: n.settings.ID, Known: n.knowledge(), Parts: true, Once: true}
		err := n.receive(n.background, client, req, origin{way: wayCatchUp, peer: peerID}, func() bool { return true })
		if err != nil && !errors.Is(err, io.EOF) {
			n.copies.fail(wayCatchUp)
			n.log.Info("catch_up_failed", "peer", peerID, "error", err.Error())
		}
	})
}

package routed

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/rendezvous"
	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/transport/platform"
)

// An instance that is gone is removed from the set among which quotas are divided, so that its share
// is given out again and no other waits for its report. One of the others marks its item as doubted,
// waits until the proof of an instance that cannot read this has ended, and replaces the item if the
// instance has not written it since.
const (
	goneCheckInterval = 500 * time.Millisecond
	// silenceBeforeDoubt is how long an instance is not heard before it is doubted while another one
	// waits for its share; an instance that restarts is back by then.
	silenceBeforeDoubt = 2 * time.Second
	// silenceBeforeReclaim is the same while none does: a cut between regions costs no writes.
	silenceBeforeReclaim = 15 * time.Second
	// returnTime is how long an instance that has left may take to start again and keep its share.
	returnTime = 4 * time.Second
)

// goneInstances is what an instance does about others that it does not hear.
type goneInstances struct {
	silentSince map[string]time.Time
	removing    sync.Map // ids of instances whose removal is in progress
}

// removeGone removes instances that are gone for good.
func (n *Instance) removeGone(ctx context.Context) {
	gone := &goneInstances{silentSince: make(map[string]time.Time)}
	for ctx.Err() == nil {
		sleep(ctx, goneCheckInterval)
		now := time.Now()
		if n.leaving.Load() {
			return
		}
		members := n.members.Members(now)
		for _, id := range n.silentFor(gone, members, now) {
			if !n.removes(id, members) {
				continue
			}
			if _, busy := gone.removing.LoadOrStore(id, true); busy {
				continue
			}
			n.loops.Go(func() {
				defer gone.removing.Delete(id)
				n.removeIfGone(ctx, id)
			})
		}
	}
}

// silentFor returns the instances of the set that have been silent for so long that they may be gone.
func (n *Instance) silentFor(gone *goneInstances, members []membership.Member, now time.Time) (out []string) {
	reachable := make(map[string]bool, len(members))
	silence := silenceBeforeReclaim
	if !n.shares.Mints() {
		silence = silenceBeforeDoubt
	}
	for _, m := range members {
		reachable[m.Entry.GetId()] = m.Reachable
		if m.Reachable && !m.Leaving() && m.Entry.GetSlots() == 0 {
			silence = silenceBeforeDoubt
		}
	}
	silent := make(map[string]time.Time)
	for _, h := range n.shares.Holders() {
		if h.ID == n.settings.ID || reachable[h.ID] {
			continue
		}
		since, known := gone.silentSince[h.ID]
		if !known {
			since = now
		}
		silent[h.ID] = since
		if now.Sub(since) >= silence {
			out = append(out, h.ID)
		}
	}
	gone.silentSince = silent
	return out
}

// removes reports whether this instance is the one that removes another, of those that can be reached
// and that reach the store. Two that differ on this do no harm: the store decides.
func (n *Instance) removes(id string, members []membership.Member) bool {
	key := quarantine.ReporterHash(id)
	own := rendezvous.Score(quarantine.ReporterHash(n.settings.ID), key)
	for _, m := range members {
		other := m.Entry.GetId()
		if other == n.settings.ID || !m.Reachable || m.Leaving() || m.Entry.GetStoreUnreachable() {
			continue
		}
		if rendezvous.Score(quarantine.ReporterHash(other), key) > own {
			return false
		}
	}
	return true
}

// errStands means that an instance cannot be removed: it has written its item, or needs no proof.
var errStands = errors.New("the item stands")

// removeIfGone removes an instance unless it turns out to be there.
func (n *Instance) removeIfGone(ctx context.Context, id string) {
	err := n.tryRemove(ctx, id)
	switch {
	case err == nil, ctx.Err() != nil:
	case errors.IsAny(err, errStands, platform.ErrConflict, platform.ErrNotFound):
		n.log.Debug("instance_kept", "id", id, "reason", err.Error())
		sleep(ctx, silenceBeforeDoubt)
	default:
		n.log.Debug("store_call_failed", "error", err.Error())
		sleep(ctx, maxBackoff)
	}
}

// tryRemove doubts an instance, waits and removes it. It fails if the instance writes its item
// meanwhile.
func (n *Instance) tryRemove(ctx context.Context, id string) error {
	doubted, err := n.doubt(ctx, id)
	if err != nil || doubted.Removed != "" {
		return err
	}
	seen := time.Now()
	if sleep(ctx, n.removalWait(doubted)); ctx.Err() != nil {
		return ctx.Err()
	}
	item, err := n.readMember(ctx, id)
	if err != nil {
		return err
	}
	if item != doubted || n.isReachable(quarantine.ReporterHash(id)) {
		return errStands
	}
	removed := removedItem(item.memberItem)
	if err := n.putMember(ctx, id, removed, item.revision); err != nil {
		return err
	}
	n.log.Info("instance_removed", "id", id, "left", item.Left, "after_ms", time.Since(seen).Milliseconds())
	n.mergeEntry(removed.entry())
	return nil
}

// doubt returns the item of an instance that has left, was removed or is doubted by the time of the call.
func (n *Instance) doubt(ctx context.Context, id string) (storedMember, error) {
	item, err := n.readMember(ctx, id)
	switch {
	case err != nil:
		return item, err
	case item.Removed != "":
		n.mergeEntry(item.entry())
		return item, nil
	case item.Left, item.Doubted != "":
		return item, nil
	case item.ProofMs == 0:
		return item, errStands
	}
	doubted := item.memberItem
	doubted.Doubted = n.settings.ID
	if err := n.putMember(ctx, id, doubted, item.revision); err != nil {
		return item, err
	}
	n.log.Info("instance_doubted", "id", id, "proof_ms", item.ProofMs)
	if item, err = n.readMember(ctx, id); err == nil && item.Doubted == "" && item.Removed == "" {
		err = errStands
	}
	return item, err
}

// removalWait returns how long after its item was seen as doubted an instance may mint.
func (n *Instance) removalWait(item storedMember) time.Duration {
	if item.Left {
		return returnTime
	}
	validity := time.Duration(item.ProofMs) * time.Millisecond
	if era, _ := configwatch.SplitRank(item.revision); era != item.Era {
		validity = max(validity, proofValidity) // a restored store may lack a later item
	}
	return slots.WithDrift(validity)
}

func (n *Instance) readMember(ctx context.Context, id string) (storedMember, error) {
	kv, err := n.source.Store().Get(ctx, membersPrefix+id)
	if err != nil {
		return storedMember{}, err
	}
	item, ok := n.decodeMember(kv)
	if !ok {
		return item, errStands
	}
	return item, nil
}

func (n *Instance) putMember(ctx context.Context, id string, m memberItem, revision int64) error {
	value, err := encodeMember(m)
	if err != nil {
		return err
	}
	_, err = n.source.Store().Put(ctx, platform.Write{Key: membersPrefix + id, Value: value, ExpectRevision: revision})
	return err
}

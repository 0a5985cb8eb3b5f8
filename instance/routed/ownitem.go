package routed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/transport/platform"
)

// An instance mints only while it has proved to itself, by a call of the store, that its item
// stands. Others may give its share out once it has proved nothing for so long that it has stopped
// to mint by its own clock.
const (
	// proofValidity is how long an instance mints without the store: longer than ordinary outages
	// of the store and of links between regions.
	proofValidity = 30 * time.Second
	// proofValidityAlone is the same while it reaches no other instance. If it is gone, nobody does.
	proofValidityAlone = 4 * time.Second
	// proofsPerValidity is how often an instance renews its proof within the validity.
	proofsPerValidity = 3
)

// ownItem is this instance's item, and the proof that it stands.
type ownItem struct {
	calls chan struct{} // held while the item is read or written

	mu       sync.Mutex
	required bool          // the instance mints only with a proof
	left     bool          // the instance mints no more
	until    time.Time     // when the proof ends
	slept    time.Duration // how long the machine had been suspended when it was set
	proved   time.Time     // when the last proof was begun
	stored   storedMember  // as it was last read or written
	// unconfirmed is the shortest validity that a write of unknown outcome may still store; 0 if there is none.
	unconfirmed time.Duration
}

// newOwnItem returns the state of an instance whose earlier incarnation may have left a write behind.
func newOwnItem() *ownItem {
	return &ownItem{calls: make(chan struct{}, 1), unconfirmed: proofValidityAlone}
}

// lock waits until no other call of the item is in progress. It reports false if ctx ends before.
func (o *ownItem) lock(ctx context.Context) bool {
	select {
	case o.calls <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (o *ownItem) unlock() { <-o.calls }

// require makes proofs necessary.
func (o *ownItem) require() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.required = true
}

// prove records that the item stood, as it is given, at a moment after began.
func (o *ownItem) prove(m storedMember, began time.Time) {
	slept := suspendedTime()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stored, o.proved = m, began
	o.until, o.slept = began.Add(o.validity()), slept
}

// validity returns how long a proof lasts; 0 if none is possible.
func (o *ownItem) validity() time.Duration {
	validity := time.Duration(o.stored.ProofMs) * time.Millisecond
	if o.unconfirmed != 0 {
		return min(validity, o.unconfirmed)
	}
	return validity
}

// writing bounds the proofs by a validity that is about to be written.
func (o *ownItem) writing(m memberItem, now time.Time) {
	validity := time.Duration(m.ProofMs) * time.Millisecond
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unconfirmed == 0 || validity < o.unconfirmed {
		o.unconfirmed = validity
	}
	if until := now.Add(o.unconfirmed); until.Before(o.until) {
		o.until = until
	}
}

// written records that a write has taken effect: earlier ones no longer can.
func (o *ownItem) written() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unconfirmed = 0
}

// disprove ends the proof.
func (o *ownItem) disprove() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.until, o.proved, o.stored = time.Time{}, time.Time{}, storedMember{}
}

// leave ends minting for good.
func (o *ownItem) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.left = true
}

// mintsUntil returns how long the share may be minted.
func (o *ownItem) mintsUntil(now time.Time) time.Time {
	slept := suspendedTime()
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.left:
		return time.Time{}
	case !o.required:
		return now.Add(heldForever)
	}
	return o.until.Add(o.slept - slept)
}

// due reports whether a minting instance has to renew its proof, or to confirm what is stored.
func (o *ownItem) due(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unconfirmed != 0 || now.Sub(o.proved) >= o.validity()/proofsPerValidity
}

func (o *ownItem) state() (stored storedMember, left, confirmed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stored, o.left, o.unconfirmed == 0
}

// suspendedTime returns how long the machine was suspended since its boot. The monotonic clock does
// not count that time.
func suspendedTime() time.Duration {
	var boot, steady unix.Timespec
	// These clocks exist on every kernel that Go supports.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot)
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady)
	return time.Duration(boot.Nano() - steady.Nano())
}

// errItemGone means that this instance's item was removed, or is of another generation.
var errItemGone = errors.New("the item of this instance does not stand")

// keepItem renews the proof that this instance's item stands while the instance mints, and writes
// the item if it has to change. It returns once the item does not stand.
func (n *Instance) keepItem(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, minBackoff)
		stored, left, _ := n.item.state()
		if left {
			return
		}
		if generation, removed := n.shares.Generation(n.settings.ID); removed || generation != stored.Generation {
			break
		}
		if !n.shares.Mints() || stored.Minted && !n.item.due(time.Now()) {
			continue
		}
		err := n.proveItem(ctx)
		if errors.Is(err, errItemGone) {
			break
		}
		if err != nil {
			n.log.Debug("store_call_failed", "error", err.Error())
			sleep(ctx, maxBackoff)
		}
	}
	n.item.disprove()
	n.updateHeldShare(time.Now())
}

// desiredItem returns what the item has to be, from what is stored of it and the store's era.
func (n *Instance) desiredItem(stored memberItem, era int64) memberItem {
	validity := proofValidityAlone
	if n.reachesOthers(time.Now()) {
		validity = proofValidity
	}
	if stored.ProofMs != 0 && !n.shares.Mints() {
		validity = time.Duration(stored.ProofMs) * time.Millisecond // nothing depends on it yet
	}
	return memberItem{
		ID: n.settings.ID, Region: n.settings.Region, Domain: n.settings.Domain, Peer: n.settings.Listen.Peers,
		Minted: stored.Minted || n.shares.Mints(), Link: int(n.settings.LinkMbps),
		Generation: stored.Generation, ProofMs: validity.Milliseconds(), Era: era,
	}
}

// reachesOthers reports whether an instance that is not leaving can be reached.
func (n *Instance) reachesOthers(now time.Time) bool {
	return slices.ContainsFunc(n.members.Members(now), func(m membership.Member) bool {
		return m.Reachable && !m.Leaving() && m.Entry.GetId() != n.settings.ID
	})
}

// proveItem reads the item and writes it if it has to change.
func (n *Instance) proveItem(ctx context.Context) error {
	if !n.item.lock(ctx) {
		return ctx.Err()
	}
	defer n.item.unlock()
	known, left, confirmed := n.item.state()
	if left {
		return nil
	}
	began := time.Now()
	kv, err := n.source.Store().Get(ctx, membersPrefix+n.settings.ID)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	stored, found := n.decodeMember(kv)
	switch {
	case found && (stored.Generation != known.Generation || stored.Removed != ""):
		n.mergeEntry(stored.entry())
		n.log.Info("member_removed", "generation", stored.Generation)
		return errItemGone
	case !found: // a restored store has lost it
		stored.memberItem = memberItem{Generation: known.Generation, Minted: known.Minted}
	}
	era, _ := configwatch.SplitRank(kv.Revision)
	want := n.desiredItem(stored.memberItem, era)
	if want != stored.memberItem || !confirmed {
		return n.putItem(ctx, want, stored.revision)
	}
	n.item.prove(stored, began)
	return nil
}

// putItem writes this instance's item unless it has another revision by now.
func (n *Instance) putItem(ctx context.Context, m memberItem, revision int64) error {
	value, err := encodeMember(m)
	if err != nil {
		return err
	}
	began := time.Now()
	n.item.writing(m, began)
	written, err := n.source.Store().Put(ctx, platform.Write{Key: membersPrefix + n.settings.ID, Value: value, ExpectRevision: revision})
	if err != nil {
		return err
	}
	if era, _ := configwatch.SplitRank(written); era != m.Era {
		return errors.Newf("the store was restored while the item was written: era %d, not %d", era, m.Era)
	}
	n.item.written()
	n.item.prove(storedMember{m, written}, began)
	return nil
}

// leaveTimeout bounds the call by which an instance that ends says that it mints no more.
const leaveTimeout = 300 * time.Millisecond

// leaveShares ends minting and writes that into the item, so that others may give the share out.
// Without it they wait until the proof has ended.
func (n *Instance) leaveShares() {
	n.item.leave()
	n.updateHeldShare(time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if !n.item.lock(ctx) {
		n.log.Info("quota_part_kept", "error", ctx.Err().Error())
		return
	}
	defer n.item.unlock()
	stored, _, _ := n.item.state()
	if stored.ID == "" {
		return // it never joined
	}
	m := stored.memberItem
	m.Peer, m.Left, m.Doubted = "", true, ""
	if err := n.putItem(ctx, m, stored.revision); err != nil {
		n.log.Info("quota_part_kept", "error", err.Error())
	}
}

// mergeEntry merges what the store says of one instance.
func (n *Instance) mergeEntry(e quotashare.Entry) {
	if n.shares.MergeEntries([]quotashare.Entry{e}, false) {
		n.updateLedgerHolders()
		n.triggerExchange()
	}
}

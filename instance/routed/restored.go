package routed

import (
	"time"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/state/backends"
)

// A store that comes back from a copy has lost what was written since the copy was made, and gives
// out the revisions of these writes again. Ranks order the revisions of before and after; what the
// copy shows is older than what is known.

// isRestored reports whether the store has come back from a copy between two ranks.
func isRestored(known, rank int64) bool {
	before, _ := configwatch.SplitRank(known)
	after, _ := configwatch.SplitRank(rank)
	return known != 0 && after > before
}

// recordStoreRestored records that a list is the first one of a prefix from a restored store.
func (n *Instance) recordStoreRestored(f *prefixSync, known, rank int64) {
	n.log.Info("store_restored", "prefix", f.prefix, "revision", configwatch.FormatRank(rank), "known", configwatch.FormatRank(known))
	n.bans.recordStoreRestored()
	n.buildStore.lost.Store(true)
	select {
	case n.storeRestored <- struct{}{}:
	default: // a wake-up is pending
	}
	switch f {
	case n.servers:
		n.backends.RecordStoreRestored(time.Now())
	case n.config:
		n.evacuationsHeldUntil.Store(int64(n.uptime() + backends.ReturnGrace))
	}
}

// heldEvacuations returns the failure domains that stay evacuated although the store does not ask
// for it: operators write again within ReturnGrace what a restored store has lost.
func (n *Instance) heldEvacuations() []string {
	if int64(n.uptime()) >= n.evacuationsHeldUntil.Load() {
		return nil
	}
	return n.backends.Evacuated()
}

// releaseEvacuations ends the evacuations that were held and that the store does not ask for.
func (n *Instance) releaseEvacuations() {
	until := n.evacuationsHeldUntil.Load()
	if until == 0 || int64(n.uptime()) < until || !n.evacuationsHeldUntil.CompareAndSwap(until, 0) {
		return
	}
	n.updateEvacuations()
}

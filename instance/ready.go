package instance

import (
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// checkReady lets callers in once the instance has the configuration and the
// withdrawn keys: from a peer that takes callers itself and knows the same, or
// from the store, after the peers in reach were asked for withdrawals that the
// store does not have yet. Without that, an instance started during an outage
// of the store accepts a key that was withdrawn in it.
func (i *Instance) checkReady(source configSource) {
	if i.config.Revision() == 0 || !i.synced.Load() && !(i.storeRead.Load() && i.peersAsked.Load()) {
		return
	}
	if i.ready.CompareAndSwap(false, true) {
		i.log.Info("ready", "source", string(source), "revision", i.config.Revision())
	}
}

// publishConfig tells the peers what this instance has in force.
func (i *Instance) publishConfig() {
	revision, rejected := i.config.Revision(), i.config.Rejected()
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) {
		m.ConfigRevision = revision
		m.Rejected = rejected[:min(len(rejected), maxRejected)]
	})
}

// maxRejected bounds the rejected documents that an entry names.
const maxRejected = 8

func (i *Instance) storeFailing(failing bool) {
	if i.members.Self().GetStoreUnreachable() == failing {
		return
	}
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) { m.StoreUnreachable = failing })
}

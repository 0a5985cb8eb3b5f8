package instance

import (
	"time"

	"github.com/basilroute/basilroute/protocol/peerpb"
)

// checkReady starts accepting callers once the instance has the configuration and the
// withdrawn keys: from a peer that accepts callers itself and has the same documents, or
// from the store, after the reachable peers were asked for withdrawals that the store does
// not have yet. Without that, an instance started during an outage of the store would
// accept a key that was withdrawn during it.
func (i *Instance) checkReady(source configSource) {
	if i.config.Revision() == 0 || !i.synced.Load() && !(i.storeRead.Load() && i.peersQueried.Load()) {
		return
	}
	if i.ready.CompareAndSwap(false, true) {
		i.log.Info("ready", "source", string(source), "revision", i.config.Revision())
	}
}

// publishConfig publishes the revision in force and the rejected documents in the
// instance's entry.
func (i *Instance) publishConfig() {
	revision, rejected := i.config.Revision(), i.config.Rejected()
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) {
		m.ConfigRevision = revision
		m.Rejected = rejected[:min(len(rejected), maxRejected)]
	})
}

// maxRejected bounds the rejected documents that an entry lists.
const maxRejected = 8

func (i *Instance) setStoreUnreachable(failing bool) {
	if i.members.Self().GetStoreUnreachable() == failing {
		return
	}
	i.members.UpdateSelf(time.Now(), func(m *peerpb.Member) { m.StoreUnreachable = failing })
}

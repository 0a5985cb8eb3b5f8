package routed

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/transport/platform"
)

// memberItem is what an instance writes about itself, and others about one that is gone.
type memberItem struct {
	ID     string `json:"id"` // empty in the item of a removed instance, so that builds that know no removal skip it
	Region string `json:"region"`
	Domain string `json:"domain"`
	Peer   string `json:"peer"`   // empty once the instance has left
	Minted bool   `json:"minted"` // it has minted its share of the quotas at least once
	Link   int    `json:"link"`   // Mbit/s of its machine; 0 if not known

	Generation uint64 `json:"generation,omitempty"` // see quotashare.Entry
	// ProofMs is how long after it last proved that this item stands the instance may mint, in
	// milliseconds; 0 for builds that prove nothing and mint for good.
	ProofMs int64  `json:"proof_ms,omitempty"`
	Era     int64  `json:"era,omitempty"`     // the store's era in which ProofMs was written
	Doubted string `json:"doubted,omitempty"` // the instance that no longer hears this one
	Left    bool   `json:"left,omitempty"`    // it has ended and mints no more
	Removed string `json:"removed,omitempty"` // id of a removed instance
}

// entry returns the item as an entry of the set of instances among which quotas are divided.
func (m memberItem) entry() quotashare.Entry {
	holder := quotashare.Holder{ID: m.ID, Domain: m.Domain}
	if m.Removed == "" {
		return quotashare.Entry{Holder: holder, Generation: m.Generation}
	}
	holder.ID = m.Removed
	return quotashare.Entry{Holder: holder, Generation: m.Generation, Removed: true, Left: m.Left}
}

// removedItem returns the item that replaces that of an instance which is gone.
func removedItem(m memberItem) memberItem {
	return memberItem{Removed: m.ID, Domain: m.Domain, Generation: m.Generation, Left: m.Left}
}

// storedMember is an item as it was read from the store.
type storedMember struct {
	memberItem
	revision int64 // a rank; 0 if there is no item
}

func (n *Instance) decodeMember(kv platform.KeyValue) (storedMember, bool) {
	m := storedMember{revision: kv.Revision}
	if len(kv.Value) == 0 {
		return m, false
	}
	err := json.Unmarshal(kv.Value, &m.memberItem)
	if err != nil || m.entry().ID != strings.TrimPrefix(kv.Key, membersPrefix) {
		n.log.Info("member_unreadable", "key", kv.Key)
		m.memberItem = memberItem{}
		return m, false
	}
	return m, true
}

func encodeMember(m memberItem) ([]byte, error) {
	value, err := json.Marshal(m)
	return value, errors.Wrap(err, "member")
}

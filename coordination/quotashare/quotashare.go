// Package quotashare divides every account's rate and burst over a set of instances that
// only grows, see Division. The shares of all instances that mint never exceed the whole,
// also when instances are partitioned, paused or restarted:
//
//   - A joining instance writes its id into the store and then reads all ids. Of two that
//     join at the same time, the one that reads later sees the other's id.
//   - A set is complete if it was read from the store after that, or was received from a
//     peer whose set is complete and contains this instance. An instance that restarts
//     while the store is unreachable can therefore mint.
//   - An instance mints its share only when every instance of its set has reported the same
//     set, and all of them know that of each other in the same incarnations. Each of two
//     minting instances then has the other in its set, so the shares add up to at most the
//     whole. An instance that has never minted waits until loans have expired that others
//     may have made from what is its share now.
//   - An instance keeps its share for good; no other ever mints it. An instance that is
//     partitioned continues with its share, and needs neither the store nor a peer.
//   - The store has a record that the instance has minted. If a restarted instance finds
//     that record it need not wait for the others, since all of them have it in their sets.
//     Tokens that its earlier incarnation lent may still be spent; see
//     quota.Ledger.SetProvisional.
//
// The incarnations are needed for this case: a peer has a joining instance in its set,
// restarts, and receives as complete the set of another peer that does not have the joining
// instance yet. It then divides by one instance too few while the joining one mints. An
// instance reports its AgreementHash, which covers the incarnations, only after it has
// received the same set from all others. When these hashes agree, there was a moment at
// which all instances had the joining one in their sets at once, so every set that is sent
// later has it. spec/quotashare.pml checks this.
//
// The share of an instance that never returns is lost to the fleet. Demand that is uneven
// over instances is served by loans, see package quota.
//
// The package does no I/O.
package quotashare

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// HolderSet is the set of instances that hold shares, as one instance knows it, and decides
// whether that instance may mint. It is safe for concurrent use.
type HolderSet struct {
	self        string
	incarnation uint64

	mu              sync.Mutex
	holders         map[string]string // failure domain of each instance
	hash            uint64            // of holders
	complete        bool              // holders contains every instance that mints
	established     bool              // all others had this instance in their sets at once
	mintedBefore    bool              // an earlier incarnation of this instance has minted
	neverMinted     bool              // according to the store no earlier incarnation has minted
	acks            map[string]uint64 // incarnations in which the others reported this same set
	agreementHashes map[string]uint64 // AgreementHash that each of the others last reported
	noLoans         map[string]bool   // instances that hold no loan of an earlier incarnation
	cleared         bool              // no loan of an earlier incarnation can be spent any more
}

// Holder is an instance of the set.
type Holder struct{ ID, Domain string }

func (h Holder) hash() uint64 { return xxhash.Sum64String(h.ID + "\x00" + h.Domain) }

// Report is what an instance sends to others about its set.
type Report struct {
	Incarnation   uint64 // of the sender; changes with each restart
	Hash          uint64 // see HolderSet.Hash
	AgreementHash uint64 // see HolderSet.AgreementHash
}

// NewHolderSet returns an empty set of an incarnation of the instance self.
func NewHolderSet(self string, incarnation uint64) *HolderSet {
	return &HolderSet{
		self: self, incarnation: incarnation, holders: make(map[string]string),
		acks: make(map[string]uint64), agreementHashes: make(map[string]uint64), noLoans: make(map[string]bool),
	}
}

// Merge adds instances to the set. complete says that holders contains every instance that
// mints: it was read from the store after this instance's id was written, or received from
// a peer whose set is complete and contains this instance.
func (k *HolderSet) Merge(holders []Holder, complete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range holders {
		if h.ID == "" || k.has(h.ID) {
			continue // the failure domain of an instance never changes
		}
		k.holders[h.ID] = h.Domain
		k.hash ^= h.hash()
		clear(k.acks) // these reports were for a smaller set
	}
	if complete && k.has(k.self) {
		k.complete = true
	}
}

func (k *HolderSet) has(id string) bool {
	_, ok := k.holders[id]
	return ok
}

// RecordMinted records that according to the store this instance has minted. Once this
// incarnation has begun to mint, or after RecordNeverMinted, it has no effect: the record
// may then be of this incarnation and proves no earlier one.
func (k *HolderSet) RecordMinted() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.established || k.neverMinted {
		return
	}
	k.established, k.mintedBefore = true, true
}

// RecordNeverMinted records that according to the store this instance has never minted. It
// then begins to mint so late that loans have expired even of an earlier incarnation whose
// record was lost on the way to the store.
func (k *HolderSet) RecordNeverMinted() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cleared, k.neverMinted = true, true
}

// NoEarlierMint reports whether no earlier incarnation of this instance has minted. Others may
// then have lent tokens of what is its share now.
func (k *HolderSet) NoEarlierMint() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.mintedBefore
}

// ApplyReport applies another instance's report about its set.
func (k *HolderSet) ApplyReport(id string, w Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.agreementHashes[id] = w.AgreementHash
	if w.Hash == k.hash && k.has(k.self) {
		k.acks[id] = w.Incarnation
	}
}

// AgreementHash returns a hash of the set and of the incarnations in which all its instances,
// including this one, reported it; 0 while a report is missing.
func (k *HolderSet) AgreementHash() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.agreementHash()
}

func (k *HolderSet) agreementHash() uint64 {
	if !k.has(k.self) {
		return 0
	}
	sum := k.hash
	for id := range k.holders {
		incarnation, known := k.acks[id]
		if id == k.self {
			incarnation, known = k.incarnation, true
		}
		if !known {
			return 0
		}
		sum ^= incarnationHash(id, incarnation)
	}
	return sum
}

// incarnationHash returns a hash to be combined by exclusive or, so that order does not matter.
func incarnationHash(id string, incarnation uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(incarnation)
	_, _ = digest.WriteString(id) // writing to a hash does not fail
	return digest.Sum64()
}

// ConfirmNoLoans records that another instance holds no loan of an earlier incarnation of this
// one.
func (k *HolderSet) ConfirmNoLoans(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.noLoans[id] = true
}

// TryClear sets Cleared if it has become certain that no loan of an earlier incarnation can be
// spent any more: all have expired, or every instance of the set has confirmed that it holds
// none. It reports whether it did so in this call. An incomplete set proves nothing: a missing
// instance may hold a loan, which could then be spent beside the whole share.
func (k *HolderSet) TryClear(expired bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cleared || !expired && !k.noneOwesLoans() {
		return false
	}
	k.cleared = true
	return true
}

// Unconfirmed returns the instances of the set that have not yet confirmed that they hold no
// loan of an earlier incarnation; none once that is cleared.
func (k *HolderSet) Unconfirmed() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for id := range k.holders {
		if !k.cleared && id != k.self && !k.noLoans[id] {
			out = append(out, id)
		}
	}
	return out
}

func (k *HolderSet) noneOwesLoans() bool {
	for id := range k.holders {
		if id != k.self && !k.noLoans[id] {
			return false
		}
	}
	return k.complete
}

// Cleared reports whether it is certain that no loan of an earlier incarnation can be spent.
func (k *HolderSet) Cleared() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cleared
}

// Hash returns a hash of the set; 0 if it is empty.
func (k *HolderSet) Hash() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hash
}

// Complete reports whether the set contains every instance that mints.
func (k *HolderSet) Complete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.complete
}

// Holders returns the instances of the set, sorted by id.
func (k *HolderSet) Holders() []Holder {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]Holder, 0, len(k.holders))
	for _, id := range slices.Sorted(maps.Keys(k.holders)) {
		out = append(out, Holder{ID: id, Domain: k.holders[id]})
	}
	return out
}

// Size returns the number of instances in the set.
func (k *HolderSet) Size() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.holders)
}

// Mints reports whether this instance may mint its share.
func (k *HolderSet) Mints() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.complete || !k.has(k.self) {
		return false
	}
	if k.established {
		return true
	}
	hash := k.agreementHash()
	if hash == 0 {
		return false
	}
	for id := range k.holders {
		if id != k.self && k.agreementHashes[id] != hash {
			return false
		}
	}
	k.established = true
	return true
}

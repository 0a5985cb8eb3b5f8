// Package quotashare divides every account's rate and burst over a set of instances that
// only grows, see Division. It holds by itself when instances are cut off, sleep or restart:
//
//   - An instance that joins writes its name into the store and then reads all names.
//     Of two that join at once, the one that reads later sees the other's name.
//   - A set is whole when it was read from the store after that, or when a peer whose set
//     is whole and has the own name tells it. So an instance that restarts while the store
//     is away mints.
//   - It mints its part only when every instance of its set goes by the same set, and all
//     of them have heard that of each other in the same lifetimes. Each of two that mint
//     has the other in its set, so the parts together are at most the whole. One that has
//     never minted waits until loans have expired that others made of what is its part now.
//   - An instance mints its part for good; nobody else ever mints it. One that is cut
//     off goes on with its own part, and needs neither the store nor a peer.
//   - That it has once minted stands in the store. A restarted instance that finds it
//     there need not ask again: all others counted it before. Tokens that its
//     predecessor lent may still be spent; see quota.Ledger.SetProvisional.
//
// Why the lifetimes: a peer that has counted a newcomer, restarts, and takes for whole the
// set of another one that has not heard of the newcomer yet, divides by one too few beside
// it. Each instance names the lifetimes only after it has heard all others, so when the
// names agree there was a moment at which all of them counted the newcomer at once; every
// set that is told later has it. spec/quotashare.pml checks this.
//
// The part of an instance that never comes back is lost to the fleet. Demand that is uneven
// over instances is met by loans, see package quota.
//
// The package does no I/O.
package quotashare

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// HolderSet decides what one instance may mint. It is safe for concurrent use.
type HolderSet struct {
	self     string
	lifetime uint64

	mu          sync.Mutex
	holders     map[string]string // failure domain of each instance
	hash        uint64            // of holders
	complete    bool              // holders has every instance that mints
	established bool              // all others counted this instance once
	minted      bool              // an earlier lifetime of this instance has minted
	newcomer    bool              // the store said that none has
	acks        map[string]uint64 // lifetimes in which the others went by this very set
	agreed      map[string]uint64 // what the others last said of the lifetimes they heard
	free        map[string]bool   // those that hold nothing a predecessor lent
	cleared     bool              // tokens that a predecessor lent cannot be spent any more
}

// Holder is an instance of the set.
type Holder struct{ ID, Domain string }

func (h Holder) hash() uint64 { return xxhash.Sum64String(h.ID + "\x00" + h.Domain) }

// Report is what an instance says of its set.
type Report struct {
	Incarnation   uint64 // in which it says so; another one after each restart
	Hash          uint64 // see Keeper.Hash
	AgreementHash uint64 // see Keeper.Agreed
}

// NewHolderSet returns a keeper of an instance in one of its lifetimes. It mints nothing.
func NewHolderSet(self string, lifetime uint64) *HolderSet {
	return &HolderSet{
		self: self, lifetime: lifetime, holders: make(map[string]string),
		acks: make(map[string]uint64), agreed: make(map[string]uint64), free: make(map[string]bool),
	}
}

// Merge takes in instances. complete says that they have every instance that mints: they
// were read from the store after the own name was written, or come from a peer for
// whose set that holds and which has the own name.
func (k *HolderSet) Merge(holders []Holder, complete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range holders {
		if h.ID == "" || k.has(h.ID) {
			continue // an instance stays in its failure domain
		}
		k.holders[h.ID] = h.Domain
		k.hash ^= h.hash()
		clear(k.acks) // they were for a smaller set
	}
	if complete && k.has(k.self) {
		k.complete = true
	}
}

func (k *HolderSet) has(id string) bool {
	_, ok := k.holders[id]
	return ok
}

// RecordMinted takes in that the store says this instance has minted before. What it says after
// this lifetime has begun to mint, or after it said the opposite, proves no earlier one.
func (k *HolderSet) RecordMinted() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.established || k.newcomer {
		return
	}
	k.established, k.minted = true, true
}

// RecordNeverMinted takes in that the store says this instance has not minted before. It mints so
// late that loans of a predecessor whose word to the store was lost have expired.
func (k *HolderSet) RecordNeverMinted() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cleared, k.newcomer = true, true
}

// NoEarlierMint tells whether no earlier lifetime of this instance has minted: others may have
// lent what is its part now.
func (k *HolderSet) NoEarlierMint() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.minted
}

// ApplyReport takes in what another instance says of its set.
func (k *HolderSet) ApplyReport(id string, w Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.agreed[id] = w.AgreementHash
	if w.Hash == k.hash && k.has(k.self) {
		k.acks[id] = w.Incarnation
	}
}

// AgreementHash names the lifetimes in which all instances of the set went by it, this one
// included; 0 while one of them has not been heard to.
func (k *HolderSet) AgreementHash() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.agreedLifetimes()
}

func (k *HolderSet) agreedLifetimes() uint64 {
	if !k.has(k.self) {
		return 0
	}
	sum := k.hash
	for id := range k.holders {
		lifetime, heard := k.acks[id]
		if id == k.self {
			lifetime, heard = k.lifetime, true
		}
		if !heard {
			return 0
		}
		sum ^= lifetimeHash(id, lifetime)
	}
	return sum
}

// lifetimeHash is for sums whose order does not matter.
func lifetimeHash(id string, lifetime uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(lifetime)
	_, _ = digest.WriteString(id) // writing to a hash does not fail
	return digest.Sum64()
}

// ConfirmNoLoans takes in that another instance holds nothing that a predecessor lent.
func (k *HolderSet) ConfirmNoLoans(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.free[id] = true
}

// TryClear tells whether just now it became certain that nothing a predecessor lent can be
// spent any more: the loans have expired, or every instance of the set says that it
// holds none. A set that may lack somebody proves nothing: the one it lacks may hold a
// loan, and the whole part would be spent beside it.
func (k *HolderSet) TryClear(expired bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cleared || !expired && !k.allFree() {
		return false
	}
	k.cleared = true
	return true
}

// Unconfirmed returns the instances of the set that have not yet said that they hold nothing
// a predecessor lent; none when that no longer matters.
func (k *HolderSet) Unconfirmed() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for id := range k.holders {
		if !k.cleared && id != k.self && !k.free[id] {
			out = append(out, id)
		}
	}
	return out
}

func (k *HolderSet) allFree() bool {
	for id := range k.holders {
		if id != k.self && !k.free[id] {
			return false
		}
	}
	return k.complete
}

// Cleared tells whether that is certain.
func (k *HolderSet) Cleared() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cleared
}

// Hash names the set that this instance goes by; 0 for the empty one.
func (k *HolderSet) Hash() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hash
}

// Complete tells whether the set has every instance that mints.
func (k *HolderSet) Complete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.complete
}

// Holders returns the set, ordered.
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

// Mints tells whether this instance mints its part.
func (k *HolderSet) Mints() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.complete || !k.has(k.self) {
		return false
	}
	if k.established {
		return true
	}
	own := k.agreedLifetimes()
	if own == 0 {
		return false
	}
	for id := range k.holders {
		if id != k.self && k.agreed[id] != own {
			return false
		}
	}
	k.established = true
	return true
}

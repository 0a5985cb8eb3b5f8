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
func (s *HolderSet) Merge(holders []Holder, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range holders {
		if h.ID == "" || s.has(h.ID) {
			continue // the failure domain of an instance never changes
		}
		s.holders[h.ID] = h.Domain
		s.hash ^= h.hash()
		clear(s.acks) // these reports were for a smaller set
	}
	if complete && s.has(s.self) {
		s.complete = true
	}
}

func (s *HolderSet) has(id string) bool {
	_, ok := s.holders[id]
	return ok
}

// RecordMinted records that according to the store this instance has minted. Once this
// incarnation has begun to mint, or after RecordNeverMinted, it has no effect: the record
// may then be of this incarnation and proves no earlier one.
func (s *HolderSet) RecordMinted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.established || s.neverMinted {
		return
	}
	s.established, s.mintedBefore = true, true
}

// RecordNeverMinted records that according to the store this instance has never minted. It
// then begins to mint so late that loans have expired even of an earlier incarnation whose
// record was lost on the way to the store.
func (s *HolderSet) RecordNeverMinted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleared, s.neverMinted = true, true
}

// NoEarlierMint reports whether no earlier incarnation of this instance has minted. Others may
// then have lent tokens of what is its share now.
func (s *HolderSet) NoEarlierMint() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.mintedBefore
}

// ApplyReport applies another instance's report about its set.
func (s *HolderSet) ApplyReport(id string, w Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agreementHashes[id] = w.AgreementHash
	if w.Hash == s.hash && s.has(s.self) {
		s.acks[id] = w.Incarnation
	}
}

// AgreementHash returns a hash of the set and of the incarnations in which all its instances,
// including this one, reported it; 0 while a report is missing.
func (s *HolderSet) AgreementHash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agreementHash()
}

func (s *HolderSet) agreementHash() uint64 {
	if !s.has(s.self) {
		return 0
	}
	sum := s.hash
	for id := range s.holders {
		incarnation, known := s.acks[id]
		if id == s.self {
			incarnation, known = s.incarnation, true
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
func (s *HolderSet) ConfirmNoLoans(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noLoans[id] = true
}

// TryClear sets Cleared if it has become certain that no loan of an earlier incarnation can be
// spent any more: all have expired, or every instance of the set has confirmed that it holds
// none. It reports whether it did so in this call. An incomplete set proves nothing: a missing
// instance may hold a loan, which could then be spent beside the whole share.
func (s *HolderSet) TryClear(expired bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cleared || !expired && !s.noneOwesLoans() {
		return false
	}
	s.cleared = true
	return true
}

// Unconfirmed returns the instances of the set that have not yet confirmed that they hold no
// loan of an earlier incarnation; none once that is cleared.
func (s *HolderSet) Unconfirmed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id := range s.holders {
		if !s.cleared && id != s.self && !s.noLoans[id] {
			out = append(out, id)
		}
	}
	return out
}

func (s *HolderSet) noneOwesLoans() bool {
	for id := range s.holders {
		if id != s.self && !s.noLoans[id] {
			return false
		}
	}
	return s.complete
}

// Cleared reports whether it is certain that no loan of an earlier incarnation can be spent.
func (s *HolderSet) Cleared() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cleared
}

// Hash returns a hash of the set; 0 if it is empty.
func (s *HolderSet) Hash() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hash
}

// Complete reports whether the set contains every instance that mints.
func (s *HolderSet) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// Holders returns the instances of the set, sorted by id.
func (s *HolderSet) Holders() []Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Holder, 0, len(s.holders))
	for _, id := range slices.Sorted(maps.Keys(s.holders)) {
		out = append(out, Holder{ID: id, Domain: s.holders[id]})
	}
	return out
}

// Size returns the number of instances in the set.
func (s *HolderSet) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.holders)
}

// Mints reports whether this instance may mint its share.
func (s *HolderSet) Mints() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.complete || !s.has(s.self) {
		return false
	}
	if s.established {
		return true
	}
	hash := s.agreementHash()
	if hash == 0 {
		return false
	}
	for id := range s.holders {
		if id != s.self && s.agreementHashes[id] != hash {
			return false
		}
	}
	s.established = true
	return true
}

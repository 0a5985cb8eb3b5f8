// Package quotashare divides every account's rate and burst over a set of instances, see
// Division. The shares of all instances that mint never exceed the whole, also when instances
// are partitioned, paused, restarted or gone for good:
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
//   - An instance keeps its share until it is removed from the set; no other mints it before.
//     It may be removed once it cannot mint any more: it has left, or has proved to nobody for
//     longer than its Proof lasts that its item stands. The store decides: the item of an
//     instance is replaced by one that says that it is removed, under the condition that the
//     instance has not written it in the meantime. A removed instance joins anew, with the
//     next generation.
//   - What is known of an instance is replaced only by a later generation or by the removal of
//     this one, so that all instances end with the same set in whatever order they learn of it.
//     An instance that learns late of a removal divides by more instances than it need do.
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
// Demand that is uneven over instances is served by loans, see package quota.
//
// The package does no I/O.
package quotashare

import (
	"iter"
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
	entries         map[string]Entry  // all instances that were ever known
	size            int               // instances that are not removed
	hash            uint64            // of the instances that are not removed
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

// Entry is what is known of an instance that is or was in the set.
type Entry struct {
	Holder
	Generation uint64 // how many times the instance was removed before it joined
	Removed    bool   // this generation mints no more, and never will
	Left       bool   // it was removed after its process had ended, so that it holds no loan
}

// hash of the first generation is that of builds that know no generations.
func (e Entry) hash() uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(e.Generation)
	_, _ = digest.WriteString(e.ID + "\x00" + e.Domain) // writing to a hash does not fail
	return digest.Sum64()
}

// replaces reports whether an entry is later than another one of the same instance.
func (e Entry) replaces(known Entry) bool {
	return e.Generation > known.Generation || e.Generation == known.Generation && e.Removed && !known.Removed
}

// Report is what an instance sends to others about its set.
type Report struct {
	Incarnation   uint64 // of the sender; changes with each restart
	Hash          uint64 // see HolderSet.Hash
	AgreementHash uint64 // see HolderSet.AgreementHash
}

// NewHolderSet returns an empty set of an incarnation of the instance self.
func NewHolderSet(self string, incarnation uint64) *HolderSet {
	return &HolderSet{
		self: self, incarnation: incarnation, entries: make(map[string]Entry),
		acks: make(map[string]uint64), agreementHashes: make(map[string]uint64), noLoans: make(map[string]bool),
	}
}

// Merge adds instances of the first generation to the set, see MergeEntries.
func (s *HolderSet) Merge(holders []Holder, complete bool) {
	entries := make([]Entry, len(holders))
	for i, h := range holders {
		entries[i] = Entry{Holder: h}
	}
	s.MergeEntries(entries, complete)
}

// MergeEntries merges what is known of instances. complete says that the entries that are not
// removed contain every instance that mints: they were read from the store after this instance's
// id was written, or received from a peer whose set is complete and contains this instance. It
// reports whether the set has changed.
func (s *HolderSet) MergeEntries(entries []Entry, complete bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		known, found := s.entries[e.ID]
		if e.ID == "" || found && !e.replaces(known) {
			continue // the failure domain of an instance never changes
		}
		changed = s.replace(known, e, found) || changed
	}
	if complete && s.has(s.self) {
		s.complete = true
	}
	return changed
}

// replace replaces what is known of an instance and reports whether the set has changed.
func (s *HolderSet) replace(known, e Entry, found bool) (changed bool) {
	s.entries[e.ID] = e
	if found && !known.Removed {
		s.hash ^= known.hash()
		s.size--
		changed = true
	}
	if !e.Removed {
		s.hash ^= e.hash()
		s.size++
		changed = true
	}
	if changed {
		clear(s.acks) // these reports were for another set
	}
	if e.ID == s.self && found {
		s.startAnew()
	}
	return changed
}

// startAnew forgets what allowed this instance to mint in an earlier generation: others may mint
// its share, and lend of it.
func (s *HolderSet) startAnew() {
	s.complete, s.established, s.mintedBefore, s.neverMinted = false, false, false, true
}

func (s *HolderSet) has(id string) bool {
	e, ok := s.entries[id]
	return ok && !e.Removed
}

// Generation returns the generation of an instance, and whether it is removed.
func (s *HolderSet) Generation(id string) (generation uint64, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	return e.Generation, e.Removed
}

// Entries returns what is known of all instances, sorted by id.
func (s *HolderSet) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Entry, 0, len(s.entries))
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		out = append(out, s.entries[id])
	}
	return out
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
	for id := range s.present() {
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
	for id := range s.mayOwe() {
		if !s.cleared && id != s.self && !s.noLoans[id] {
			out = append(out, id)
		}
	}
	return out
}

func (s *HolderSet) noneOwesLoans() bool {
	for id := range s.mayOwe() {
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

// present iterates over the ids of the instances that are not removed.
func (s *HolderSet) present() iter.Seq[string] {
	return func(yield func(string) bool) {
		for id, e := range s.entries {
			if !e.Removed && !yield(id) {
				return
			}
		}
	}
}

// mayOwe iterates over the ids of the instances that may hold a loan. One that was removed while
// its process may be running goes on to borrow.
func (s *HolderSet) mayOwe() iter.Seq[string] {
	return func(yield func(string) bool) {
		for id, e := range s.entries {
			if !e.Left && !yield(id) {
				return
			}
		}
	}
}

// Holders returns the instances of the set, sorted by id.
func (s *HolderSet) Holders() []Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Holder, 0, s.size)
	for _, id := range slices.Sorted(s.present()) {
		out = append(out, s.entries[id].Holder)
	}
	return out
}

// Size returns the number of instances in the set.
func (s *HolderSet) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.size
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
	for id := range s.present() {
		if id != s.self && s.agreementHashes[id] != hash {
			return false
		}
	}
	s.established = true
	return true
}

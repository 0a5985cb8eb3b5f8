// Package quotashare divides every account's rate and burst evenly over the
// instances that are written in one document of the store. It is the simplest
// division that holds by itself when instances are cut off, sleep or restart:
//
//   - An instance mints its part for good once it is in the document; nobody else
//     ever mints it. An instance that is cut off goes on with its own part.
//   - Parts only get smaller. An instance that joins makes all others' parts smaller,
//     and mints nothing itself until each of them has said that it goes by the
//     longer document.
//   - A restarted instance finds itself in the document and mints its part again. Its
//     predecessor is gone, but tokens it lent may still be spent, so the new one
//     holds only what could not be lent until these have expired or no peer has any.
//
// The part of an instance that never comes back is lost to the fleet: one in the
// number of instances, against which accounts usually have room. Demand that is
// uneven over instances is met by loans, see package quota.
//
// The package does no I/O.
package quotashare

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// Record is the document: the instances that mint, in the order in which they
// joined. Its length is its version, since nobody is ever taken out.
type Record struct {
	Holders []string `json:"holders"`
}

// DecodeRecord reads the document; an empty value is the document of nobody.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, errors.Wrap(err, "quota shares")
}

// Encode is the reverse of DecodeRecord.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "quota shares")
}

// With returns the document with an instance added.
func (r Record) With(id string) Record {
	return Record{Holders: append(slices.Clone(r.Holders), id)}
}

// Version of the document.
func (r Record) Version() int { return len(r.Holders) }

// Keeper decides what one instance may mint. It is safe for concurrent use.
type Keeper struct {
	self string

	mu      sync.Mutex
	record  Record
	acks    map[string]int // by instance: the longest version that it goes by
	cleared bool           // tokens that a predecessor lent cannot be spent any more
}

// NewKeeper returns a keeper that mints nothing.
func NewKeeper(self string) *Keeper { return &Keeper{self: self, acks: make(map[string]int)} }

// Observe takes in the document. A shorter one, from a late read, changes nothing.
func (k *Keeper) Observe(r Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Version() > k.record.Version() {
		k.record = r
	}
}

// Acknowledged takes in the version that another instance goes by.
func (k *Keeper) Acknowledged(id string, version int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.acks[id] = max(k.acks[id], version)
}

// Clear takes in that nothing which a predecessor lent can be spent any more.
func (k *Keeper) Clear() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cleared = true
}

// Cleared tells whether Clear was called.
func (k *Keeper) Cleared() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cleared
}

// Record returns the document that this instance goes by.
func (k *Keeper) Record() Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.record
}

// Mints tells whether this instance mints its part. Those who joined before it have
// to go by a document that names it; those who joined later wait for it.
func (k *Keeper) Mints() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	position := slices.Index(k.record.Holders, k.self)
	if position < 0 {
		return false
	}
	for _, earlier := range k.record.Holders[:position] {
		if k.acks[earlier] <= position {
			return false
		}
	}
	return true
}

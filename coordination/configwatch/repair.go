package configwatch

import (
	"slices"

	"github.com/basilroute/basilroute/service"
)

// Hash names the set of documents. Two instances with the same hash know the same.
func (l *DocumentSet) Hash() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all uint64
	for n, bucket := range l.buckets {
		all = all*31 + bucket + uint64(n)
	}
	return all
}

// Buckets returns the hash of each part of the documents.
func (l *DocumentSet) Buckets() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.buckets[:])
}

// Differing returns the documents in the parts whose hash is another one, for a
// peer that compares its own, up to about limit bytes. The batch moves no
// watermark: the peer asks again as long as the hashes differ.
func (l *DocumentSet) Differing(buckets []uint64, limit int) Batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := Batch{After: l.revision, UpTo: 0}
	if len(buckets) != bucketCount {
		return batch
	}
	for _, d := range l.documents {
		if n := bucketOf(d.Key); l.buckets[n] != buckets[n] {
			batch.Documents = append(batch.Documents, d)
		}
	}
	batch, _ = batch.cut(limit)
	batch.UpTo = 0
	return batch
}

// Withdraw notes a withdrawal that the store does not have yet.
func (l *DocumentSet) Withdraw(keyID, nonce string) Document {
	d := Document{Key: service.StoreKey(KindWithdrawn, keyID), Nonce: nonce}
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, ok := l.documents[d.Key]; ok {
		return current
	}
	l.accept(d)
	return d
}

// Pending returns the withdrawals that the store is not known to have.
func (l *DocumentSet) Pending() []Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Document
	for _, d := range l.documents {
		if _, ok := d.WithdrawnKeyID(); ok && d.Revision == 0 {
			out = append(out, d)
		}
	}
	return out
}

// Newest returns the documents that a store has to hold if it has lost nothing:
// the one of the highest rank and, when that one was deleted, also the highest
// that was not, because a deletion leaves nothing to be read.
func (l *DocumentSet) Newest() []Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest, ok := l.documents[l.newest]
	if !ok || newest.Revision == 0 {
		return nil
	}
	if !newest.Deleted {
		return []Document{newest}
	}
	var standing Document
	for _, d := range l.documents {
		if !d.Deleted && d.Revision > standing.Revision {
			standing = d
		}
	}
	if standing.Key == "" {
		return []Document{newest}
	}
	return []Document{standing, newest}
}

// MissingFromStore tells whether the store lacks a document that is in force. stands is what
// it holds, nil for nothing.
func MissingFromStore(d, stands *Document) bool {
	if stands == nil {
		return !d.Deleted
	}
	return compare(stands, d) < 0
}

// StoreRestored tells whether what a store of the generation holds in place of a
// document shows that it came back older: the document is lost, or a later write
// has a lower rank. In a newer generation than the document's, that is known.
func StoreRestored(d, stands *Document, g Generations) bool {
	if MissingFromStore(d, stands) {
		return true
	}
	generation, _ := SplitRank(d.Revision)
	return stands != nil && stands.Revision < d.Revision && generation >= g.Current
}

// SetStoreFinding sets what is wrong with the store; empty when nothing is.
func (l *DocumentSet) SetStoreFinding(finding string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store = finding
}

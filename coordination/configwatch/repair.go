package configwatch

import (
	"slices"

	"github.com/basilroute/basilroute/service"
)

// Hash returns the hash of the set. Two instances with the same hash hold the same
// documents.
func (l *DocumentSet) Hash() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all uint64
	for n, bucket := range l.buckets {
		all = all*31 + bucket + uint64(n)
	}
	return all
}

// Buckets returns the hash of each bucket of documents.
func (l *DocumentSet) Buckets() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.buckets[:])
}

// Differing returns the documents of the buckets whose hash differs from the peer's, up
// to about limit bytes. The batch moves no watermark: the peer asks again as long as the
// hashes differ.
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
	batch, _ = batch.truncate(limit)
	batch.UpTo = 0
	return batch
}

// Withdraw records a withdrawal that is not stored yet, and returns its document.
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

// Pending returns the withdrawals that are not known to be stored.
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

// Newest returns the documents that a store holds unless it has lost writes: the one
// with the highest rank and, if that one was deleted, also the highest one that was
// not, because a deletion leaves nothing to read.
func (l *DocumentSet) Newest() []Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest, ok := l.documents[l.newestKey]
	if !ok || newest.Revision == 0 {
		return nil
	}
	if !newest.Deleted {
		return []Document{newest}
	}
	var existing Document
	for _, d := range l.documents {
		if !d.Deleted && d.Revision > existing.Revision {
			existing = d
		}
	}
	if existing.Key == "" {
		return []Document{newest}
	}
	return []Document{existing, newest}
}

// MissingFromStore reports whether the store lacks a document that is in force. stored
// is the store's version of it, or nil.
func MissingFromStore(d, stored *Document) bool {
	if stored == nil {
		return !d.Deleted
	}
	return compare(stored, d) < 0
}

// StoreRestored reports whether the store's version of a document, or nil, shows that the
// store was restored to an older state: the document is missing, or a later write has a
// lower rank. A lower rank is no sign if the store's generation is above the document's,
// because that restore is already known.
func StoreRestored(d, stored *Document, g Generations) bool {
	if MissingFromStore(d, stored) {
		return true
	}
	generation, _ := SplitRank(d.Revision)
	return stored != nil && stored.Revision < d.Revision && generation >= g.Current
}

// SetStoreFinding sets what is wrong with the store; empty when nothing is.
func (l *DocumentSet) SetStoreFinding(finding string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeFinding = finding
}

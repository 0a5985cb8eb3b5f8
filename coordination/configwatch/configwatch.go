// Package configwatch decides which documents are in force. A document is
// replaced only by a later write, whether that write comes from the store or from a
// peer, so that a stale response, a peer that was cut off or a store that was restored
// from a backup cannot bring an old document back into force.
//
// The package does no I/O.
package configwatch

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"github.com/basilroute/basilroute/service"
)

// Target receives the documents that come into force.
type Target interface {
	Put(d *service.Document)
	Delete(kind service.Kind, name string)
	Withdraw(keyID string, atUnixMilli int64) bool
}

// DocumentSet holds the documents in force. It is safe for concurrent use.
type DocumentSet struct {
	mu           sync.Mutex
	target       Target
	revision     int64  // rank up to which every document is known
	newestKey    string // key of the document with the highest rank
	documents    map[string]Document
	buckets      [bucketCount]uint64 // XOR of the digests of each bucket's documents
	rejected     map[string]string   // finding by document key
	storeFinding string              // empty while the store is in order
}

// New returns an empty set that passes documents on to target.
func New(target Target) *DocumentSet {
	return &DocumentSet{target: target, documents: make(map[string]Document), rejected: make(map[string]string)}
}

// Batch holds a source's documents after one rank and up to another.
type Batch struct {
	Documents []Document
	After     int64
	UpTo      int64
}

// Offer applies a batch, in the order of the writes, and returns how many documents came into
// force. In another order a key that was moved would be out of force for a moment, which ends
// its requests.
//
// The watermark moves only when the batch starts at or below it. Without that check a
// peer's answer to an earlier incarnation, or a partial list, would skip documents for
// good, because a watch from the watermark never shows them again.
func (l *DocumentSet) Offer(b Batch) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, d := range slices.SortedStableFunc(slices.Values(b.Documents), byRank) {
		if l.accept(d) {
			count++
		}
	}
	if b.After <= l.revision {
		l.revision = max(l.revision, b.UpTo)
	}
	return count
}

func (l *DocumentSet) accept(d Document) bool {
	current, known := l.documents[d.Key]
	if known && compare(&current, &d) >= 0 {
		l.updateRevision(current, d)
		return false
	}
	bucket := &l.buckets[bucketOf(d.Key)]
	if known {
		*bucket ^= current.digest()
		d.Revision = max(d.Revision, current.Revision)
	}
	*bucket ^= d.digest()
	l.put(d)
	return l.putInForce(d)
}

// updateRevision applies a higher rank of the write that is in force. A write that the
// store lost and that was written back has such a rank.
func (l *DocumentSet) updateRevision(current, d Document) {
	_, withdrawn := d.WithdrawnKeyID()
	if d.Revision > current.Revision && (d.Nonce == current.Nonce || withdrawn) {
		current.Revision = d.Revision
		l.put(current)
	}
}

func (l *DocumentSet) put(d Document) {
	l.documents[d.Key] = d
	if d.Revision >= l.documents[l.newestKey].Revision {
		l.newestKey = d.Key
	}
}

func (l *DocumentSet) putInForce(d Document) bool {
	kind, name, ok := service.SplitKey(d.Key)
	if !ok || kind == KindGeneration {
		return false
	}
	if kind == KindWithdrawn { // even if the marker was deleted: a withdrawal is permanent
		return l.target.Withdraw(name, nonceTime(d.Nonce))
	}
	delete(l.rejected, d.Key)
	if d.Deleted {
		l.target.Delete(kind, name)
		return true
	}
	parsed, err := service.Parse(d.Key, d.Value)
	switch {
	case err != nil:
		l.rejected[d.Key] = err.Error() // the last valid document stays in force
		return false
	case parsed.Key() != d.Key:
		l.rejected[d.Key] = fmt.Sprintf("%s: holds the document %s", d.Key, parsed.Key())
		return false
	}
	l.target.Put(parsed)
	return true
}

// Revision returns the rank up to which every document is known.
func (l *DocumentSet) Revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Since returns the documents after a rank in order, up to about limit bytes, and
// reports whether there are more.
func (l *DocumentSet) Since(after int64, limit int) (Batch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after >= l.revision {
		return Batch{After: after, UpTo: after}, false
	}
	batch := Batch{After: after, UpTo: l.revision}
	for _, d := range l.documents {
		if d.Revision > after && d.Revision <= l.revision {
			batch.Documents = append(batch.Documents, d)
		}
	}
	return batch.truncate(limit)
}

// truncate sorts a batch and shortens it to the limit. It never splits documents of the
// same rank.
func (b Batch) truncate(limit int) (Batch, bool) {
	slices.SortFunc(b.Documents, byRank)
	size := 0
	for n, d := range b.Documents {
		size += len(d.Key) + len(d.Value)
		if size > limit && n > 0 && d.Revision > b.Documents[n-1].Revision {
			b.Documents, b.UpTo = b.Documents[:n], b.Documents[n-1].Revision
			return b, true
		}
	}
	return b, false
}

func byRank(a, b Document) int {
	return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Key, b.Key))
}

// Documents returns every document, lowest rank first.
func (l *DocumentSet) Documents() []Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Document, 0, len(l.documents))
	for _, d := range l.documents {
		out = append(out, d)
	}
	slices.SortFunc(out, byRank)
	return out
}

// Rejected returns the keys of the documents that this process cannot parse or that
// are stored under another document's key, ordered.
func (l *DocumentSet) Rejected() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.rejected))
	for key := range l.rejected {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}

// Findings returns what is wrong with documents and with the store.
func (l *DocumentSet) Findings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, finding := range l.rejected {
		out = append(out, finding)
	}
	slices.Sort(out)
	if l.storeFinding != "" {
		out = append(out, l.storeFinding)
	}
	return out
}

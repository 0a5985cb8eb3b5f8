// Package configwatch decides which documents are in force. A document is
// replaced only by one of a higher store revision, whether it comes from the
// store or from a peer, so that an old answer, a cut-off peer or a store that
// was restored from a backup cannot bring an old document back.
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

// KindWithdrawn is the kind of a withdrawn key's marker in the store.
const KindWithdrawn service.Kind = "withdrawn"

// Document is a stored document with the store revision that wrote it.
type Document struct {
	Key      string
	Revision int64
	Value    []byte
	Deleted  bool
}

// Target is told what comes into force.
type Target interface {
	Put(d *service.Document)
	Delete(kind service.Kind, name string)
	Withdraw(keyID string, atUnixMilli int64) bool
}

// Log is the history of documents in force. It is safe for concurrent use.
type Log struct {
	mu        sync.Mutex
	target    Target
	revision  int64 // every document up to it is known
	documents map[string]Document
	findings  map[string]string // by key or source
}

// New returns an empty log that feeds target.
func New(target Target) *Log {
	return &Log{target: target, documents: make(map[string]Document), findings: make(map[string]string)}
}

// Offer takes in documents from a source that knows every document up to a
// revision. It returns how many came into force.
func (l *Log) Offer(source string, documents []Document, revision int64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, d := range documents {
		if l.accept(d) {
			count++
		}
	}
	l.advance(source, revision)
	return count
}

func (l *Log) accept(d Document) bool {
	if current, ok := l.documents[d.Key]; ok && current.Revision >= d.Revision {
		return false
	}
	l.documents[d.Key] = d
	delete(l.findings, d.Key)
	return l.enforce(d)
}

// advance reports a source that is behind what is in force.
func (l *Log) advance(source string, revision int64) {
	if source == SourceStore {
		l.checkStore(revision)
	}
	l.revision = max(l.revision, revision)
}

// SourceStore names the platform's store as a source.
const SourceStore = "store"

func (l *Log) checkStore(revision int64) {
	if revision >= l.revision {
		delete(l.findings, SourceStore)
		return
	}
	l.findings[SourceStore] = fmt.Sprintf(
		"the store is at revision %d, revision %d is in force: it came back older and is not obeyed", revision, l.revision)
}

func (l *Log) enforce(d Document) bool {
	kind, name, ok := service.SplitKey(d.Key)
	if !ok {
		return false
	}
	if kind == KindWithdrawn {
		return l.target.Withdraw(name, 0)
	}
	if d.Deleted {
		l.target.Delete(kind, name)
		return true
	}
	parsed, err := service.Parse(d.Key, d.Value)
	if err != nil {
		l.findings[d.Key] = err.Error() // the last good one stays in force
		return false
	}
	l.target.Put(parsed)
	return true
}

// Revision is the store revision up to which every document is known.
func (l *Log) Revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Since returns the documents written after a revision, in order, and the
// revision up to which every document is known.
func (l *Log) Since(revision int64) ([]Document, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision >= l.revision {
		return nil, l.revision
	}
	var out []Document
	for _, d := range l.documents {
		if d.Revision > revision {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Document) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, l.revision
}

// Findings returns what is wrong with documents or with the store.
func (l *Log) Findings() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, finding := range l.findings {
		out = append(out, finding)
	}
	slices.Sort(out)
	return out
}

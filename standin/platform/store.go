// Package platform is a stand-in for the platform's services, for tests, the
// demo and experiments: the key-value service with compare-and-swap, leases and
// long-poll watches, the list of instances with a configurable lag, and the directory.
// Faults can be injected and calls are counted.
package platform

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/basilroute/basilroute/protocol/platformapi"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

type entry struct {
	value    []byte
	revision int64
	lease    int64
	deleted  bool
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is the key-value service. Deleted keys stay as tombstones, so that a watch
// from any revision sees the deletion.
type store struct {
	mu        sync.Mutex
	revision  int64
	nextLease int64
	entries   map[string]entry
	leases    map[int64]*lease
	changed   chan struct{} // closed and replaced at every change
}

func newStore() *store {
	return &store{
		entries: make(map[string]entry),
		leases:  make(map[int64]*lease),
		changed: make(chan struct{}),
	}
}

func (e entry) keyValue(key string) platformapi.KeyValue {
	return platformapi.KeyValue{
		Key:      key,
		Value:    e.value,
		Revision: e.revision,
		Lease:    platformapi.NewOptInt64(e.lease),
		Deleted:  platformapi.NewOptBool(e.deleted),
	}
}

func (s *store) get(key string) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	return e, ok && !e.deleted
}

// put writes if the key's revision is the expected one. It returns the entry that is
// stored afterwards.
func (s *store) put(req *platformapi.PutRequest) (entry, platformapi.ErrorCode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.entries[req.Key]
	exists = exists && !current.deleted
	if !exists {
		current.revision = 0
	}
	if req.Expect != current.revision {
		return current, platformapi.ErrorCodeConflict
	}
	if len(req.Value) > MaxValueBytes {
		return current, platformapi.ErrorCodeTooLarge
	}
	if id := req.Lease.Or(0); id != 0 && s.leases[id] == nil {
		return current, platformapi.ErrorCodeLeaseNotFound
	}
	return s.write(req.Key, entry{
		value: req.Value, lease: req.Lease.Or(0), deleted: req.Delete.Or(false),
	}), ""
}

func (s *store) write(key string, e entry) entry {
	s.revision++
	e.revision = s.revision
	s.entries[key] = e
	close(s.changed)
	s.changed = make(chan struct{})
	return e
}

// list returns what changed under the prefix after a revision, in order of revision.
func (s *store) list(prefix string, after int64) (*platformapi.KeyList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &platformapi.KeyList{Revision: s.revision, Items: []platformapi.KeyValue{}}
	for key, e := range s.entries {
		wanted := strings.HasPrefix(key, prefix) && e.revision > after
		if wanted && (after > 0 || !e.deleted) {
			list.Items = append(list.Items, e.keyValue(key))
		}
	}
	slices.SortFunc(list.Items, func(a, b platformapi.KeyValue) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	return list, s.changed
}

func (s *store) grantLease(ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	id := s.nextLease
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	return id
}

func (s *store) keepAlive(id int64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	l.timer.Reset(l.ttl)
	return l.ttl, true
}

// endLease removes a lease and deletes every key attached to it.
func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.lease == id && !e.deleted {
			s.write(key, entry{deleted: true})
		}
	}
	return true
}

// Snapshot is a copy of the key-value service's content.
type Snapshot struct {
	revision int64
	entries  map[string]entry
}

func (s *store) snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make(map[string]entry, len(s.entries))
	for key, e := range s.entries {
		entries[key] = e
	}
	return Snapshot{revision: s.revision, entries: entries}
}

func (s *store) restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = from.revision
	s.entries = make(map[string]entry, len(from.entries))
	for key, e := range from.entries {
		s.entries[key] = e
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		l.timer.Stop()
		delete(s.leases, id)
	}
}

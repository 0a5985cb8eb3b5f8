package instance

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/basilroute/basilroute/transport/platform"
)

var errOutage = errors.New("outage")

// fakeStore is the platform's store, not safe for concurrent use. Each write's nonce is one
// millisecond later than that of the write before.
type fakeStore struct {
	platform.Store
	revision int64
	entries  map[string]platform.KeyValue
	writes   uint64
	outage   bool
}

func newFakeStore() *fakeStore { return &fakeStore{entries: make(map[string]platform.KeyValue)} }

func (s *fakeStore) snapshot() fakeStore {
	out := fakeStore{revision: s.revision, entries: make(map[string]platform.KeyValue)}
	for key, kv := range s.entries {
		out.entries[key] = kv
	}
	return out
}

func (s *fakeStore) restore(from fakeStore) {
	copied := from.snapshot()
	s.revision, s.entries = copied.revision, copied.entries
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.KeyValue, error) {
	kv, ok := s.entries[key]
	switch {
	case s.outage:
		return platform.KeyValue{}, errOutage
	case !ok || kv.Deleted:
		return platform.KeyValue{}, platform.ErrNotFound
	}
	return kv, nil
}

func (s *fakeStore) List(_ context.Context, prefix string, after int64) ([]platform.KeyValue, int64, error) {
	if s.outage {
		return nil, 0, errOutage
	}
	var out []platform.KeyValue
	for key, kv := range s.entries {
		if strings.HasPrefix(key, prefix) && kv.Revision > after && (after > 0 || !kv.Deleted) {
			out = append(out, kv)
		}
	}
	slices.SortFunc(out, func(a, b platform.KeyValue) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after int64, _ time.Duration) ([]platform.KeyValue, int64, error) {
	return s.List(ctx, prefix, after)
}

func (s *fakeStore) Put(_ context.Context, w platform.Write) (int64, error) {
	if s.outage {
		return 0, errOutage
	}
	current := s.entries[w.Key]
	if current.Deleted {
		current.Revision = 0
	}
	if current.Revision != w.ExpectRevision {
		return 0, platform.ErrConflict
	}
	s.revision++
	s.writes++
	s.entries[w.Key] = platform.KeyValue{
		Key: w.Key, Value: w.Value, Deleted: w.Delete, Revision: s.revision, Nonce: cmp.Or(w.Nonce, nonceAt(s.writes)),
	}
	return s.revision, nil
}

// nonceAt returns a UUIDv7 of a time in milliseconds.
func nonceAt(ms uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], ms<<16)
	id[6], id[8] = 0x70, 0x80
	return id.String()
}

package instance

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	watchWait         = 2 * time.Second // also how soon a restored store is noticed
	repairDelay       = time.Second     // at most, before a restored store is repaired
	wholeEvery        = time.Hour
	wholeAfterFailure = time.Minute
)

// storeWatch reads the documents from the store. It is for one goroutine.
type storeWatch struct {
	store  platform.Store
	config *configwatch.DocumentSet
	offer  func(configwatch.Batch)
	delay  func(context.Context) // before a repair, so that not all watchers begin at once
	log    *slog.Logger

	generations configwatch.Generations
	cursor      int64     // revision of the store to watch from
	listed      bool      // the cursor is valid for the generation
	unchecked   bool      // what was read is to be searched for what the store lost
	whole       time.Time // when all of the store was read
	failed      bool      // a call failed since then
}

// once reads the generation of the store, waits for changes, and takes them
// in when the store has not come back older.
func (w *storeWatch) once(ctx context.Context, now time.Time) error {
	generations, err := w.readGenerations(ctx)
	if err != nil {
		w.failed = true
		return err
	}
	w.begin(generations, now)
	found, err := w.readChanges(ctx)
	if err != nil {
		w.failed = true
		return err
	}
	lost, err := w.storeLost(ctx)
	if err != nil {
		return err
	}
	if lost {
		w.listed = false
		return w.repairStore(ctx)
	}
	w.config.SetStoreFinding("")
	w.takeStored(found)
	if !w.unchecked {
		return nil
	}
	err = w.writeBack(ctx, w.generations)
	w.unchecked = err != nil
	return err
}

// begin sets where the store has to be read from; 0 for all of it.
func (w *storeWatch) begin(g configwatch.Generations, now time.Time) {
	known := w.config.Revision()
	generation, revision := configwatch.SplitRank(known)
	whole := w.wholeDue(now)
	if w.listed && g.Current == w.generations.Current && !whole {
		return
	}
	w.generations, w.listed = g, false
	switch {
	case known > 0 && generation == g.Current && !whole:
		w.cursor = revision
	default:
		w.cursor, w.unchecked = 0, known > 0
		w.whole, w.failed = now, false
	}
}

// wholeDue tells whether the store is to be read as a whole: once in a while,
// and after it did not answer. A store that is restored and written to so much
// that it passes the newest document looks whole to storeLost; what it lost, and
// what was written below the cursor, shows only when all of it is read.
func (w *storeWatch) wholeDue(now time.Time) bool {
	since := now.Sub(w.whole)
	return since >= wholeEvery || w.failed && since >= wholeAfterFailure
}

func (w *storeWatch) readGenerations(ctx context.Context) (configwatch.Generations, error) {
	kv, err := w.store.Get(ctx, configwatch.GenerationKey())
	if errors.Is(err, platform.ErrNotFound) {
		return configwatch.Generations{}, nil
	}
	if err != nil {
		return configwatch.Generations{}, err
	}
	return configwatch.ParseGenerations(kv.Revision, kv.Value)
}

func (w *storeWatch) readChanges(ctx context.Context) (found []platform.KeyValue, err error) {
	switch {
	case w.listed:
		found, _, err = w.store.Watch(ctx, service.KeyPrefix, w.cursor, watchWait)
	case w.cursor > 0:
		found, _, err = w.store.List(ctx, service.KeyPrefix, w.cursor)
	default:
		found, err = w.readWhole(ctx)
	}
	return found, err
}

// readWhole returns every document and every deletion. A list from 0 leaves out
// deletions, and a deleted document would stay in force; one from above 0 leaves
// out what stands at the first revision.
func (w *storeWatch) readWhole(ctx context.Context) ([]platform.KeyValue, error) {
	found, _, err := w.store.List(ctx, service.KeyPrefix, 0)
	if err != nil {
		return nil, err
	}
	changes, _, err := w.store.List(ctx, service.KeyPrefix, 1)
	if err != nil {
		return nil, err
	}
	for _, kv := range changes {
		if kv.Deleted {
			found = append(found, kv)
		}
	}
	return found, nil
}

// storeLost tells whether the store has lost the newest document in force. The
// question comes after the changes were read: a store that is restored between
// the two calls is noticed now or in the next round. A store that has the newest
// one has all others, since it has one order of writes.
func (w *storeWatch) storeLost(ctx context.Context) (bool, error) {
	for _, d := range w.config.Newest() {
		stands, err := w.standing(ctx, d.Key)
		if err != nil {
			return false, err
		}
		if configwatch.StoreRestored(&d, stands, w.generations) {
			return true, nil
		}
	}
	return false, nil
}

// standing returns what the store holds under a key, nil for nothing. A deletion
// shows only in the list of changes; taken for a loss, it would be undone.
func (w *storeWatch) standing(ctx context.Context, key string) (*configwatch.Document, error) {
	kv, err := w.store.Get(ctx, key)
	if err == nil {
		return stored(w.generations, kv), nil
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return nil, err
	}
	changes, _, err := w.store.List(ctx, key, 1)
	if err != nil {
		return nil, err
	}
	for _, kv := range changes {
		if kv.Key == key {
			return stored(w.generations, kv), nil
		}
	}
	return nil, nil
}

// takeStored offers changes of the store. The watermark is the newest document
// and not the store's revision: a store that is restored to between the two
// hands out the revisions in between again.
func (w *storeWatch) takeStored(found []platform.KeyValue) {
	batch := configwatch.Batch{After: w.generations.Rank(w.cursor), Documents: make([]configwatch.Document, len(found))}
	if !w.listed {
		batch.After = 0
	}
	for n, kv := range found {
		batch.Documents[n] = *stored(w.generations, kv)
		w.cursor = max(w.cursor, kv.Revision)
	}
	if w.cursor > 0 {
		batch.UpTo = w.generations.Rank(w.cursor)
	}
	w.listed = true
	w.offer(batch)
}

// repairStore brings a store that came back older up to what is in force: it
// opens a new generation, so that writes from now on outrank all earlier ones,
// and writes back what was lost. Every watcher may do so at once: each write is
// a compare-and-swap.
func (w *storeWatch) repairStore(ctx context.Context) error {
	g := w.generations
	generation, revision := configwatch.SplitRank(w.config.Revision())
	w.config.SetStoreFinding(fmt.Sprintf("the store came back older than revision %d, which is in force, and is not obeyed: "+
		"what it lost is being written back", revision))
	w.log.Warn("store came back older", "generation", generation, "revision", revision)
	w.delay(ctx)
	if g.Current <= generation {
		_, err := w.store.Put(ctx, platform.Write{
			Key: configwatch.GenerationKey(), Value: g.Next(generation), ExpectRevision: g.Revision,
		})
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
		if g, err = w.readGenerations(ctx); err != nil {
			return err
		}
	}
	return w.writeBack(ctx, g)
}

// writeBack writes what the store has lost, the newest document last: as long as
// that one is missing, the other watchers go on with the repair.
func (w *storeWatch) writeBack(ctx context.Context, g configwatch.Generations) error {
	found, err := w.readWhole(ctx)
	if err != nil {
		return err
	}
	byKey := make(map[string]platform.KeyValue, len(found))
	for _, kv := range found {
		byKey[kv.Key] = kv
	}
	for _, d := range w.config.Documents() {
		if d.Key == configwatch.GenerationKey() || d.Revision == 0 {
			continue
		}
		kv, listed := byKey[d.Key]
		if err := w.writeBackOne(ctx, d, kv, listed, g); err != nil {
			return err
		}
	}
	return nil
}

func (w *storeWatch) writeBackOne(ctx context.Context, d configwatch.Document, kv platform.KeyValue, listed bool, g configwatch.Generations) error {
	var stands *configwatch.Document
	if listed {
		stands = stored(g, kv)
	}
	if !configwatch.MissingFromStore(&d, stands) {
		return nil
	}
	next := platform.Write{Key: d.Key, Value: d.Value, Delete: d.Deleted, Nonce: d.Nonce}
	if listed && !kv.Deleted {
		next.ExpectRevision = kv.Revision
	}
	_, err := w.store.Put(ctx, next)
	if errors.Is(err, platform.ErrConflict) {
		return nil // another watcher or an operator wrote it meanwhile
	}
	return err
}

func stored(g configwatch.Generations, kv platform.KeyValue) *configwatch.Document {
	return &configwatch.Document{
		Key: kv.Key, Revision: g.Rank(kv.Revision), Value: kv.Value, Deleted: kv.Deleted, Nonce: kv.Nonce,
	}
}

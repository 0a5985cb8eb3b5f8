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
	watchTimeout         = 2 * time.Second // also bounds how soon a restored store is noticed
	maxRepairDelay       = time.Second     // before a restored store is repaired
	fullReadInterval     = time.Hour
	fullReadAfterFailure = time.Minute
)

// storeWatch reads the documents from the store. It is not safe for concurrent use.
type storeWatch struct {
	store  platform.Store
	config *configwatch.DocumentSet
	offer  func(configwatch.Batch)
	delay  func(context.Context) // sleeps before a repair, so that not all watchers start at once
	log    *slog.Logger

	generations   configwatch.Generations
	cursor        int64     // revision of the store to watch from
	listed        bool      // the cursor is valid for the generation
	lossUnchecked bool      // the documents still have to be compared with the store for losses
	lastFullRead  time.Time // when the whole store was last read
	callFailed    bool      // a call failed since then
}

// syncOnce reads the generation of the store, waits for changes, and applies them unless
// the store was restored to an older state.
func (w *storeWatch) syncOnce(ctx context.Context, now time.Time) error {
	generations, err := w.readGenerations(ctx)
	if err != nil {
		w.callFailed = true
		return err
	}
	w.setCursor(generations, now)
	found, err := w.readChanges(ctx)
	if err != nil {
		w.callFailed = true
		return err
	}
	lost, err := w.newestLost(ctx)
	if err != nil {
		return err
	}
	if lost {
		w.listed = false
		return w.repairStore(ctx)
	}
	w.config.SetStoreFinding("")
	w.applyChanges(found)
	if !w.lossUnchecked {
		return nil
	}
	err = w.writeBack(ctx, w.generations)
	w.lossUnchecked = err != nil
	return err
}

// setCursor sets the revision from which the store has to be read; 0 for all of it.
func (w *storeWatch) setCursor(g configwatch.Generations, now time.Time) {
	known := w.config.Revision()
	generation, revision := configwatch.SplitRank(known)
	full := w.fullReadDue(now)
	if w.listed && g.Current == w.generations.Current && !full {
		return
	}
	w.generations, w.listed = g, false
	switch {
	case known > 0 && generation == g.Current && !full:
		w.cursor = revision
	default:
		w.cursor, w.lossUnchecked = 0, known > 0
		w.lastFullRead, w.callFailed = now, false
	}
}

// fullReadDue reports whether the whole store is to be read: periodically, and after it did
// not respond. A store that is restored and then written to until it passes the newest
// document looks intact to newestLost; what it lost, and what was written below the cursor,
// shows only when all of it is read.
func (w *storeWatch) fullReadDue(now time.Time) bool {
	since := now.Sub(w.lastFullRead)
	return since >= fullReadInterval || w.callFailed && since >= fullReadAfterFailure
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
		found, _, err = w.store.Watch(ctx, service.KeyPrefix, w.cursor, watchTimeout)
	case w.cursor > 0:
		found, _, err = w.store.List(ctx, service.KeyPrefix, w.cursor)
	default:
		found, err = w.readAll(ctx)
	}
	return found, err
}

// readAll returns every document and every deletion. A list from 0 omits deletions, and a
// deleted document would stay in force; one from above 0 omits what is stored at the first
// revision.
func (w *storeWatch) readAll(ctx context.Context) ([]platform.KeyValue, error) {
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

// newestLost reports whether the store has lost the newest document in force. It is called
// after the changes were read: a store that is restored between the two calls is noticed
// now or in the next round. A store that has the newest document has all others, since its
// writes have a single order.
func (w *storeWatch) newestLost(ctx context.Context) (bool, error) {
	for _, d := range w.config.Newest() {
		current, err := w.storedDocument(ctx, d.Key)
		if err != nil {
			return false, err
		}
		if configwatch.StoreRestored(&d, current, w.generations) {
			return true, nil
		}
	}
	return false, nil
}

// storedDocument returns what the store holds under a key, or nil. A deletion shows only in
// the list of changes; mistaken for a loss, it would be undone.
func (w *storeWatch) storedDocument(ctx context.Context, key string) (*configwatch.Document, error) {
	kv, err := w.store.Get(ctx, key)
	if err == nil {
		return toDocument(w.generations, kv), nil
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
			return toDocument(w.generations, kv), nil
		}
	}
	return nil, nil
}

// applyChanges offers changes of the store. The watermark is the revision of the newest
// document and not the store's: a store that is restored to a point between the two assigns
// the revisions in between again.
func (w *storeWatch) applyChanges(found []platform.KeyValue) {
	batch := configwatch.Batch{After: w.generations.Rank(w.cursor), Documents: make([]configwatch.Document, len(found))}
	if !w.listed {
		batch.After = 0
	}
	for n, kv := range found {
		batch.Documents[n] = *toDocument(w.generations, kv)
		w.cursor = max(w.cursor, kv.Revision)
	}
	if w.cursor > 0 {
		batch.UpTo = w.generations.Rank(w.cursor)
	}
	w.listed = true
	w.offer(batch)
}

// repairStore brings a store that was restored to an older state up to what is in force: it
// opens a new generation, so that writes from now on outrank all earlier ones, and writes
// back what was lost. Every watcher may do so at the same time: each write is a
// compare-and-swap.
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

// writeBack writes what the store has lost, the newest document last: while that one is
// missing, the other watchers continue the repair.
func (w *storeWatch) writeBack(ctx context.Context, g configwatch.Generations) error {
	found, err := w.readAll(ctx)
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
	var current *configwatch.Document
	if listed {
		current = toDocument(g, kv)
	}
	if !configwatch.MissingFromStore(&d, current) {
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

func toDocument(g configwatch.Generations, kv platform.KeyValue) *configwatch.Document {
	return &configwatch.Document{
		Key: kv.Key, Revision: g.Rank(kv.Revision), Value: kv.Value, Deleted: kv.Deleted, Nonce: kv.Nonce,
	}
}

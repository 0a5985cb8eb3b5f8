package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	watchWait   = 2 * time.Second        // also how soon a restored store is noticed
	watchPause  = 500 * time.Millisecond // after a failed call
	watchIdle   = time.Second            // between looks whether this instance is to watch
	repairDelay = time.Second            // at most, before a restored store is repaired
)

// storeWatch is what the watcher knows of the store. Only its loop uses it.
type storeWatch struct {
	generations configwatch.Generations
	cursor      int64 // revision of the store to watch from
	listed      bool  // the cursor is valid for the generation
	unchecked   bool  // the generation is new: somebody may have left its repair half done
}

// watchConfig keeps the documents in force up to date with the store, as long as
// the instance is one of its domain's watchers.
func (i *Instance) watchConfig(ctx context.Context) {
	var w storeWatch
	for ctx.Err() == nil {
		if !i.watches() {
			w.listed = false
			i.storeFailing(false)
			_ = wait(ctx, time.After(watchIdle))
			continue
		}
		err := i.watchOnce(ctx, &w)
		i.storeSeen.Store(err == nil)
		i.storeFailing(err != nil)
		if err != nil {
			_ = wait(ctx, time.After(watchPause))
		}
	}
}

// watches tells whether this instance is one of the watchers of its domain. An
// instance without a configuration looks for itself.
func (i *Instance) watches() bool {
	if i.config.Revision() == 0 {
		return true
	}
	var candidates []configwatch.Candidate
	for _, m := range i.members.Members(time.Now()) {
		if m.Reachable && !m.Leaving() && m.Entry.GetDomain() == i.settings.Domain {
			candidates = append(candidates, configwatch.Candidate{ID: m.Entry.GetId(), StoreFailing: m.Entry.GetStoreUnreachable()})
		}
	}
	return configwatch.Watches(i.settings.ID, candidates)
}

// watchOnce reads the generation of the store, waits for changes, and takes them
// in when the store has not come back older.
func (i *Instance) watchOnce(ctx context.Context, w *storeWatch) error {
	generations, err := i.readGenerations(ctx)
	if err != nil {
		return err
	}
	w.begin(generations, i.config.Revision())
	found, err := i.readChanges(ctx, w)
	if err != nil {
		return err
	}
	lost, err := i.storeLost(ctx, w.generations)
	if err != nil {
		return err
	}
	if lost {
		w.listed = false
		return i.repairStore(ctx, w.generations)
	}
	i.config.ReportStore("")
	i.takeStored(w, found)
	if !w.unchecked {
		return nil
	}
	w.unchecked = false
	return i.writeBack(ctx, w.generations)
}

// begin sets where the store has to be read from. After a change of generation
// that is 1 and not 0, because a list from 0 leaves out deletions, and a deleted
// document would stay in force.
func (w *storeWatch) begin(g configwatch.Generations, known int64) {
	if w.listed && g.Current == w.generations.Current {
		return
	}
	w.generations, w.listed = g, false
	generation, revision := configwatch.SplitRank(known)
	switch {
	case known == 0:
		w.cursor = 0
	case generation == g.Current:
		w.cursor = revision
	default:
		w.cursor, w.unchecked = 1, true
	}
}

func (i *Instance) readGenerations(ctx context.Context) (configwatch.Generations, error) {
	kv, err := i.platform.Get(ctx, configwatch.GenerationKey())
	if errors.Is(err, platform.ErrNotFound) {
		return configwatch.Generations{}, nil
	}
	if err != nil {
		return configwatch.Generations{}, err
	}
	return configwatch.ParseGenerations(kv.Revision, kv.Value)
}

func (i *Instance) readChanges(ctx context.Context, w *storeWatch) (found []platform.KeyValue, err error) {
	if !w.listed {
		found, _, err = i.platform.List(ctx, service.KeyPrefix, w.cursor)
		return found, err
	}
	found, _, err = i.platform.Watch(ctx, service.KeyPrefix, w.cursor, watchWait)
	return found, err
}

// storeLost tells whether the store has lost the newest document in force. The
// question comes after the changes were read: a store that is restored between
// the two calls is noticed now or in the next round. A store that has the newest
// one has all others, since it has one order of writes.
func (i *Instance) storeLost(ctx context.Context, g configwatch.Generations) (bool, error) {
	for _, d := range i.config.Newest() {
		kv, err := i.platform.Get(ctx, d.Key)
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			return false, err
		}
		found := configwatch.Found{Exists: err == nil, Revision: kv.Revision, Nonce: kv.Nonce}
		if configwatch.Lost(&d, found, g) {
			return true, nil
		}
	}
	return false, nil
}

// takeStored offers changes of the store. The watermark is the newest document
// and not the store's revision: a store that is restored to between the two
// hands out the revisions in between again.
func (i *Instance) takeStored(w *storeWatch, found []platform.KeyValue) {
	batch := configwatch.Batch{After: w.generations.Rank(w.cursor), Documents: make([]configwatch.Document, len(found))}
	if !w.listed {
		batch.After = 0
	}
	for n, kv := range found {
		batch.Documents[n] = configwatch.Document{
			Key: kv.Key, Revision: w.generations.Rank(kv.Revision), Value: kv.Value, Deleted: kv.Deleted, Nonce: kv.Nonce,
		}
		w.cursor = max(w.cursor, kv.Revision)
	}
	if w.cursor > 0 {
		batch.UpTo = w.generations.Rank(w.cursor)
	}
	w.listed = true
	i.storeRead.Store(true)
	i.offer(configSource("store"), batch)
}

// repairStore brings a store that came back older up to what is in force: it
// opens a new generation, so that writes from now on outrank all earlier ones,
// and writes back what was lost. Every watcher may do so at once: each write is
// a compare-and-swap.
func (i *Instance) repairStore(ctx context.Context, g configwatch.Generations) error {
	generation, revision := configwatch.SplitRank(i.config.Revision())
	i.config.ReportStore(fmt.Sprintf("the store came back older than revision %d, which is in force, and is not obeyed: "+
		"what it lost is being written back", revision))
	i.log.Warn("store came back older", "generation", generation, "revision", revision)
	_ = wait(ctx, time.After(rand.N(repairDelay)))
	if g.Current <= generation {
		_, err := i.platform.Put(ctx, platform.Write{
			Key: configwatch.GenerationKey(), Value: g.Next(generation), Expect: g.Revision,
		})
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
		if g, err = i.readGenerations(ctx); err != nil {
			return err
		}
	}
	return i.writeBack(ctx, g)
}

// writeBack writes what the store has lost, the newest document last: as long as
// that one is missing, the other watchers go on with the repair.
func (i *Instance) writeBack(ctx context.Context, g configwatch.Generations) error {
	stored, _, err := i.platform.List(ctx, service.KeyPrefix, 1) // 0 would leave out deletions
	if err != nil {
		return err
	}
	byKey := make(map[string]platform.KeyValue, len(stored))
	for _, kv := range stored {
		byKey[kv.Key] = kv
	}
	for _, d := range i.config.Documents() {
		if d.Key == configwatch.GenerationKey() || d.Revision == 0 {
			continue
		}
		kv, listed := byKey[d.Key]
		if err := i.writeBackOne(ctx, d, kv, listed, g); err != nil {
			return err
		}
	}
	return nil
}

func (i *Instance) writeBackOne(ctx context.Context, d configwatch.Document, kv platform.KeyValue, listed bool, g configwatch.Generations) error {
	found := configwatch.Found{Exists: listed && !kv.Deleted, Deleted: kv.Deleted, Revision: kv.Revision, Nonce: kv.Nonce}
	if !configwatch.Lost(&d, found, g) {
		return nil
	}
	w := platform.Write{Key: d.Key, Value: d.Value, Delete: d.Deleted}
	if configwatch.KeepFound(&d, found) {
		w.Value, w.Delete = kv.Value, kv.Deleted
	}
	if found.Exists {
		w.Expect = kv.Revision
	}
	_, err := i.platform.Put(ctx, w)
	if errors.Is(err, platform.ErrConflict) {
		return nil // another watcher or an operator wrote it meanwhile
	}
	return err
}

// configSource names where documents came from, for the log.
type configSource string

func (i *Instance) offer(source configSource, batch configwatch.Batch) {
	count := i.config.Offer(batch)
	i.publishConfig()
	i.checkReady(source)
	if count > 0 {
		i.spread()
		i.log.Info("configuration in force", "source", string(source), "documents", count, "revision", i.config.Revision())
	}
}

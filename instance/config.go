package instance

import (
	"context"
	"github.com/basilroute/basilroute/service"
	"time"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	watchWait  = 20 * time.Second
	watchPause = 500 * time.Millisecond // after a failed call
)

// watchConfig keeps the documents in force up to date with the store.
func (i *Instance) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		if err := i.watchOnce(ctx); err != nil {
			i.storeSeen.Store(false)
			_ = wait(ctx, time.After(watchPause))
		}
	}
}

func (i *Instance) watchOnce(ctx context.Context) error {
	var found []platform.KeyValue
	var revision int64
	var err error
	if known := i.config.Revision(); !i.storeRead.Load() {
		found, revision, err = i.platform.List(ctx, service.KeyPrefix, known)
	} else {
		found, revision, err = i.platform.Watch(ctx, service.KeyPrefix, known, watchWait)
	}
	if err != nil {
		return err
	}
	i.storeSeen.Store(true)
	i.storeRead.Store(true)
	documents := make([]configwatch.Document, len(found))
	for n, kv := range found {
		documents[n] = configwatch.Document{Key: kv.Key, Revision: kv.Revision, Value: kv.Value, Deleted: kv.Deleted}
	}
	i.offer(configwatch.SourceStore, documents, revision)
	return nil
}

func (i *Instance) offer(source string, documents []configwatch.Document, revision int64) {
	count := i.config.Offer(source, documents, revision)
	if i.config.Revision() > 0 && i.ready.CompareAndSwap(false, true) {
		i.log.Info("ready", "source", source, "revision", i.config.Revision())
	}
	if count > 0 {
		i.log.Info("configuration in force", "source", source, "documents", count, "revision", i.config.Revision())
	}
}

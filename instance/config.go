package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/coordination/configwatch"
)

const (
	watchPause = 500 * time.Millisecond // after a failed call
	watchIdle  = time.Second            // between looks whether this instance is to watch
)

// watchConfig keeps the documents in force up to date with the store, as long as
// the instance is one of its domain's watchers.
func (i *Instance) watchConfig(ctx context.Context) {
	w := &storeWatch{
		store: i.platform, config: i.config, offer: i.offerStored, log: i.log,
		delay: func(ctx context.Context) { _ = wait(ctx, time.After(rand.N(repairDelay))) },
	}
	for ctx.Err() == nil {
		if !i.watches() {
			w.listed = false
			i.storeFailing(false)
			_ = wait(ctx, time.After(watchIdle))
			continue
		}
		err := w.once(ctx, time.Now())
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
	return configwatch.IsWatcher(i.settings.ID, candidates)
}

func (i *Instance) offerStored(batch configwatch.Batch) {
	i.storeRead.Store(true)
	i.offer("store", batch)
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

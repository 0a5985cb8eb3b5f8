package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/basilroute/basilroute/coordination/configwatch"
)

const (
	storeRetryDelay      = 500 * time.Millisecond // after a failed call
	watcherCheckInterval = time.Second            // between checks of whether this instance is a watcher
)

// watchConfig keeps the documents in force up to date with the store while this instance is
// one of its domain's watchers.
func (i *Instance) watchConfig(ctx context.Context) {
	w := &storeWatch{
		store: i.platform, config: i.config, offer: i.offerFromStore, log: i.log,
		delay: func(ctx context.Context) { _ = wait(ctx, time.After(rand.N(maxRepairDelay))) },
	}
	for ctx.Err() == nil {
		if !i.isWatcher() {
			w.listed = false
			i.setStoreUnreachable(false)
			_ = wait(ctx, time.After(watcherCheckInterval))
			continue
		}
		err := w.syncOnce(ctx, time.Now())
		i.storeReachable.Store(err == nil)
		i.setStoreUnreachable(err != nil)
		if err != nil {
			_ = wait(ctx, time.After(storeRetryDelay))
		}
	}
}

// isWatcher reports whether this instance is one of the watchers of its domain. An instance
// without a configuration watches the store itself.
func (i *Instance) isWatcher() bool {
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

func (i *Instance) offerFromStore(batch configwatch.Batch) {
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
		i.triggerExchange()
		i.triggerPoll() // servers of a service that was not known could not be polled
		i.log.Info("configuration in force", "source", string(source), "documents", count, "revision", i.config.Revision())
	}
}

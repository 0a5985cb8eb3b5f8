package routed

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/streambuild"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	// buildsKey is where the builds of each service's servers are kept. Instances tell each other of them, and read this item only
	// when they start: after all have ended at once none is left to tell which builds began the streams of before.
	buildsKey = "fleet/builds"
	// buildCheckInterval is how often an instance looks for builds to store.
	buildCheckInterval = 200 * time.Millisecond
	// minBuildStoreDelay and, for each instance of the fleet, buildStoreSpacing bound the time by which an instance waits for another
	// one to store a build: all see it at once, and each looks whether it is stored.
	minBuildStoreDelay = 2 * time.Second
	buildStoreSpacing  = 20 * time.Millisecond
)

// storedBuilds is the value of buildsKey: all builds that services had for streambuild.StreamLifetime, by service.
type storedBuilds struct {
	// Era is the store's when the value was written. A value of another era is from a copy, and may lack builds.
	Era    int64               `json:"era"`
	Builds map[string][]string `json:"builds"`
}

// holds reports whether the value says in an era that these are all builds.
func (s storedBuilds) holds(builds map[string][]string, era int64) bool {
	return s.Era == era && maps.EqualFunc(builds, s.Builds, slices.Equal)
}

// buildStore keeps the builds in the store.
type buildStore struct {
	history *streambuild.History
	source  Source
	log     *slog.Logger
	stored  storedBuilds
	era     int64       // of the store at the last call
	lost    atomic.Bool // the store was restored from an earlier copy
}

func newBuildStore(history *streambuild.History, source Source, log *slog.Logger) *buildStore {
	return &buildStore{history: history, source: source, log: log}
}

// keepBuilds reads the stored builds and then writes the item whenever the history differs from it, until ctx ends. The instance that
// ranks first writes at once. The others wait for it, and then write only what the item lacks.
func (n *Instance) keepBuilds(ctx context.Context) {
	b := n.buildStore
	n.retryUntilDone(ctx, func() error {
		_, err := b.read(ctx)
		return err
	})
	for ctx.Err() == nil {
		sleep(ctx, buildCheckInterval)
		if b.lost.Swap(false) {
			b.stored = storedBuilds{}
		}
		builds, covered := b.history.All(time.Now())
		if !covered || b.stored.holds(builds, b.era) {
			continue // an instance that has not seen all builds stores none
		}
		if !n.ranksFirst(xxhash.Sum64String(buildsKey)) {
			if !b.lacks(builds) {
				continue
			}
			sleep(ctx, rand.N(n.buildStoreDelay()))
		}
		if err := b.update(ctx); err != nil && !errors.Is(err, platform.ErrConflict) {
			n.log.Info("builds_not_stored", "error", err.Error())
			sleep(ctx, minBuildStoreDelay)
		}
	}
}

func (n *Instance) buildStoreDelay() time.Duration {
	fleet, _ := n.InstanceCounts()
	return max(minBuildStoreDelay, time.Duration(fleet)*buildStoreSpacing)
}

// read adds what is new in the item to the history and returns the revision of the item, 0 if there is none. A value that cannot be
// decoded says nothing: the next write replaces it.
func (b *buildStore) read(ctx context.Context) (int64, error) {
	item, err := b.source.Store().Get(ctx, buildsKey)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read builds")
	}
	var stored storedBuilds
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		b.log.Info("builds_unreadable", "error", err.Error())
		return item.Revision, nil
	}
	added := make(map[string][]string)
	for service, all := range stored.Builds {
		for _, build := range all {
			if !slices.Contains(b.stored.Builds[service], build) {
				added[service] = append(added[service], build)
			}
		}
	}
	b.stored = stored
	b.era, _ = configwatch.SplitRank(item.Revision)
	b.history.Restore(added, stored.Era == b.era, time.Now())
	return item.Revision, nil
}

// lacks reports whether the store lacks one of the builds.
func (b *buildStore) lacks(builds map[string][]string) bool {
	for service, all := range builds {
		for _, build := range all {
			if !slices.Contains(b.stored.Builds[service], build) {
				return true
			}
		}
	}
	return false
}

// update writes the builds of the history, unless another instance has.
func (b *buildStore) update(ctx context.Context) error {
	revision, err := b.read(ctx)
	if err != nil {
		return err
	}
	builds, _ := b.history.All(time.Now())
	if b.stored.holds(builds, b.era) {
		return nil
	}
	next := storedBuilds{Era: b.era, Builds: builds}
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "builds")
	}
	written, err := b.source.Store().Put(ctx, platform.Write{Key: buildsKey, Value: value, ExpectRevision: revision})
	if err != nil {
		return errors.Wrap(err, "write builds")
	}
	b.stored = next
	b.era, _ = configwatch.SplitRank(written) // written again if it is not the one that the value names
	return nil
}

// readBuilds records the builds of the servers whose entries have changed in the store since this instance was told last. It leaves
// the entries themselves to what keeps the mirror up to date.
func (n *Instance) readBuilds(ctx context.Context) error {
	known := n.servers.mirror.Revision()
	if known == 0 {
		return errors.New("the servers' entries have not been read yet")
	}
	changed, _, err := n.source.Store().Watch(ctx, n.servers.prefix, known, 0)
	if err != nil {
		return errors.Wrap(err, "read the servers' entries")
	}
	var servers []backends.Server
	for _, item := range changed {
		server, err := n.source.Server(item.Key, item.Value)
		if item.Deleted || err != nil {
			continue // names no server; one that cannot be read is logged when it comes to the mirror
		}
		servers = append(servers, server)
	}
	n.builds.recordServers(servers, time.Now())
	return nil
}

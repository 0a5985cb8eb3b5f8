package instance

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/transport/platform"
)

// watcher is the part of an instance that keeps its configuration.
type watcher struct {
	catalog *catalog.Catalog
	config  *configwatch.DocumentSet
	watch   *storeWatch
}

func newWatcher(store platform.Store) *watcher {
	w := &watcher{catalog: catalog.New()}
	w.config = configwatch.New(w.catalog)
	w.watch = &storeWatch{
		store: store, config: w.config, offer: func(b configwatch.Batch) { w.config.Offer(b) },
		delay: func(context.Context) {}, log: slog.New(slog.DiscardHandler),
	}
	return w
}

// pull models an exchange in which w gets documents from a peer.
func (w *watcher) pull(from *watcher) {
	for more := true; more; {
		var batch configwatch.Batch
		batch, more = from.config.Since(w.config.Revision(), 1)
		w.config.Offer(batch)
	}
	if w.config.Revision() == from.config.Revision() && w.config.Hash() != from.config.Hash() {
		w.config.Offer(from.config.Differing(w.config.Buckets(), maxFetchBytes))
	}
}

// version returns the version of an account that is in force, or 0.
func (w *watcher) version(name string) int {
	if a := w.catalog.Account(name); a != nil {
		return int(a.Rate)
	}
	return 0
}

func accountVersion(name string, version int) []byte {
	return fmt.Appendf(nil, "kind: account\nname: %s\nrate: %d\nburst: 1\n", name, version)
}

// configModel drives the steps of spec/config.pml against the functions that the
// instance runs.
type configModel struct {
	store     *fakeStore
	watchers  []*watcher
	snapshots []fakeStore
	now       time.Time
	version   int
	highest   map[string]int // ever in force anywhere
	seen      []map[string]int
}

var modelAccounts = []string{"a", "b", "c"}

func newConfigModel() *configModel {
	m := &configModel{store: newFakeStore(), now: time.Unix(1, 0), highest: make(map[string]int)}
	m.snapshots = []fakeStore{m.store.snapshot()}
	for range 3 {
		m.watchers = append(m.watchers, newWatcher(m.store))
		m.seen = append(m.seen, make(map[string]int))
	}
	return m
}

func (m *configModel) apply(t *rapid.T) {
	name := rapid.SampledFrom(modelAccounts).Draw(t, "account")
	key := service.StoreKey(service.KindAccount, name)
	current, _ := m.store.Get(context.Background(), key)
	m.version++
	_, _ = m.store.Put(context.Background(), platform.Write{Key: key, Value: accountVersion(name, m.version), ExpectRevision: current.Revision})
}

func (m *configModel) watch(t *rapid.T) {
	w := rapid.SampledFrom(m.watchers).Draw(t, "watcher")
	_ = w.watch.syncOnce(context.Background(), m.now)
}

func (m *configModel) exchange(t *rapid.T) {
	to := rapid.SampledFrom(m.watchers).Draw(t, "to")
	to.pull(rapid.SampledFrom(m.watchers).Draw(t, "from"))
}

func (m *configModel) takeSnapshot(*rapid.T) { m.snapshots = append(m.snapshots, m.store.snapshot()) }

func (m *configModel) restore(t *rapid.T) {
	m.store.restore(rapid.SampledFrom(m.snapshots).Draw(t, "snapshot"))
}

func (m *configModel) outage(*rapid.T) { m.store.outage = !m.store.outage }

func (m *configModel) hour(*rapid.T) { m.now = m.now.Add(fullReadInterval) }

// restart replaces an instance if another one has the same documents.
func (m *configModel) restart(t *rapid.T) {
	n := rapid.IntRange(0, len(m.watchers)-1).Draw(t, "instance")
	other := m.watchers[(n+1)%len(m.watchers)]
	if other.config.Hash() == m.watchers[n].config.Hash() {
		m.watchers[n], m.seen[n] = newWatcher(m.store), make(map[string]int)
	}
}

// check runs after every step: nothing in force may be replaced by an older write.
func (m *configModel) check(t *rapid.T) {
	for n, w := range m.watchers {
		for _, name := range modelAccounts {
			version := w.version(name)
			if version < m.seen[n][name] {
				t.Fatalf("instance %d: account %s went back from %d to %d", n, name, m.seen[n][name], version)
			}
			m.seen[n][name] = version
			m.highest[name] = max(m.highest[name], version)
		}
	}
}

// settle ends the outage and lets all instances read and exchange until nothing changes.
func (m *configModel) settle() {
	m.store.outage = false
	for range 8 {
		m.now = m.now.Add(fullReadInterval)
		for _, w := range m.watchers {
			_ = w.watch.syncOnce(context.Background(), m.now)
			_ = w.watch.syncOnce(context.Background(), m.now)
			for _, from := range m.watchers {
				w.pull(from)
			}
		}
	}
}

func (m *configModel) checkSettled(t *rapid.T) {
	for n, w := range m.watchers {
		if w.config.Hash() != m.watchers[0].config.Hash() {
			t.Fatalf("instance %d holds other documents than instance 0", n)
		}
		for _, name := range modelAccounts {
			if w.version(name) < m.highest[name] {
				t.Fatalf("instance %d: account %s is at %d, %d was in force", n, name, w.version(name), m.highest[name])
			}
			kv, _ := m.store.Get(context.Background(), service.StoreKey(service.KindAccount, name))
			if w.version(name) > 0 && string(kv.Value) != string(accountVersion(name, w.version(name))) {
				t.Fatalf("account %s is at %d, the store holds %q", name, w.version(name), kv.Value)
			}
		}
	}
}

// Guards against a document that goes back to an older version. Operators write, instances
// watch, exchange and restart, and the store fails or is restored from any earlier
// snapshot, also unnoticed and with revisions assigned again. In the end every instance and
// the store have to hold the same documents, with nothing lost that was in force anywhere.
func TestConfigurationNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newConfigModel()
		t.Repeat(map[string]func(*rapid.T){
			"apply": m.apply, "watch": m.watch, "watch again": m.watch, "exchange": m.exchange, "snapshot": m.takeSnapshot,
			"restore": m.restore, "outage": m.outage, "hour": m.hour, "restart": m.restart, "": m.check,
		})
		m.settle()
		m.check(t)
		m.checkSettled(t)
	})
}

// The store is restored from a backup, and before any instance reads it, it accepts an
// operator's write under a revision that was used before. The next read has to notice, keep
// both the write and what the store lost, and let the fleet agree, without waiting for the
// hourly full read.
func TestRestoredStoreIsRepairedAtOnce(t *testing.T) {
	m := newConfigModel()
	put := func(name string) {
		m.version++
		key := service.StoreKey(service.KindAccount, name)
		current, _ := m.store.Get(t.Context(), key)
		if _, err := m.store.Put(t.Context(), platform.Write{Key: key, Value: accountVersion(name, m.version), ExpectRevision: current.Revision}); err != nil {
			t.Fatal(err)
		}
	}
	syncAll := func() {
		for range 3 {
			for _, w := range m.watchers {
				_ = w.watch.syncOnce(t.Context(), m.now)
			}
		}
	}
	put("a")
	backup := m.store.snapshot()
	put("a")
	put("b")
	syncAll()
	m.store.restore(backup)
	put("c")
	syncAll()
	for n, w := range m.watchers {
		if w.version("a") != 2 || w.version("b") != 3 || w.version("c") != 4 {
			t.Errorf("instance %d: a %d, b %d, c %d", n, w.version("a"), w.version("b"), w.version("c"))
		}
		if generation, _ := configwatch.SplitRank(w.config.Revision()); generation != 1 {
			t.Errorf("instance %d: generation %d", n, generation)
		}
	}
	joining := newWatcher(m.store)
	_ = joining.watch.syncOnce(t.Context(), m.now)
	if joining.version("a") != 2 || joining.version("b") != 3 || joining.version("c") != 4 {
		t.Error("the store does not hold what it lost")
	}
}

// A document is deleted, and the store is then restored to a state from before. The
// deletion must hold, also for an instance that was cut off meanwhile and for one that
// reads the store for the first time.
func TestDeletionSurvivesARestore(t *testing.T) {
	m := newConfigModel()
	key := service.StoreKey(service.KindAccount, "a")
	_, _ = m.store.Put(t.Context(), platform.Write{Key: key, Value: accountVersion("a", 1)})
	backup := m.store.snapshot()
	w, lagging := m.watchers[0], m.watchers[1]
	_ = w.watch.syncOnce(t.Context(), m.now)
	_ = lagging.watch.syncOnce(t.Context(), m.now)
	_, _ = m.store.Put(t.Context(), platform.Write{Key: key, ExpectRevision: 1, Delete: true})
	_ = w.watch.syncOnce(t.Context(), m.now)
	if w.version("a") != 0 {
		t.Fatal("the deletion is not in force")
	}
	m.store.restore(backup)
	for range 3 {
		_ = w.watch.syncOnce(t.Context(), m.now)
	}
	fresh := newWatcher(m.store)
	for range 3 {
		_ = lagging.watch.syncOnce(t.Context(), m.now)
		_ = fresh.watch.syncOnce(t.Context(), m.now)
	}
	if w.version("a") != 0 || lagging.version("a") != 0 || fresh.version("a") != 0 {
		t.Error("the deleted document is in force again")
	}
}

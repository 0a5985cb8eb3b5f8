package routed

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/state/mirror"
)

// origin is where items of the store come from.
type origin struct {
	source string        // one of the sources below
	peer   string        // id or address of the peer; empty for the store
	hold   time.Duration // how long removed servers stay in use
}

// Sources from which items of the store reach an instance.
const (
	sourceStore    = "store"
	sourceWatcher  = "watcher"  // an instance that is followed
	sourceExchange = "exchange" // an instance that views were exchanged with
	sourceCatchUp  = "catch_up" // an instance that had more than an exchange carries
)

// Results of items that arrived.
const (
	itemsNew       = "taken"
	itemsRedundant = "known" // nothing in them was new: a redundant copy
)

// syncMetrics are the series on how the store's items reach this instance.
type syncMetrics struct {
	bytes   *prometheus.CounterVec
	failed  *prometheus.CounterVec
	ignored *prometheus.CounterVec
}

func newSyncMetrics(registry prometheus.Registerer) *syncMetrics {
	const namespace = "basilroute"
	m := &syncMetrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_item_bytes_total",
			Help: "Values of the store's items that arrived, by way and by whether they held anything new.",
		}, []string{"prefix", "way", "result"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_item_failures_total",
			Help: "Calls, streams and exchanges for the store's items that ended without an answer, by way.",
		}, []string{"way"}),
		ignored: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_lists_ignored_total",
			Help: "Lists of the store's items that are older than what is known, by way.",
		}, []string{"prefix", "way"}),
	}
	registry.MustRegister(m.bytes, m.failed, m.ignored)
	return m
}

// countItems counts the items of a delta, and apart those that changed something.
func (m *syncMetrics) countItems(prefix string, from origin, d mirror.Delta, changed []mirror.Item) {
	if len(d.Items) == 0 {
		return
	}
	newBytes := itemBytes(changed)
	m.bytes.WithLabelValues(prefix, from.source, itemsNew).Add(float64(newBytes))
	m.bytes.WithLabelValues(prefix, from.source, itemsRedundant).Add(float64(max(0, itemBytes(d.Items)-newBytes)))
}

func (m *syncMetrics) countFailure(source string) { m.failed.WithLabelValues(source).Inc() }

func (m *syncMetrics) countIgnored(prefix, source string) {
	m.ignored.WithLabelValues(prefix, source).Inc()
}

func itemBytes(items []mirror.Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Value)
	}
	return size
}

// registerVersions adds the series on the configuration and the revisions in force on this
// instance.
func (n *Instance) registerVersions() {
	const namespace = "basilroute"
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "config_version", Help: "Version of the configuration in force; 0 before the first one.",
	}, func() float64 {
		if config := n.routes.Current(); config != nil {
			return float64(config.Version)
		}
		return 0
	}))
	for _, f := range n.syncs {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "store_revision", Help: "Revision of the store up to which every change is known.",
			ConstLabels: prometheus.Labels{"prefix": f.prefix},
		}, func() float64 {
			_, revision := configwatch.SplitRank(f.mirror.Revision())
			return float64(revision)
		}))
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "store_era", Help: "How often the store has come back from a copy, by its own count.",
			ConstLabels: prometheus.Labels{"prefix": f.prefix},
		}, func() float64 {
			era, _ := configwatch.SplitRank(f.mirror.Revision())
			return float64(era)
		}))
	}
}

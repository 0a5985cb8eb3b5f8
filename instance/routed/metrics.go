package routed

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/basilroute/basilroute/state/mirror"
)

// origin is where items of the store come from.
type origin struct {
	way  string // one of the ways below
	peer string // its id or address; empty for the store
}

// Ways on which items of the store reach an instance.
const (
	wayStore    = "store"
	wayWatcher  = "watcher"  // an instance that is followed
	wayExchange = "exchange" // an instance that views were exchanged with
	wayCatchUp  = "catch_up" // the same, where it had more than an exchange carries
)

// Results of items that arrived.
const (
	itemsTaken = "taken"
	itemsKnown = "known" // nothing in them was new: a copy too many
)

// copyMetrics are the series that tell how the store's items get here.
type copyMetrics struct {
	bytes  *prometheus.CounterVec
	failed *prometheus.CounterVec
}

func newCopyMetrics(registry prometheus.Registerer) *copyMetrics {
	const namespace = "basilroute"
	m := &copyMetrics{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_item_bytes_total",
			Help: "Values of the store's items that arrived, by way and by whether they held anything new.",
		}, []string{"prefix", "way", "result"}),
		failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_item_failures_total",
			Help: "Calls, streams and exchanges for the store's items that ended without an answer, by way.",
		}, []string{"way"}),
	}
	registry.MustRegister(m.bytes, m.failed)
	return m
}

// arrived counts a delta and which of its items changed something.
func (m *copyMetrics) arrived(prefix string, from origin, d mirror.Delta, changed []mirror.Item) {
	if len(d.Items) == 0 {
		return
	}
	taken := itemBytes(changed)
	m.bytes.WithLabelValues(prefix, from.way, itemsTaken).Add(float64(taken))
	m.bytes.WithLabelValues(prefix, from.way, itemsKnown).Add(float64(max(0, itemBytes(d.Items)-taken)))
}

func (m *copyMetrics) fail(way string) { m.failed.WithLabelValues(way).Inc() }

func itemBytes(items []mirror.Item) int {
	size := 0
	for _, item := range items {
		size += len(item.Value)
	}
	return size
}

// registerVersions adds the series of what is in force here.
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
	for _, f := range n.followers {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "store_revision", Help: "Revision of the store up to which every change is known.",
			ConstLabels: prometheus.Labels{"prefix": f.prefix},
		}, func() float64 { return float64(f.mirror.Revision()) }))
	}
}

package routed

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"

	"github.com/basilroute/basilroute/state/mirror"
	"github.com/basilroute/basilroute/state/routes"
)

// newEntriesInstance returns an instance of a fleet in three regions with a configuration in force.
func newEntriesInstance() *Instance {
	settings := DefaultSettings()
	settings.ID, settings.Region, settings.Domain = "i", "r0", "d0"
	settings.Domains = map[string]string{"d0": "r0", "d1": "r1", "d2": "r2"}
	n := newInstance(settings, testSource{client: &memoryClient{store: newMemoryStore()}}, nil, slog.New(slog.DiscardHandler))
	n.routes.Offer(&routes.Config{Version: 1, Services: map[string]*routes.Service{"svc": {Name: "svc", Engine: &routes.Engine{Slots: 16}}}})
	return n
}

// entriesDelta returns the entries of all backend servers as the store lists them.
func entriesDelta(servers int) mirror.Delta {
	d := mirror.Delta{Full: true, Revision: int64(servers)}
	for i := range servers {
		d.Items = append(d.Items, mirror.Item{
			Key: fmt.Sprintf("servers/i-%08x", i*2654435761%(1<<32)), Value: testServerEntry(fmt.Sprint("d", i%3)), Revision: int64(i + 1),
		})
	}
	return d
}

// BenchmarkSizeEntries measures what the entries of all backend servers take of an instance's memory,
// and what is allocated to take them in.
func BenchmarkSizeEntries(b *testing.B) {
	for _, servers := range []int{1000, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprint("n=", servers), func(b *testing.B) {
			b.ReportAllocs()
			var held uint64
			for b.Loop() {
				n := newEntriesInstance()
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				n.applyDelta(n.servers, entriesDelta(servers), origin{source: sourceStore})
				runtime.GC()
				runtime.ReadMemStats(&after)
				held = after.HeapAlloc - before.HeapAlloc
				runtime.KeepAlive(n)
			}
			b.ReportMetric(float64(held)/1e6, "heap-MB")
		})
	}
}

// BenchmarkSizeEntryChange measures what an instance does when one entry of its region has changed.
func BenchmarkSizeEntryChange(b *testing.B) {
	for _, servers := range []int{1000, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprint("n=", servers), func(b *testing.B) {
			n := newEntriesInstance()
			all := entriesDelta(servers)
			n.applyDelta(n.servers, all, origin{source: sourceStore})
			b.ReportAllocs()
			revision := all.Revision
			for b.Loop() {
				item := all.Items[0]
				revision++
				item.Revision = revision
				item.Value = append(item.Value[:len(item.Value):len(item.Value)], byte('0'+revision%10))
				n.applyDelta(n.servers, mirror.Delta{After: revision - 1, Revision: revision, Items: []mirror.Item{item}}, origin{source: sourceStore})
				n.viewsSince(n.knownRevisions(), maxExchangeItemBytes)
			}
		})
	}
}

// BenchmarkSizeExchangeViews measures the answer to a peer that knows no entry yet, as at a start.
func BenchmarkSizeExchangeViews(b *testing.B) {
	for _, servers := range []int{1000, 3000, 10_000, 20_000} {
		b.Run(fmt.Sprint("n=", servers), func(b *testing.B) {
			n := newEntriesInstance()
			n.applyDelta(n.servers, entriesDelta(servers), origin{source: sourceStore})
			known := newEntriesInstance().knownRevisions()
			b.ReportAllocs()
			for b.Loop() {
				n.viewsSince(known, maxExchangeItemBytes)
			}
		})
	}
}

package servers

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var serverSizes = []int{20, 40, 80, 160}

func list(n int) []Identity {
	out := make([]Identity, n)
	for i := range n {
		out[i] = Identity{
			ID: fmt.Sprintf("suva-a-1-engine-%d", i), Service: "notice-writer", Version: "v1",
			Address: fmt.Sprintf("http://192.0.2.%d:8090", i), Region: "suva-a", Domain: "suva-a-1",
		}
	}
	return out
}

func heap() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkSizeDomainServerMemory measures the memory that the servers of the local
// failure domain use, which are the only ones an instance keeps.
func BenchmarkSizeDomainServerMemory(b *testing.B) {
	const tables = 100 // enough to exceed the noise of the heap size
	for _, n := range serverSizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				kept := make([]*Table, tables)
				for i := range kept {
					kept[i] = New()
					kept[i].Replace(list(n), time.Now())
				}
				b.ReportMetric((heap()-before)/tables, "heap-B")
				runtime.KeepAlive(kept)
			}
		})
	}
}

// BenchmarkSizeDomainServerList measures applying the platform's list.
func BenchmarkSizeDomainServerList(b *testing.B) {
	for _, n := range serverSizes {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			t, servers := New(), list(n)
			for b.Loop() {
				t.Replace(servers, time.Now())
			}
		})
	}
}

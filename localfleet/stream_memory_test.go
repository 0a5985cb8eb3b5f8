package localfleet

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/basilroute/basilroute/loadgen"
)

// memoryInUse returns the bytes of the live heap and the stacks.
func memoryInUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// holdStreams opens n streams, reads the start of the first line of each, and reports the
// memory in use while they are open.
func holdStreams(b *testing.B, n int, open openFunc) {
	const endless = 1 << 20 // tokens
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	transport := loadgen.NewTransport()
	defer transport.CloseIdleConnections()
	before := memoryInUse()
	lines := make([]*bufio.Reader, n)
	for i := range n {
		req, err := open(ctx, endless)
		if err != nil {
			b.Fatal(err)
		}
		resp, err := (&http.Client{Transport: transport}).Do(req)
		if err != nil {
			b.Fatal(err)
		}
		defer resp.Body.Close()
		lines[i] = bufio.NewReaderSize(resp.Body, 16)
		if _, err := lines[i].ReadSlice('{'); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(memoryInUse()-before, "held-B")
	runtime.KeepAlive(lines)
}

// BenchmarkSizeStreamMemory measures the memory of open streams in the whole process. Both
// variants include the engine and the reader; the difference is the instance's part.
// Use -benchtime 1x.
func BenchmarkSizeStreamMemory(b *testing.B) {
	f := startBench(b)
	for _, variant := range []struct {
		name string
		open openFunc
	}{{"via=direct", f.direct()}, {"via=gateway", f.viaInstance(f.localURL)}} {
		for _, n := range []int{50, 100, 200, 400} {
			b.Run(fmt.Sprintf("%s/n=%d", variant.name, n), func(b *testing.B) {
				for b.Loop() {
					holdStreams(b, n, variant.open)
				}
				b.StopTimer()
				time.Sleep(settleTime)
			})
		}
	}
}

// settleTime lets the streams of one run end before the next run is measured.
const settleTime = time.Second

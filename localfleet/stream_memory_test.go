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

// inUse returns the bytes of live heap and of stacks.
func inUse() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// holdStreams opens n streams, reads the first line of each and reports the
// memory that they hold while they are open.
func holdStreams(b *testing.B, n int, open openFunc) {
	const endless = 1 << 20 // tokens
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	transport := loadgen.NewTransport()
	defer transport.CloseIdleConnections()
	before := inUse()
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
	b.ReportMetric(inUse()-before, "held-B")
	runtime.KeepAlive(lines)
}

// BenchmarkSizeStreamMemory measures what open streams hold in the whole process:
// the engine's and the reader's side are in both variants, the difference is the
// instance's. Use -benchtime 1x.
func BenchmarkSizeStreamMemory(b *testing.B) {
	f := startBench(b)
	for _, variant := range []struct {
		name string
		open openFunc
	}{{"via=direct", f.direct()}, {"via=gateway", f.through(f.beside)}} {
		for _, n := range []int{50, 100, 200, 400} {
			b.Run(fmt.Sprintf("%s/n=%d", variant.name, n), func(b *testing.B) {
				for b.Loop() {
					holdStreams(b, n, variant.open)
				}
				b.StopTimer()
				time.Sleep(settle)
			})
		}
	}
}

// settle lets the streams of one run end before the next is measured.
const settle = time.Second

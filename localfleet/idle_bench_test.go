package localfleet

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/standin/engine"
)

// BenchmarkSizeIdleInstance reports the CPU time and memory of an instance without
// callers, by the number of instances: exchanges, polls of six engines per failure
// domain, slots and watches. The cost of the stand-ins is included. Use -benchtime 1x.
func BenchmarkSizeIdleInstance(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			f := startIdle(b, n)
			time.Sleep(idleSettle)
			cpu := cpuTime()
			for b.Loop() {
				time.Sleep(idleWindow)
			}
			used := cpuTime() - cpu
			perSecond := float64(used.Milliseconds()) / idleWindow.Seconds() / float64(b.N) / float64(n)
			b.ReportMetric(perSecond, "cpu-ms/s/instance")
			b.ReportMetric(memoryInUse()/float64(n), "live-B/instance")
			runtime.KeepAlive(f)
		})
	}
}

const (
	idleSettle = 3 * time.Second
	idleWindow = 8 * time.Second
)

func startIdle(b *testing.B, n int) *Fleet {
	b.Helper()
	f, err := Start(Config{
		Domains: []Domain{
			{Region: "here", Name: "here-1", Instances: n / 2, Engines: 6},
			{Region: "there", Name: "there-1", Instances: n / 2, Engines: 6},
		},
		ModelService: benchModel, Engine: engine.DefaultConfig(), Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(b.Context(), startLimit)
	defer cancel()
	for _, document := range []string{
		"kind: fleet\nname: fleet\nregions:\n  here: {domains: [here-1]}\n  there: {domains: [there-1]}\n",
		"kind: service\nname: bench-model\ntype: model\n",
	} {
		if err := f.Apply(ctx, document); err != nil {
			b.Fatal(err)
		}
	}
	if err := f.Await(ctx, func(i *instance.Instance) bool { return i.Ready() && i.Serves(benchModel) }); err != nil {
		b.Fatal(err)
	}
	return f
}

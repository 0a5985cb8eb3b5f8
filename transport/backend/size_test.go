package backend

import (
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/basilroute/basilroute/standin/engine"
)

// BenchmarkPoll reports the processor time of one poll of an engine, for its load
// and its cache events. The engine's own side is in it.
func BenchmarkPoll(b *testing.B) {
	e := engine.New(engine.DefaultConfig())
	defer e.Close()
	handler, err := e.Handler()
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	c := New()
	defer c.Close()
	before := cpuTime()
	for b.Loop() {
		if _, err := c.EngineLoad(b.Context(), server.URL, time.Now()); err != nil {
			b.Fatal(err)
		}
		if _, err := c.CacheEvents(b.Context(), server.URL, 0); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/poll")
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // cannot fail with these arguments
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

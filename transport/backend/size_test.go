package backend

import (
	"fmt"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/basilroute/basilroute/standin/engine"
)

// benchServers starts idle engines and returns their addresses.
func benchServers(b *testing.B, n int) []string {
	b.Helper()
	var urls []string
	for range n {
		e := engine.New(engine.DefaultConfig())
		b.Cleanup(e.Close)
		handler, err := e.Handler()
		if err != nil {
			b.Fatal(err)
		}
		server := httptest.NewServer(handler)
		b.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	return urls
}

// benchmarkByServerCount reports the processor time, client and servers together, of one call
// to each server, for several numbers of servers.
func benchmarkByServerCount(b *testing.B, call func(c *Client, url string) error) {
	for _, n := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			urls := benchServers(b, n)
			c := New()
			defer c.Close()
			before := cpuTime()
			for b.Loop() {
				for _, url := range urls {
					if err := call(c, url); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/round")
		})
	}
}

// BenchmarkSizeDomainServerPoll measures a round of polls for load and cache events.
func BenchmarkSizeDomainServerPoll(b *testing.B) {
	benchmarkByServerCount(b, func(c *Client, url string) error {
		if _, err := c.EngineLoad(b.Context(), url, time.Now()); err != nil {
			return err
		}
		_, err := c.CacheEvents(b.Context(), url, 0)
		return err
	})
}

// BenchmarkSizeDomainServerOrders measures a round in which an issuer of orders reads back
// the order that every engine has applied.
func BenchmarkSizeDomainServerOrders(b *testing.B) {
	benchmarkByServerCount(b, func(c *Client, url string) error {
		_, err := c.EngineState(b.Context(), url)
		return err
	})
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage) // cannot fail with these arguments
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

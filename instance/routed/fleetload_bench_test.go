package routed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/basilroute/basilroute/state/routes"
)

const (
	wideLink     = 1e9 / 8 // bytes per second
	loadAccounts = 19
	loadRate     = 4.0 // requests per second and instance
	// loadTokens is what the largest kind of request costs; most others cost a fiftieth of it or less.
	loadTokens   = 9300
	loadQuota    = 1.8 // ratio of an account's rate to what its callers request
	minQuota     = 29000.0
	burstTime    = 2.0 // seconds of its rate that an account may accumulate
	loadDuration = 5 * time.Second
	settleTime   = 8 * time.Second
)

// loadKinds are the requests' costs in tokens with their fractions of all requests.
var loadKinds = []struct{ fraction, tokens float64 }{{0.38, loadTokens}, {0.36, 1100}, {0.26, 200}}

// loadWeights returns the accounts' fractions of all requests: a few are large.
func loadWeights() []float64 {
	out, total := make([]float64, loadAccounts), 0.0
	for i := range out {
		out[i] = 1 / float64(i+1)
		total += out[i]
	}
	for i := range out {
		out[i] /= total
	}
	return out
}

// loadConfig returns the accounts of a fleet of the given size.
func loadConfig(instances int) map[string]*routes.Account {
	mean := 0.0
	for _, kind := range loadKinds {
		mean += kind.fraction * kind.tokens
	}
	out := make(map[string]*routes.Account)
	for i, weight := range loadWeights() {
		rate := max(minQuota, loadQuota*weight*mean*loadRate*float64(instances))
		name := fmt.Sprint("account-", i)
		out[name] = &routes.Account{Name: name, Rate: rate, Burst: burstTime * rate, CountTokens: true, Priority: -1}
	}
	return out
}

func drawAccount(weights []float64, rng *rand.Rand) string {
	at := rng.Float64()
	for i, weight := range weights {
		if at -= weight; at < 0 {
			return fmt.Sprint("account-", i)
		}
	}
	return "account-0"
}

func drawTokens(rng *rand.Rand) float64 {
	at := rng.Float64()
	for _, kind := range loadKinds {
		if at -= kind.fraction; at < 0 {
			return kind.tokens
		}
	}
	return loadKinds[0].tokens
}

// fleetCalls counts the calls between instances.
type fleetCalls struct{ exchanges, borrows atomic.Int64 }

func (c *fleetCalls) intercept(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn,
	invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	switch {
	case strings.HasSuffix(method, "/Exchange"):
		c.exchanges.Add(1)
	case strings.HasSuffix(method, "/Borrow"):
		c.borrows.Add(1)
	}
	return invoke(ctx, method, req, reply, conn, options...)
}

// admissions counts the requests for tokens and their outcomes.
type admissions struct{ asked, refused, waited atomic.Int64 }

// offer requests tokens from an instance as its callers do, until ctx ends.
func (a *admissions) offer(ctx context.Context, n *Instance, rng *rand.Rand, rate float64) {
	weights := loadWeights()
	var waiting sync.WaitGroup
	defer waiting.Wait()
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second)))
		name, tokens, now := drawAccount(weights, rng), drawTokens(rng), time.Now()
		a.asked.Add(1)
		if _, ok := n.ledger.Admit(name, tokens, now); ok {
			continue
		}
		a.waited.Add(1)
		waiter := n.ledger.Wait(name, tokens, 400*time.Millisecond, now)
		waiting.Go(func() {
			if decision := <-waiter.Done; !decision.OK {
				a.refused.Add(1)
			}
		})
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSizeFleetLoad measures what an instance spends on communication with the others
// while callers request tokens.
func BenchmarkSizeFleetLoad(b *testing.B) {
	for _, size := range []int{24, 48, 96, 192} {
		b.Run(fmt.Sprint("n=", size), func(b *testing.B) {
			for b.Loop() {
				fleetLoad(b, size)
			}
		})
	}
}

func fleetLoad(b *testing.B, size int) {
	var calls fleetCalls
	f := newLoadFleet(b, size, &calls)
	defer f.stop()
	time.Sleep(settleTime)
	idle, idleCalls := processorTime(), calls.exchanges.Load()
	time.Sleep(loadDuration)
	idle, idleCalls = processorTime()-idle, calls.exchanges.Load()-idleCalls
	began, exchanges, borrows := processorTime(), calls.exchanges.Load(), calls.borrows.Load()
	ctx, stop := context.WithTimeout(context.Background(), loadDuration)
	defer stop()
	var a admissions
	var callers sync.WaitGroup
	for i, n := range f.instances {
		callers.Go(func() { a.offer(ctx, n, rand.New(rand.NewPCG(1, uint64(i))), loadRate) })
	}
	callers.Wait()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/float64(size)/1e6, "heap-MB")
	seconds := float64(size) * loadDuration.Seconds()
	b.ReportMetric(idle.Seconds()*1000/seconds, "idle-ms/s")
	b.ReportMetric(float64(idleCalls)/seconds, "idle-exchanges/s")
	b.ReportMetric((processorTime()-began).Seconds()*1000/seconds, "ms/s")
	b.ReportMetric(float64(calls.exchanges.Load()-exchanges)/seconds, "exchanges/s")
	b.ReportMetric(float64(calls.borrows.Load()-borrows)/seconds, "borrows/s")
	b.ReportMetric(100*float64(a.refused.Load())/float64(a.asked.Load()), "%refused")
	b.ReportMetric(100*float64(a.waited.Load())/float64(a.asked.Load()), "%waited")
}

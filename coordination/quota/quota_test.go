package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/service"
)

func acme(rate, burst float64, shares map[string]int64) *service.Account {
	return &service.Account{Name: "acme", Rate: rate, Burst: burst, Shares: shares}
}

// clockError is the factor by which clocks that run 0.4% fast raise a rate, with a margin.
const clockError = 1.005

// Guards against windows in which an account gets more than rate*T + burst.
// Instances admit, settle with refunds, and lend to each other over a network that
// loses and delays messages; slots move between instances and shares between
// domains. The checker only sees what was admitted and when.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(50, 500).Draw(t, "rate")
		burst := rate * rapid.Float64Range(0.2, 10).Draw(t, "seconds")
		shares := func(name string) map[string]int64 {
			return map[string]int64{"d0": rapid.Int64Range(0, 3).Draw(t, name+"0"), "d1": rapid.Int64Range(1, 3).Draw(t, name+"1")}
		}
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "nodes"), acme(rate, burst, shares("first")))
		sim.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		sim.lateRate = rapid.Float64Range(0, 0.2).Draw(t, "late")
		move := rapid.Float64Range(0, 0.02).Draw(t, "move")
		load := rapid.Float64Range(0.2, 10).Draw(t, "load")
		next := acme(rate, burst, shares("second"))
		changeAt := time.Duration(rapid.IntRange(1, 12).Draw(t, "changeAt")) * time.Second
		for _, s := range sim.slots {
			sim.moveSlot(s)
		}
		sim.run(25*time.Second, func() {
			for _, s := range sim.slots {
				if s.freeAt != 0 || sim.rng.Float64() < move {
					sim.moveSlot(s)
				}
			}
			if sim.now == changeAt {
				sim.change(next)
			}
			sim.acknowledge()
			sim.offer(load*rate*tick.Seconds(), burst)
		})
		if over := sim.overshoot(rate*clockError, burst); over > 1e-6*burst {
			t.Fatalf("a window exceeds the bound by %.3f tokens (rate %.1f, burst %.1f)", over, rate, burst)
		}
	})
}

// offer sends requests of the given tokens in total to one instance. It sends nothing
// for five seconds in every fifteen, so that buckets fill up.
func (sim *simulation) offer(tokens, burst float64) {
	if sim.now/(5*time.Second)%3 == 2 {
		return
	}
	n := sim.instances[sim.rng.IntN(len(sim.instances))]
	for tokens > 0 {
		size := min(burst, 1+sim.rng.Float64()*burst/4)
		sim.request(n, size, size*sim.rng.Float64(), time.Duration(sim.rng.IntN(int(8*time.Second))))
		tokens -= size
	}
}

// change delivers a document to each instance at a different time. Shares may grow
// only after all have received it.
func (sim *simulation) change(doc *service.Account) {
	sim.revision++
	revision := sim.revision
	for _, n := range sim.instances {
		sim.after(time.Duration(sim.rng.IntN(int(4*time.Second))), func() { sim.deliver(n, doc, revision) })
	}
}

func (sim *simulation) acknowledge() {
	oldest := sim.revision
	for _, n := range sim.instances {
		oldest = min(oldest, n.docRevision)
	}
	for _, n := range sim.instances {
		n.ledger.Acknowledged(oldest, n.clock(sim.now))
	}
}

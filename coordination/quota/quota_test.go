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
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "nodes"), acme(rate, burst, shares("first")))
		w.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		w.lateRate = rapid.Float64Range(0, 0.2).Draw(t, "late")
		move := rapid.Float64Range(0, 0.02).Draw(t, "move")
		load := rapid.Float64Range(0.2, 10).Draw(t, "load")
		next := acme(rate, burst, shares("second"))
		changeAt := time.Duration(rapid.IntRange(1, 12).Draw(t, "changeAt")) * time.Second
		for _, s := range w.slots {
			w.moveSlot(s)
		}
		w.run(25*time.Second, func() {
			for _, s := range w.slots {
				if s.freeAt != 0 || w.rng.Float64() < move {
					w.moveSlot(s)
				}
			}
			if w.now == changeAt {
				w.change(next)
			}
			w.acknowledge()
			w.offer(load*rate*tick.Seconds(), burst)
		})
		if over := w.overshoot(rate*clockError, burst); over > 1e-6*burst {
			t.Fatalf("a window exceeds the bound by %.3f tokens (rate %.1f, burst %.1f)", over, rate, burst)
		}
	})
}

// offer sends requests of the given tokens in total to one instance. It sends nothing
// for five seconds in every fifteen, so that buckets fill up.
func (w *simulation) offer(tokens, burst float64) {
	if w.now/(5*time.Second)%3 == 2 {
		return
	}
	n := w.instances[w.rng.IntN(len(w.instances))]
	for tokens > 0 {
		size := min(burst, 1+w.rng.Float64()*burst/4)
		w.request(n, size, size*w.rng.Float64(), time.Duration(w.rng.IntN(int(8*time.Second))))
		tokens -= size
	}
}

// change delivers a document to each instance at a different time. Shares may grow
// only after all have received it.
func (w *simulation) change(doc *service.Account) {
	w.revision++
	revision := w.revision
	for _, n := range w.instances {
		w.after(time.Duration(w.rng.IntN(int(4*time.Second))), func() { w.deliver(n, doc, revision) })
	}
}

func (w *simulation) acknowledge() {
	oldest := w.revision
	for _, n := range w.instances {
		oldest = min(oldest, n.docRevision)
	}
	for _, n := range w.instances {
		n.ledger.Acknowledged(oldest, n.clock(w.now))
	}
}

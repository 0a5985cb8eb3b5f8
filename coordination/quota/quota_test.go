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

// clockError is what clocks that run 0.4% fast add to a rate.
const clockError = 1.005

// A client account that gets more than rate*T + burst in some window starves the
// others. Instances admit and settle with refunds, lend to each other over a
// network that loses and delays, crash, restart, and slots move between them;
// shares move between domains. The checker only sees what was admitted and when.
func TestNoWindowExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(50, 500).Draw(t, "rate")
		burst := rate * rapid.Float64Range(0.2, 10).Draw(t, "seconds")
		shares := func(name string) map[string]int64 {
			return map[string]int64{"d0": rapid.Int64Range(0, 3).Draw(t, name+"0"), "d1": rapid.Int64Range(1, 3).Draw(t, name+"1")}
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 6).Draw(t, "nodes"), acme(rate, burst, shares("first")))
		w.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		w.late = rapid.Float64Range(0, 0.2).Draw(t, "late")
		move := rapid.Float64Range(0, 0.02).Draw(t, "move")
		load := rapid.Float64Range(0.2, 10).Draw(t, "load")
		next := acme(rate, burst, shares("second"))
		changeAt := time.Duration(rapid.IntRange(1, 12).Draw(t, "changeAt")) * time.Second
		for _, s := range w.slots {
			w.moveSlot(s)
		}
		w.run(25*time.Second, func() {
			for _, s := range w.slots {
				if s.free != 0 || w.rng.Float64() < move {
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

// offer sends requests worth some tokens to one instance, now and then with long
// pauses so that buckets fill up.
func (w *world) offer(tokens, burst float64) {
	if w.now/(5*time.Second)%3 == 2 {
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	for tokens > 0 {
		size := min(burst, 1+w.rng.Float64()*burst/4)
		w.request(n, size, size*w.rng.Float64(), time.Duration(w.rng.IntN(int(8*time.Second))))
		tokens -= size
	}
}

// change lets each instance learn a document at another time; shares may grow
// only when all have.
func (w *world) change(doc *service.Account) {
	w.revision++
	revision := w.revision
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.IntN(int(4*time.Second))), func() { w.learn(n, doc, revision) })
	}
}

func (w *world) acknowledge() {
	oldest := w.revision
	for _, n := range w.nodes {
		oldest = min(oldest, n.known)
	}
	for _, n := range w.nodes {
		n.ledger.Acknowledged(oldest, n.clock(w.now))
	}
}

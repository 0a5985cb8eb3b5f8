package slots

import (
	"math/rand/v2"
	"slices"
	"time"
)

const tick = 20 * time.Millisecond

// faults are probabilities, each for one message or for one member and tick.
type faults struct {
	lose, pause, crash, cut, cutStore float64
	drift                             float64 // largest error of a clock's rate
}

// node is a member with its own clock.
type node struct {
	m           *Machine
	id          Member
	rate        float64
	offset      time.Duration
	pausedUntil time.Duration
	cutUntil    time.Duration // from the other members
	storeCut    time.Duration // from the store until then
	dead        bool
}

type event struct {
	at time.Duration
	do func()
}

// world is a fake store and a fake network that lose, delay and reorder.
type world struct {
	rng      *rand.Rand
	faults   faults
	settings Settings
	now      time.Duration // true time
	nodes    []*node
	store    map[int]Entry
	revision int64
	events   []event
	restarts uint64
}

var origin = time.Unix(1_000_000, 0)

func newWorld(seed uint64, members int, settings Settings, f faults) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, settings: settings, store: make(map[int]Entry)}
	for i := range members {
		w.nodes = append(w.nodes, w.start(string(rune('a'+i))))
	}
	return w
}

func (w *world) start(id string) *node {
	w.restarts++
	member := Member{ID: id, Incarnation: w.restarts}
	return &node{
		m: New(member, w.settings), id: member,
		rate: 1 + w.faults.drift*(2*w.rng.Float64()-1), offset: time.Duration(w.rng.IntN(1e9)),
	}
}

func (n *node) clock(now time.Duration) time.Time {
	return origin.Add(n.offset + time.Duration(float64(now)*n.rate))
}

func (w *world) hit(p float64) bool { return w.rng.Float64() < p }

// delay is mostly short and now and then longer than a promise.
func (w *world) delay() time.Duration {
	if w.hit(0.05) {
		return time.Duration(w.rng.IntN(int(2 * w.settings.Promise)))
	}
	return time.Duration(w.rng.IntN(int(60 * time.Millisecond)))
}

// send runs do at n after a delay, unless lost. A paused receiver gets it late.
func (w *world) send(lost bool, n *node, do func()) {
	if lost || w.hit(w.faults.lose) {
		return
	}
	w.at(w.now+w.delay(), n, do)
}

func (w *world) at(at time.Duration, n *node, do func()) {
	w.events = append(w.events, event{at, func() {
		switch {
		case n != nil && n.dead:
		case n != nil && w.now < n.pausedUntil:
			w.at(n.pausedUntil, n, do)
		default:
			do()
		}
	}})
}

func (w *world) run(until time.Duration, check func()) {
	for ; w.now < until; w.now += tick {
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at <= w.now {
				e.do()
			} else {
				w.events = append(w.events, e)
			}
		}
		for i := range w.nodes {
			w.disturb(i)
			w.step(w.nodes[i])
		}
		check()
	}
}

func (w *world) disturb(i int) {
	n := w.nodes[i]
	long := func() time.Duration {
		return w.now + time.Duration(w.rng.IntN(int(2*w.settings.Lease+w.settings.Promise)))
	}
	if w.hit(w.faults.crash) {
		n.dead = true
		w.nodes[i] = w.start(n.id.ID)
		return
	}
	if w.hit(w.faults.pause) {
		n.pausedUntil = long()
	}
	if w.hit(w.faults.cut) {
		n.cutUntil = long()
	}
	if w.hit(w.faults.cutStore) {
		n.storeCut = long() + w.settings.Lease
	}
}

func (w *world) step(n *node) {
	if w.now < n.pausedUntil {
		return
	}
	now := n.clock(w.now)
	if w.hit(0.2) {
		w.read(n)
		var live []Member
		for _, other := range w.nodes {
			if !other.m.leaving {
				live = append(live, other.id)
			}
		}
		n.m.SetLive(live, now)
	}
	actions := n.m.Step(now)
	for _, write := range actions.Writes {
		w.write(n, write)
	}
	for _, ask := range actions.Requests {
		w.ask(n, ask)
	}
}

func (w *world) read(n *node) {
	if w.now < n.storeCut {
		return
	}
	entries := make(map[int]Entry, len(w.store))
	for k, v := range w.store {
		entries[k] = v
	}
	w.send(false, n, func() { n.m.Observe(entries, n.clock(w.now)) })
}

// write reaches the store after a delay or never; its answer may be lost, and the
// writer then hears that the outcome is unknown while the write may be under way.
func (w *world) write(n *node, write Write) {
	answered := false
	answer := func(outcome Outcome, revision int64) func() {
		return func() {
			if !answered {
				answered = true
				n.m.WriteDone(write, outcome, revision, n.clock(w.now))
			}
		}
	}
	w.at(w.now+300*time.Millisecond, n, answer(Unknown, 0))
	w.send(w.now < n.storeCut, nil, func() {
		outcome, revision := w.put(write)
		w.send(w.now < n.storeCut, n, answer(outcome, revision))
	})
}

func (w *world) put(write Write) (Outcome, int64) {
	if w.store[write.Slot].Revision != write.Expect {
		return Conflict, 0
	}
	w.revision++
	w.store[write.Slot] = Entry{Revision: w.revision, Record: write.Record}
	return Written, w.revision
}

func (w *world) ask(from *node, a Request) {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id.ID == a.To.ID })
	if i < 0 {
		return
	}
	to := w.nodes[i]
	cut := w.now < from.cutUntil || w.now < to.cutUntil
	w.send(cut, to, func() {
		now := to.clock(w.now)
		if a.Consent {
			if _, ok := to.m.HandleConsentRequest(a.Slot, a.Seq, now); ok {
				w.send(cut, from, func() { from.m.RecordConsent(a, to.id) })
			}
			return
		}
		if valid := to.m.HandlePromiseRequest(a.Slot, a.Seq, now); valid > 0 {
			w.send(cut, from, func() { from.m.RecordPromise(a, to.id, valid) })
		}
	})
}

// holders returns who may mint for a slot at this instant. A crashed member's
// last grant does not count: it admits nothing.
func (w *world) holders(slot int) []Member {
	var out []Member
	for _, n := range w.nodes {
		if slices.ContainsFunc(n.m.HeldSlots(n.clock(w.now)), func(h HeldSlot) bool { return h.Slot == slot }) {
			out = append(out, n.id)
		}
	}
	return out
}

package slots

import (
	"math/rand/v2"
	"slices"
	"time"
)

const tick = 20 * time.Millisecond

// faults are probabilities, each for one message or for one member in one tick.
type faults struct {
	lose, pause, crash, cut, cutStore float64
	drift                             float64 // maximum error of a clock's rate
}

// testMember is a member with its own clock.
type testMember struct {
	machine       *Machine
	id            Member
	clockRate     float64
	clockOffset   time.Duration
	pausedUntil   time.Duration
	cutUntil      time.Duration // when the connection to the other members is restored
	storeCutUntil time.Duration // when the connection to the store is restored
	dead          bool
}

type event struct {
	at time.Duration
	do func()
}

// simulation connects members by a fake store and a fake network that lose, delay and
// reorder messages.
type simulation struct {
	rng          *rand.Rand
	faults       faults
	settings     Settings
	now          time.Duration // true time
	testMembers  []*testMember
	store        map[int]Entry
	revision     int64
	events       []event
	incarnations uint64
}

var origin = time.Unix(1_000_000, 0)

func newSimulation(seed uint64, members int, settings Settings, f faults) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, settings: settings, store: make(map[int]Entry)}
	for i := range members {
		w.testMembers = append(w.testMembers, w.newMember(string(rune('a'+i))))
	}
	return w
}

func (w *simulation) newMember(id string) *testMember {
	w.incarnations++
	member := Member{ID: id, Incarnation: w.incarnations}
	return &testMember{
		machine: New(member, w.settings), id: member,
		clockRate: 1 + w.faults.drift*(2*w.rng.Float64()-1), clockOffset: time.Duration(w.rng.IntN(1e9)),
	}
}

func (n *testMember) clock(now time.Duration) time.Time {
	return origin.Add(n.clockOffset + time.Duration(float64(now)*n.clockRate))
}

func (w *simulation) chance(p float64) bool { return w.rng.Float64() < p }

// delay returns the delay of a message: mostly short, in one of twenty up to two promises long.
func (w *simulation) delay() time.Duration {
	if w.chance(0.05) {
		return time.Duration(w.rng.IntN(int(2 * w.settings.Promise)))
	}
	return time.Duration(w.rng.IntN(int(60 * time.Millisecond)))
}

// send runs do at n after a delay, unless the message is lost. A paused receiver handles it
// when it resumes.
func (w *simulation) send(lost bool, n *testMember, do func()) {
	if lost || w.chance(w.faults.lose) {
		return
	}
	w.at(w.now+w.delay(), n, do)
}

func (w *simulation) at(at time.Duration, n *testMember, do func()) {
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

func (w *simulation) run(until time.Duration, check func()) {
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
		for i := range w.testMembers {
			w.injectFaults(i)
			w.step(w.testMembers[i])
		}
		check()
	}
}

func (w *simulation) injectFaults(i int) {
	n := w.testMembers[i]
	long := func() time.Duration {
		return w.now + time.Duration(w.rng.IntN(int(2*w.settings.Lease+w.settings.Promise)))
	}
	if w.chance(w.faults.crash) {
		n.dead = true
		w.testMembers[i] = w.newMember(n.id.ID)
		return
	}
	if w.chance(w.faults.pause) {
		n.pausedUntil = long()
	}
	if w.chance(w.faults.cut) {
		n.cutUntil = long()
	}
	if w.chance(w.faults.cutStore) {
		n.storeCutUntil = long() + w.settings.Lease
	}
}

func (w *simulation) step(n *testMember) {
	if w.now < n.pausedUntil {
		return
	}
	now := n.clock(w.now)
	if w.chance(0.2) {
		w.read(n)
		var live []Member
		for _, other := range w.testMembers {
			if !other.machine.leaving {
				live = append(live, other.id)
			}
		}
		n.machine.SetLive(live, now)
	}
	actions := n.machine.Step(now)
	for _, write := range actions.Writes {
		w.write(n, write)
	}
	for _, ask := range actions.Requests {
		w.ask(n, ask)
	}
}

func (w *simulation) read(n *testMember) {
	if w.now < n.storeCutUntil {
		return
	}
	entries := make(map[int]Entry, len(w.store))
	for k, v := range w.store {
		entries[k] = v
	}
	w.send(false, n, func() { n.machine.Observe(entries, n.clock(w.now)) })
}

// write sends a write to the store, where it arrives after a delay or never. If there is
// no answer within 300 ms the writer records an unknown outcome, while the write may still
// be under way.
func (w *simulation) write(n *testMember, write Write) {
	answered := false
	answer := func(outcome Outcome, revision int64) func() {
		return func() {
			if !answered {
				answered = true
				n.machine.WriteDone(write, outcome, revision, n.clock(w.now))
			}
		}
	}
	w.at(w.now+300*time.Millisecond, n, answer(Unknown, 0))
	w.send(w.now < n.storeCutUntil, nil, func() {
		outcome, revision := w.put(write)
		w.send(w.now < n.storeCutUntil, n, answer(outcome, revision))
	})
}

func (w *simulation) put(write Write) (Outcome, int64) {
	if w.store[write.Slot].Revision != write.Expect {
		return Conflict, 0
	}
	w.revision++
	w.store[write.Slot] = Entry{Revision: w.revision, Record: write.Record}
	return Written, w.revision
}

func (w *simulation) ask(from *testMember, a Request) {
	i := slices.IndexFunc(w.testMembers, func(n *testMember) bool { return n.id.ID == a.To.ID })
	if i < 0 {
		return
	}
	to := w.testMembers[i]
	cut := w.now < from.cutUntil || w.now < to.cutUntil
	w.send(cut, to, func() {
		now := to.clock(w.now)
		if a.Consent {
			if _, ok := to.machine.HandleConsentRequest(a.Slot, a.Seq, now); ok {
				w.send(cut, from, func() { from.machine.RecordConsent(a, to.id) })
			}
			return
		}
		if valid := to.machine.HandlePromiseRequest(a.Slot, a.Seq, now); valid > 0 {
			w.send(cut, from, func() { from.machine.RecordPromise(a, to.id, valid) })
		}
	})
}

// holders returns the members that may mint for a slot at this instant, without crashed
// ones, which admit nothing.
func (w *simulation) holders(slot int) []Member {
	var out []Member
	for _, n := range w.testMembers {
		if slices.ContainsFunc(n.machine.HeldSlots(n.clock(w.now)), func(h HeldSlot) bool { return h.Slot == slot }) {
			out = append(out, n.id)
		}
	}
	return out
}

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
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, settings: settings, store: make(map[int]Entry)}
	for i := range members {
		sim.testMembers = append(sim.testMembers, sim.newMember(string(rune('a'+i))))
	}
	return sim
}

func (sim *simulation) newMember(id string) *testMember {
	sim.incarnations++
	member := Member{ID: id, Incarnation: sim.incarnations}
	return &testMember{
		machine: New(member, sim.settings), id: member,
		clockRate: 1 + sim.faults.drift*(2*sim.rng.Float64()-1), clockOffset: time.Duration(sim.rng.IntN(1e9)),
	}
}

func (n *testMember) clock(now time.Duration) time.Time {
	return origin.Add(n.clockOffset + time.Duration(float64(now)*n.clockRate))
}

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// delay returns the delay of a message: mostly short, in one of twenty up to two promises long.
func (sim *simulation) delay() time.Duration {
	if sim.chance(0.05) {
		return time.Duration(sim.rng.IntN(int(2 * sim.settings.Promise)))
	}
	return time.Duration(sim.rng.IntN(int(60 * time.Millisecond)))
}

// send runs do at n after a delay, unless the message is lost. A paused receiver handles it
// when it resumes.
func (sim *simulation) send(lost bool, n *testMember, do func()) {
	if lost || sim.chance(sim.faults.lose) {
		return
	}
	sim.at(sim.now+sim.delay(), n, do)
}

func (sim *simulation) at(at time.Duration, n *testMember, do func()) {
	sim.events = append(sim.events, event{at, func() {
		switch {
		case n != nil && n.dead:
		case n != nil && sim.now < n.pausedUntil:
			sim.at(n.pausedUntil, n, do)
		default:
			do()
		}
	}})
}

func (sim *simulation) run(until time.Duration, check func()) {
	for ; sim.now < until; sim.now += tick {
		due := sim.events
		sim.events = nil
		for _, e := range due {
			if e.at <= sim.now {
				e.do()
			} else {
				sim.events = append(sim.events, e)
			}
		}
		for i := range sim.testMembers {
			sim.injectFaults(i)
			sim.step(sim.testMembers[i])
		}
		check()
	}
}

func (sim *simulation) injectFaults(i int) {
	n := sim.testMembers[i]
	long := func() time.Duration {
		return sim.now + time.Duration(sim.rng.IntN(int(2*sim.settings.Lease+sim.settings.Promise)))
	}
	if sim.chance(sim.faults.crash) {
		n.dead = true
		sim.testMembers[i] = sim.newMember(n.id.ID)
		return
	}
	if sim.chance(sim.faults.pause) {
		n.pausedUntil = long()
	}
	if sim.chance(sim.faults.cut) {
		n.cutUntil = long()
	}
	if sim.chance(sim.faults.cutStore) {
		n.storeCutUntil = long() + sim.settings.Lease
	}
}

func (sim *simulation) step(n *testMember) {
	if sim.now < n.pausedUntil {
		return
	}
	now := n.clock(sim.now)
	if sim.chance(0.2) {
		sim.read(n)
		var live []Member
		for _, other := range sim.testMembers {
			if !other.machine.leaving {
				live = append(live, other.id)
			}
		}
		n.machine.SetLive(live, now)
	}
	actions := n.machine.Step(now)
	for _, write := range actions.Writes {
		sim.write(n, write)
	}
	for _, ask := range actions.Requests {
		sim.ask(n, ask)
	}
}

func (sim *simulation) read(n *testMember) {
	if sim.now < n.storeCutUntil {
		return
	}
	entries := make(map[int]Entry, len(sim.store))
	for k, v := range sim.store {
		entries[k] = v
	}
	sim.send(false, n, func() { n.machine.Observe(entries, n.clock(sim.now)) })
}

// write sends a write to the store, where it arrives after a delay or never. If there is
// no answer within 300 ms the writer records an unknown outcome, while the write may still
// be under way.
func (sim *simulation) write(n *testMember, write Write) {
	answered := false
	answer := func(outcome Outcome, revision int64) func() {
		return func() {
			if !answered {
				answered = true
				n.machine.WriteDone(write, outcome, revision, n.clock(sim.now))
			}
		}
	}
	sim.at(sim.now+300*time.Millisecond, n, answer(Unknown, 0))
	sim.send(sim.now < n.storeCutUntil, nil, func() {
		outcome, revision := sim.put(write)
		sim.send(sim.now < n.storeCutUntil, n, answer(outcome, revision))
	})
}

func (sim *simulation) put(write Write) (Outcome, int64) {
	if sim.store[write.Slot].Revision != write.Expect {
		return Conflict, 0
	}
	sim.revision++
	sim.store[write.Slot] = Entry{Revision: sim.revision, Record: write.Record}
	return Written, sim.revision
}

func (sim *simulation) ask(from *testMember, a Request) {
	i := slices.IndexFunc(sim.testMembers, func(n *testMember) bool { return n.id.ID == a.To.ID })
	if i < 0 {
		return
	}
	to := sim.testMembers[i]
	cut := sim.now < from.cutUntil || sim.now < to.cutUntil
	sim.send(cut, to, func() {
		now := to.clock(sim.now)
		if a.Consent {
			if _, ok := to.machine.HandleConsentRequest(a.Slot, a.Seq, now); ok {
				sim.send(cut, from, func() { from.machine.RecordConsent(a, to.id) })
			}
			return
		}
		if valid := to.machine.HandlePromiseRequest(a.Slot, a.Seq, now); valid > 0 {
			sim.send(cut, from, func() { from.machine.RecordPromise(a, to.id, valid) })
		}
	})
}

// holders returns the members that may mint for a slot at this instant, without crashed
// ones, which admit nothing.
func (sim *simulation) holders(slot int) []Member {
	var out []Member
	for _, n := range sim.testMembers {
		if slices.ContainsFunc(n.machine.HeldSlots(n.clock(sim.now)), func(h HeldSlot) bool { return h.Slot == slot }) {
			out = append(out, n.id)
		}
	}
	return out
}

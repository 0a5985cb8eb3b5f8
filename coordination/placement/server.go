package placement

import (
	"math"
	"time"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
)

const (
	urgencies = 10 // classes of urgency that are told apart

	// paceWeight is the weight of a new measurement in a server's pace.
	paceWeight = 0.15
	minPace    = 0.5
	maxPace    = 8.0
	// excessHalfLife is how fast a wait that nobody expected is forgotten, in seconds.
	excessHalfLife = 0.7
	// failureWeight is the weight of a new outcome in a server's share of failures: the
	// last dozen count.
	failureWeight = 0.2
	// failureLimit is the share of failures from which a server is set aside: above
	// that of servers that lose one answer in twenty, below half of what a failing one
	// shows. Errors of a plain service's own do not count.
	failureLimit = 0.4
	// refusedFailure is how much of a failure a server's refusal is: it is full or
	// leaves, and says so in time.
	refusedFailure = 0.4
	// leastOutcomes before a server is judged.
	leastOutcomes = 4
	// soundOutcomes is how many requests in a row a server that was set aside has to serve.
	// One that fails half of its requests does so once in sixty tries.
	soundOutcomes = 6
	// minAside and maxAside bound the first time and the longest for which a server is
	// set aside at which nothing listens: it starts again within seconds.
	minAside = 700 * time.Millisecond
	maxAside = 5 * time.Second
	// failingAside is how long one is set aside that fails a part of its requests. It
	// comes back before when probes succeed; some twenty of them fit in, of which six in a
	// row have to. With the times of minAside it came back by
	// itself every second or two, was the emptiest server of its region, and every
	// instance sent it requests of which half were lost, also such as may not be repeated.
	failingAside = 8 * time.Second
	probeEvery   = 400 * time.Millisecond // between requests to a server that is set aside
)

// server is what one instance knows of a backend server in one lifetime.
type server struct {
	backends.Entry
	hash uint64 // of the id

	inFlight int
	pending  [urgencies]float64 // prompt tokens of requests whose first byte has not come
	peers    peerTotals
	steps    steps
	reading  map[*Placement]*reading
	slowness float64 // its pauses over those of all servers, with prompts of the same size

	others     float64 // requests of other instances, by the last report
	waiting    float64 // requests that had not begun, by the last report
	reportedAt time.Time

	pace       float64 // measured over expected time
	extra      float64 // seconds that the last requests waited beyond what was expected
	extraAt    time.Time
	newServed  int // since the last digest, as failed and down
	newFailed  int
	newDown    bool
	failures   float64 // share of failures
	outcomes   int
	sound      int // requests served since the last failure
	asideUntil time.Time
	asideFor   time.Duration
	probedAt   time.Time
	down       bool // nothing listens there
	coldNext   time.Time
	cache      *cache
}

func newServer() *server {
	return &server{pace: 1, slowness: 1, cache: newCache(), reading: make(map[*Placement]*reading)}
}

func urgencyIndex(urgency int) int { return min(max(urgency, 0), urgencies-1) }

// pendingOf returns the prompt tokens that are read before a request of an urgency.
func (s *server) pendingOf(urgency int) float64 {
	total := 0.0
	for i := 0; i <= urgencyIndex(urgency); i++ {
		total += s.pending[i]
	}
	return total
}

func (s *server) allPending() float64 { return s.pendingOf(urgencies - 1) }

func (s *server) addPending(urgency int, tokens float64) {
	i := urgencyIndex(urgency)
	s.pending[i] = max(s.pending[i]+tokens, 0)
}

// excess is what answers took beyond what was expected, which fades.
func (s *server) excess(now time.Time) float64 {
	return s.extra * math.Exp2(-now.Sub(s.extraAt).Seconds()/excessHalfLife)
}

func (s *server) probeDue(now time.Time) bool {
	return now.Sub(s.probedAt) >= probeEvery && now.Sub(s.asideUntil.Add(-s.asideFor)) >= minAside/2
}

// ReportedLoad is what a server said of its load in an answer.
type ReportedLoad struct{ Running, Waiting, Slots int }

// Outcome says how a request ended at its server.
type Outcome int

// Outcomes.
const (
	OutcomeServed    Outcome = iota
	OutcomeRefused           // the server said that it did not run the request
	OutcomeFailed            // broke off, hung, or answered with what is no answer
	OutcomeDown              // nothing listens there
	OutcomeErrorCode         // a whole answer with an error status of the server
	OutcomeCancelled         // given up here: says nothing of the server
)

// RecordLoad takes in the load that a server gave with an answer.
func (p *Pool) RecordLoad(pl *Placement, l ReportedLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := pl.server
	s.others = max(float64(l.Running+l.Waiting-s.inFlight), 0)
	s.waiting = float64(l.Waiting)
	s.reportedAt = now
	if l.Slots > 0 && s.Slots == 0 {
		s.Slots = l.Slots
	}
}

// RecordFirstByte takes in that the answer has begun.
func (p *Pool) RecordFirstByte(pl *Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firstByte(pl, now)
}

func (p *Pool) firstByte(pl *Placement, now time.Time) {
	if pl.first {
		return
	}
	pl.first = true
	s := pl.server
	p.wasRead(s, pl)
	s.addPending(pl.urgency, -pl.tokens)
	took := now.Sub(pl.Sent).Seconds()
	if pl.expected <= 0 {
		return
	}
	ratio := min(max(took/pl.expected, minPace), maxPace)
	s.pace += (ratio*s.pace - s.pace) * paceWeight
	s.pace = min(max(s.pace, minPace), maxPace)
	if p.on(features.PoolLatencyFactor) {
		p.pace += (ratio*p.pace - p.pace) * poolPaceWeight
		p.pace = min(max(p.pace, 1), maxPoolPace)
	}
	s.extra = max(s.excess(now)/2, took-pl.expected)
	s.extraAt = now
}

// Done ends a placement.
func (p *Pool) Done(pl *Placement, outcome Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.done {
		return
	}
	pl.done = true
	s := pl.server
	s.inFlight--
	if !pl.first {
		delete(s.reading, pl)
		pl.first = true
		s.addPending(pl.urgency, -pl.tokens)
	}
	if outcome == OutcomeServed && !p.settings.Engine {
		p.work += (now.Sub(pl.Sent).Seconds()/max(s.pace, 1) - p.work) * workWeight
	}
	if outcome == OutcomeServed && s.sentBeforeAside(pl.Sent, now) {
		return
	}
	s.judge(outcome, p.settings.Engine, now)
}

// sentBeforeAside tells whether a request was sent before its server was set aside. That
// it ended well says nothing of the server now: the streams of a whole batch end in the
// seconds after it has begun to fail, and would bring it back at once, again and again.
func (s *server) sentBeforeAside(sent, now time.Time) bool {
	return now.Before(s.asideUntil) && sent.Before(s.asideUntil.Add(-s.asideFor))
}

// workWeight is the weight of a new measurement in a plain service's mean time.
const workWeight = 0.05

// judge counts failures and sets the server aside.
func (s *server) judge(outcome Outcome, engine bool, now time.Time) {
	switch outcome {
	case OutcomeCancelled:
		return
	case OutcomeDown:
		s.newDown = true
		s.down = true
		s.goneAside(now)
		return
	case OutcomeErrorCode:
		if engine {
			s.fail(now)
		}
		return
	case OutcomeFailed:
		s.fail(now)
	case OutcomeRefused:
		s.count(refusedFailure, now)
	case OutcomeServed:
		s.newServed++
		s.count(0, now)
	}
}

func (s *server) fail(now time.Time) {
	s.newFailed++
	s.count(1, now)
}

func (s *server) count(failure float64, now time.Time) { s.countAll(1, failure, now) }

// countAll takes in the outcomes of some requests of which nobody knows the order, with
// the mean of their failures.
func (s *server) countAll(requests int, failure float64, now time.Time) {
	s.outcomes += requests
	s.failures += (failure - s.failures) * (1 - math.Pow(1-failureWeight, float64(requests)))
	listens := s.down && failure == 0 // again
	if failure > 0 {
		s.sound = 0
	} else {
		s.sound += requests
		s.down = false
	}
	switch {
	case (listens || s.sound >= soundOutcomes) && s.failures < failureLimit/2:
		s.asideUntil, s.asideFor = time.Time{}, 0
	case failure > 0 && s.outcomes >= leastOutcomes && s.failures >= failureLimit:
		s.setAside(failingAside, now)
	}
}

// goneAside sets a server aside at which nothing listens, longer each time.
func (s *server) goneAside(now time.Time) {
	s.setAside(min(max(2*s.asideFor, minAside), maxAside), now)
}

func (s *server) setAside(d time.Duration, now time.Time) {
	if now.Before(s.asideUntil) && now.Sub(s.asideUntil.Add(-s.asideFor)) < minAside {
		return // failures of requests that were under way say nothing new
	}
	s.asideFor = d
	s.asideUntil = now.Add(s.asideFor)
}

// Summary is what other regions are told of a service's servers here.
type Summary struct {
	Servers           int
	Running           int           // requests that the servers have, of all instances
	FreeSlots         int           // requests that could start at once
	ExpectedFirstByte time.Duration // to the first byte of a prompt of ordinary size
	StallFraction     float64       // part of the servers' time that does not go into running answers
}

// summaryTokens is the size of the prompt that a summary speaks of, in tokens that
// have to be read: a shared prompt of the first deployments with its own part.
const summaryTokens = 4000

// ExtraPrefillTime is how much longer than a summary says the request should take in
// another region. Without it a prompt that is late for its own length looks on time far
// away, is sent there, and is later still. Of the shared parts most are held there too.
func ExtraPrefillTime(w *Request) time.Duration {
	unread := float64(w.Tokens) - unreadAbroad*float64(w.shared())
	return seconds(max(unread-summaryTokens, 0) / defaultReadRate)
}

// unreadAbroad is the part of the shared tokens that another region is taken to hold.
const unreadAbroad = 0.6

// Summarize describes the pool for other regions.
func (p *Pool) Summarize(now time.Time) Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := Request{Tokens: summaryTokens, Urgency: urgencies - 1, Arrived: now}
	best, c := p.choose(&w, now)
	running, slots := p.occupancy(now)
	out := Summary{Servers: c.usable, Running: int(running), FreeSlots: int(max(slots-running, 0)), StallFraction: p.allSlowed(now)}
	if best != nil {
		out.ExpectedFirstByte = seconds(best.expected)
	}
	return out
}

// Occupancy returns how many requests the servers that take any have, and how many they
// are sent at most.
func (p *Pool) Occupancy(now time.Time) (running, slots float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.occupancy(now)
}

func (p *Pool) occupancy(now time.Time) (running, slots float64) {
	p.forgetSilent(now)
	aside := p.setAside(now)
	for _, s := range p.servers {
		if !s.Usable(now) || aside[s] || p.settings.ColdRate > 0 && now.Before(s.ColdUntil) {
			continue
		}
		running += min(p.running(s, now), p.limit(s))
		slots += p.limit(s)
	}
	return running, slots
}

// State is what is known of one server, for operators.
type State struct {
	ID, Address string
	InFlight    int
	Pending     float64
	Pace        float64
	Failures    float64
	Aside, Down bool
	Cold        bool
	Slowed      float64 // part of its time that does not go into running answers
	Slowness    float64 // its longest pauses over those of all servers
}

// States returns the state of every server.
func (p *Pool) States(now time.Time) []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]State, len(p.servers))
	for i, s := range p.servers {
		out[i] = State{
			ID: s.ID, Address: s.Address, InFlight: s.inFlight, Pending: s.allPending(), Pace: s.pace,
			Failures: s.failures, Aside: now.Before(s.asideUntil), Down: s.down, Cold: now.Before(s.ColdUntil),
			Slowed: p.slowed(s, now), Slowness: s.slowness,
		}
	}
	return out
}

// RecordDown takes in that nothing listens at the server of a placement.
func (p *Pool) RecordDown(pl *Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.server.judge(OutcomeDown, p.settings.Engine, now)
}

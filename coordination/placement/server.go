package placement

import (
	"math"
	"time"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
)

const (
	urgencyLevels = 10 // levels of urgency that are distinguished

	// latencyWeight is the weight of a new measurement in a server's latency factor.
	latencyWeight    = 0.15
	minLatencyFactor = 0.5
	maxLatencyFactor = 8.0
	// excessHalfLife is the half-life, in seconds, of the time that requests took beyond the expected.
	excessHalfLife = 0.7
	// failureWeight is the weight of a new outcome in a server's failure rate: about the last
	// dozen outcomes count.
	failureWeight = 0.2
	// ejectionThreshold is the failure rate from which a server is ejected: above that of servers
	// that lose one response in twenty, below half of that of a failing one. Error statuses of a
	// plain service do not count.
	ejectionThreshold = 0.4
	// refusalWeight is the fraction of a failure that a refusal by a full server counts: it says so
	// in time. A refusal by a server that should have room counts as a failure.
	refusalWeight = 0.4
	// roomFraction is the fraction of its limit below which a server should have room.
	roomFraction = 0.5
	// minOutcomes is the number of outcomes before a server may be ejected.
	minOutcomes = 4
	// recoveryOutcomes is how many consecutive requests an ejected server has to serve.
	// One that fails half of its requests does so once in sixty tries.
	recoveryOutcomes = 6
	// minEjection and maxEjection bound how long a server is ejected that accepts no
	// connections: it restarts within seconds.
	minEjection = 700 * time.Millisecond
	maxEjection = 5 * time.Second
	// failingEjection is how long a server is ejected that fails part of its requests. It
	// returns earlier when probes succeed: about twenty of them fit in, of which six consecutive
	// ones have to. With the durations of minEjection it returned by itself every second or two,
	// was the emptiest server of its region, and every instance sent it requests of which half
	// were lost, including some that must not be repeated.
	failingEjection = 8 * time.Second
	probeInterval   = 400 * time.Millisecond // between requests to an ejected server
)

// server is the state that one instance keeps of one incarnation of a backend server.
type server struct {
	backends.Entry
	hash    uint64 // of the id
	orderAt int    // position in the pool's random order

	inFlight       int
	urgentInFlight int                    // those that take precedence
	pending        [urgencyLevels]float64 // prompt tokens of requests whose first byte has not arrived, by urgency
	fromPeers      peerTotals
	eventGaps      gapTracker
	prefills       map[*Placement]*prefill
	gapFactor      float64 // its event gaps relative to those of all servers, for prompts of the same size

	othersInFlight  float64 // requests of other instances, by the server's last report
	reportedWaiting float64 // requests that had not started, by the server's last report
	reportedAt      time.Time
	machineFactor   float64 // mean of the reported times of work, over the usual time; 1 if none is reported
	machineReports  int
	newTimeReport   bool // the server has reported it since the last load report

	latencyFactor     float64 // measured over expected time
	excessSeconds     float64 // time that recent requests took beyond the expected, at excessAt
	excessAt          time.Time
	newServed         int // since the last load report, as are newFailed and newDown
	newFailed         int
	newDown           bool
	failureRate       float64 // decayed mean of the outcomes, 0 to 1
	outcomes          int
	consecutiveServed int // requests served since the last failure
	ejectedUntil      time.Time
	ejectionDuration  time.Duration
	probedAt          time.Time
	down              bool      // it accepts no connections
	endedAt           time.Time // when its process was last known to have ended; zero if it was not
	coldSentAt        time.Time // when this instance last sent it a request while it was cold
	cache             *cache    // nil before the first prompt: in a large fleet most servers never get one from here
}

func newServer() *server {
	return &server{latencyFactor: 1, gapFactor: 1, machineFactor: 1, prefills: make(map[*Placement]*prefill)}
}

// touchCache records that a prompt was sent.
func (s *server) touchCache(segments []PromptSegment, capacity int) {
	if s.cache == nil {
		s.cache = newCache()
	}
	s.cache.touch(segments, capacity)
}

func urgencyIndex(urgency int) int { return min(max(urgency, 0), urgencyLevels-1) }

// pendingUpTo returns the prompt tokens that are computed before a request of the given urgency.
func (s *server) pendingUpTo(urgency int) float64 {
	total := 0.0
	for i := 0; i <= urgencyIndex(urgency); i++ {
		total += s.pending[i]
	}
	return total
}

func (s *server) totalPending() float64 { return s.pendingUpTo(urgencyLevels - 1) }

func (s *server) addPending(urgency int, tokens float64) {
	i := urgencyIndex(urgency)
	s.pending[i] = max(s.pending[i]+tokens, 0)
}

// excess returns the time in seconds that responses took beyond the expected; it decays.
func (s *server) excess(now time.Time) float64 {
	return s.excessSeconds * math.Exp2(-now.Sub(s.excessAt).Seconds()/excessHalfLife)
}

func (s *server) probeDue(now time.Time) bool {
	return now.Sub(s.probedAt) >= probeInterval && now.Sub(s.ejectedUntil.Add(-s.ejectionDuration)) >= minEjection/2
}

// ReportedLoad is the load that a server reports with a response.
type ReportedLoad struct {
	Running, Waiting, Slots int
	TimePercent             int // how long work takes on its machine at the moment, in percent of the usual time; 0 if not reported
}

// Outcome says how a request ended at its server.
type Outcome int

// Outcomes of a request.
const (
	OutcomeServed    Outcome = iota
	OutcomeRefused           // the server reported that it did not run the request
	OutcomeFailed            // connection closed early, timed out, or the response was invalid
	OutcomeDown              // the server accepts no connections
	OutcomeErrorCode         // a complete response with an error status of the server
	OutcomeCancelled         // cancelled by this instance or its caller: says nothing about the server
)

// RecordLoad records the load that a server reported with a response.
func (p *Pool) RecordLoad(pl *Placement, l ReportedLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := pl.server
	s.othersInFlight = max(float64(l.Running+l.Waiting-s.inFlight), 0)
	s.reportedWaiting = float64(l.Waiting)
	s.reportedAt = now
	if l.TimePercent > 0 {
		p.recordMachineTime(s, float64(l.TimePercent)/100)
	}
	if l.Slots > 0 && s.Slots == 0 {
		s.Slots = l.Slots
	}
}

// RecordFirstByte records that the response has begun.
func (p *Pool) RecordFirstByte(pl *Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordFirstByte(pl, now)
}

func (p *Pool) recordFirstByte(pl *Placement, now time.Time) {
	if pl.gotFirstByte {
		return
	}
	pl.gotFirstByte = true
	s := pl.server
	p.finishPrefill(s, pl)
	s.addPending(pl.urgency, -pl.prefillTokens)
	took := now.Sub(pl.Sent).Seconds()
	p.recordPace(pl, took)
	if pl.expectedSeconds <= 0 {
		return
	}
	ratio := min(max(took/pl.expectedSeconds, minLatencyFactor), maxLatencyFactor)
	s.latencyFactor += (ratio*s.latencyFactor - s.latencyFactor) * latencyWeight
	s.latencyFactor = min(max(s.latencyFactor, minLatencyFactor), maxLatencyFactor)
	if p.enabled(features.PoolLatencyFactor) {
		p.latencyFactor += (ratio*p.latencyFactor - p.latencyFactor) * poolLatencyWeight
		p.latencyFactor = min(max(p.latencyFactor, 1), maxPoolLatencyFactor)
	}
	s.excessSeconds = max(s.excess(now)/2, took-pl.expectedSeconds)
	s.excessAt = now
}

// Done ends a placement. Further calls have no effect.
func (p *Pool) Done(pl *Placement, outcome Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.done {
		return
	}
	pl.done = true
	s := pl.server
	s.inFlight--
	if pl.urgent {
		s.urgentInFlight--
	}
	if !pl.gotFirstByte {
		delete(s.prefills, pl)
		pl.gotFirstByte = true
		s.addPending(pl.urgency, -pl.prefillTokens)
	}
	if outcome == OutcomeServed && !p.settings.Engine {
		p.serviceSeconds += (now.Sub(pl.Sent).Seconds()/max(s.latencyFactor, 1) - p.serviceSeconds) * serviceTimeWeight
	}
	if outcome == OutcomeServed {
		p.recordHold(pl, now)
	}
	if outcome == OutcomeServed && s.sentBeforeEjection(pl.Sent, now) {
		return
	}
	if outcome == OutcomeRefused {
		s.countOutcome(p.refusalFailure(s, now), now)
		return
	}
	s.recordOutcome(outcome, p.settings.Engine, now)
}

// refusalFailure returns how much of a failure a refusal counts. A server that refuses everything
// runs less and less, and would be chosen for most requests because of that. One that asks for rest
// gets no requests anyway.
func (p *Pool) refusalFailure(s *server, now time.Time) float64 {
	if !s.Resting(now) && p.running(s, now) < roomFraction*p.limit(s) {
		return 1
	}
	return refusalWeight
}

// sentBeforeEjection reports whether a request was sent before its server was ejected. Its
// success says nothing about the server's present state: the streams of a whole batch end in
// the seconds after the server has begun to fail, and would end its ejection again and again.
func (s *server) sentBeforeEjection(sent, now time.Time) bool {
	return now.Before(s.ejectedUntil) && sent.Before(s.ejectedUntil.Add(-s.ejectionDuration))
}

// serviceTimeWeight is the weight of a new measurement in the mean time of a plain service.
const serviceTimeWeight = 0.05

// recordOutcome counts an outcome and ejects the server when it fails too often.
func (s *server) recordOutcome(outcome Outcome, engine bool, now time.Time) {
	switch outcome {
	case OutcomeCancelled:
		return
	case OutcomeDown:
		s.newDown = true
		s.recordEnd(now)
		return
	case OutcomeErrorCode:
		if engine {
			s.recordFailure(now)
		}
		return
	case OutcomeFailed:
		s.recordFailure(now)
	case OutcomeServed:
		s.newServed++
		s.countOutcome(0, now)
	}
}

func (s *server) recordFailure(now time.Time) {
	s.newFailed++
	s.countOutcome(1, now)
}

func (s *server) countOutcome(failure float64, now time.Time) { s.countOutcomes(1, failure, now) }

// countOutcomes counts a number of outcomes in unknown order, with the mean of their
// failures. It ends the ejection of a server that has recovered.
func (s *server) countOutcomes(requests int, failure float64, now time.Time) {
	s.outcomes += requests
	s.failureRate += (failure - s.failureRate) * (1 - math.Pow(1-failureWeight, float64(requests)))
	reachable := s.down && failure == 0 // accepts connections again
	if failure > 0 {
		s.consecutiveServed = 0
	} else {
		s.consecutiveServed += requests
		s.down = false
	}
	switch {
	case (reachable || s.consecutiveServed >= recoveryOutcomes) && s.failureRate < ejectionThreshold/2:
		s.ejectedUntil, s.ejectionDuration = time.Time{}, 0
	case failure > 0 && s.outcomes >= minOutcomes && s.failureRate >= ejectionThreshold:
		s.eject(failingEjection, now)
	}
}

// recordEnd records that the server accepts no connections: its process has ended.
func (s *server) recordEnd(now time.Time) {
	s.down = true
	s.endedAt = now
	s.ejectUnreachable(now)
}

// ejectUnreachable ejects a server that accepts no connections, for longer each time.
func (s *server) ejectUnreachable(now time.Time) {
	s.eject(min(max(2*s.ejectionDuration, minEjection), maxEjection), now)
}

func (s *server) eject(d time.Duration, now time.Time) {
	if now.Before(s.ejectedUntil) && now.Sub(s.ejectedUntil.Add(-s.ejectionDuration)) < minEjection {
		return // requests that were in flight at the ejection fail for the same reason
	}
	s.ejectionDuration = d
	s.ejectedUntil = now.Add(s.ejectionDuration)
}

// Summary is what other regions are told about a service's servers in this region.
type Summary struct {
	Servers           int
	Running           int           // requests at the servers, from all instances
	FreeSlots         int           // requests of the lowest urgency that can start at once
	ExpectedFirstByte time.Duration // for a prompt of summaryPromptTokens
	StallFraction     float64       // fraction of the servers' time that does not go into decoding running generations
	PrefillRate       float64       // prompt tokens per second of a server, as measured
}

// summaryPromptTokens is the size of the prompt that a summary refers to, in uncached
// tokens: a shared prompt of the first deployments with its own segment.
const summaryPromptTokens = 4000

// ExtraPrefillTime returns how much longer than a summary says the request is expected to
// take in another region. Without it a prompt that is late because of its own length looks on
// time in a remote region, is sent there, and is later still. Most of the shared segments are
// expected to be cached in the remote region too.
// prefillRate is in prompt tokens per second; 0 if it is not known.
func ExtraPrefillTime(r *Request, prefillRate float64) time.Duration {
	if prefillRate <= 0 {
		prefillRate = defaultPrefillRate
	}
	uncached := float64(r.Tokens) - remoteCachedFraction*float64(r.sharedTokens())
	return seconds(max(uncached-summaryPromptTokens, 0) / prefillRate)
}

// remoteCachedFraction is the fraction of the shared tokens that another region is expected to have cached.
const remoteCachedFraction = 0.6

// Summarize describes the pool for other regions.
func (p *Pool) Summarize(now time.Time) Summary {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := Request{Tokens: summaryPromptTokens, Urgency: urgencyLevels - 1, Arrived: now}
	running, slots := p.occupancy(r.Urgency, now)
	found := p.choose(&r, now)
	if found.best == nil && p.precedence() {
		r.Urgency = leastUrgentRank // a full pool still takes urgent requests
		found = p.choose(&r, now)
	}
	out := Summary{Servers: p.usableServers(now), Running: int(running), FreeSlots: int(max(slots-running, 0)), StallFraction: p.meanStall(now), PrefillRate: p.measuredPrefillRate(now)}
	if found.best != nil {
		out.ExpectedFirstByte = seconds(found.best.firstByteSeconds)
	}
	return out
}

// measuredPrefillRate returns the mean prefill rate of the usable servers.
func (p *Pool) measuredPrefillRate(now time.Time) float64 {
	_, perToken := p.firstByteModel()
	total, servers := 0.0, 0
	for _, s := range p.servers {
		if s.Usable(now) {
			total += 1 / (perToken * s.latencyFactor * s.machineFactor * p.latencyFactor)
			servers++
		}
	}
	return total / float64(max(servers, 1))
}

// usableServers returns how many servers can be used. A search may count those of a sample only.
func (p *Pool) usableServers(now time.Time) int {
	ejected := p.ejectedServers(now)
	usable := 0
	for _, s := range p.servers {
		if s.Usable(now) && !s.Resting(now) && !ejected[s] {
			usable++
		}
	}
	return usable
}

// Occupancy returns how many requests the servers in use have, and how many they are sent
// at most, as far as they matter to a request of the urgency. Ejected, resting and cold servers
// do not count.
func (p *Pool) Occupancy(urgency int, now time.Time) (running, slots float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.occupancy(urgency, now)
}

func (p *Pool) occupancy(urgency int, now time.Time) (running, slots float64) {
	p.dropExpiredReports(now)
	ejected := p.ejectedServers(now)
	for _, s := range p.servers {
		if !s.Usable(now) || s.Resting(now) || ejected[s] || p.settings.ColdRate > 0 && now.Before(s.ColdUntil) {
			continue
		}
		running += min(p.occupied(s, urgency, now), p.limit(s))
		slots += p.limit(s)
	}
	return running, slots
}

// State is the state of one server, as operators see it in the state dump.
type State struct {
	ID, Address string
	InFlight    int
	Pending     float64
	Pace        float64
	Failures    float64
	Aside, Down bool
	Cold        bool
	Leaving     bool    // it said so in an answer
	Resting     bool    // it asked for a time without requests
	Slowed      float64 // fraction of its time that does not go into decoding running generations
	Slowness    float64 // its event gaps relative to those of all servers
}

// States returns the state of every server.
func (p *Pool) States(now time.Time) []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]State, len(p.servers))
	for i, s := range p.servers {
		out[i] = State{
			ID: s.ID, Address: s.Address, InFlight: s.inFlight, Pending: s.totalPending(), Pace: s.latencyFactor,
			Failures: s.failureRate, Aside: now.Before(s.ejectedUntil), Down: s.down, Cold: now.Before(s.ColdUntil), Leaving: s.Leaving, Resting: s.Resting(now),
			Slowed: p.serverStall(s, now), Slowness: s.gapFactor,
		}
	}
	return out
}

// RecordLeaving records that the server of a placement has said that it leaves.
func (p *Pool) RecordLeaving(pl *Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.server.Leaving = true
}

// RecordRest records that the server of a placement wants no requests until a time. A later answer
// does not shorten a rest.
func (p *Pool) RecordRest(pl *Placement, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(pl.server.RestUntil) {
		pl.server.RestUntil = until
	}
}

// RecordDown records that the server of a placement accepts no connections.
func (p *Pool) RecordDown(pl *Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.server.recordOutcome(OutcomeDown, p.settings.Engine, now)
}

package placement

import (
	"math"
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// Load pattern: a burst of patient requests, each of which holds its slot for seconds, beside
// urgent ones that hold theirs for some tenths of a second. Whoever came first would keep the
// slots, and urgent requests would be refused although they need few.
//
// So the urgent requests that are expected to run have their slots kept free of the others. More
// of them than expected are sent to full servers: an engine admits them at once and suspends the
// newest of its less urgent requests, which goes on as soon as a slot is freed. A server is
// sent no further patient request until then.
const (
	// urgentDecaySeconds is the time constant over which the urgent load is averaged: a traffic
	// spike begins within a second.
	urgentDecaySeconds = 1.0
	// urgentSampleInterval is the time between two samples of the urgent load.
	urgentSampleInterval = 20 * time.Millisecond
	// patientFloor is the fraction of a server's slots that less urgent requests may hold however
	// many urgent ones there are, so that they do not starve.
	patientFloor = 0.25
	// negligibleUrgentLoad is the number of urgent requests per server below which no slot is kept
	// free: it would be idle most of the time.
	negligibleUrgentLoad = 0.1
	// preemptionCost is what a request costs at a server where another one is suspended for it, in
	// seconds: a suspended generation may exceed its longest gap between events.
	preemptionCost = longGapCost
	// leastUrgentRank is the least urgent rank that takes precedence over others.
	leastUrgentRank = urgencyLevels - 2
)

// urgentLoad is the mean number of urgent requests at a server of the pool.
type urgentLoad struct {
	mean      float64
	sampledAt time.Time
}

// urgent reports whether requests of the urgency take precedence over others.
func (p *Pool) urgent(urgency int) bool {
	return p.precedence() && p.settings.Precedence.Urgent(urgency)
}

func (p *Pool) precedence() bool {
	return p.settings.Precedence.Enforced && p.settings.Engine && p.enabled(features.UrgentFirst)
}

// urgentRunning returns how many urgent requests a server is expected to have.
func (s *server) urgentRunning() float64 {
	return float64(s.urgentInFlight + s.fromPeers.urgentInFlight)
}

// sampleUrgentLoad updates the mean urgent load.
func (p *Pool) sampleUrgentLoad(now time.Time) {
	elapsed := now.Sub(p.urgentLoad.sampledAt)
	if !p.precedence() || elapsed < urgentSampleInterval {
		return
	}
	p.urgentLoad.sampledAt = now
	total, servers := 0.0, 0
	for _, s := range p.servers {
		if s.Usable(now) {
			total += s.urgentRunning()
			servers++
		}
	}
	if servers == 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/urgentDecaySeconds)
	p.urgentLoad.mean += (total/float64(servers) - p.urgentLoad.mean) * weight
}

// urgentPending returns the prompt tokens of the urgent requests whose first byte has not arrived.
func (p *Pool) urgentPending(s *server) float64 {
	if !p.precedence() {
		return s.pendingUpTo(0)
	}
	total := 0.0
	for rank, tokens := range s.pending {
		if p.urgent(rank) {
			total += tokens
		}
	}
	return total
}

// peersPending returns the prompt tokens of the other instances that a server computes before a
// request of the urgency.
func (p *Pool) peersPending(s *server, urgency int) float64 {
	if p.urgent(urgency) || urgency <= 0 {
		return float64(s.fromPeers.urgent)
	}
	return float64(s.fromPeers.pending)
}

// occupied returns how many of a server's slots a request of the urgency cannot have.
func (p *Pool) occupied(s *server, urgency int, now time.Time) float64 {
	running := p.running(s, now)
	if !p.precedence() {
		return running
	}
	urgent := s.urgentRunning()
	patient := max(running-urgent, 0)
	if p.urgent(urgency) {
		return p.urgentOccupied(s) + min(patient, p.patientSlots(s))
	}
	return patient + min(p.expectedUrgent(s), p.limit(s)-p.patientSlots(s))
}

// urgentOccupied returns how many of a server's slots the urgent requests take. Where these ask for all
// that they may have, every instance would refill a slot before it knows that another one has: each
// keeps to its share then.
func (p *Pool) urgentOccupied(s *server) float64 {
	known := s.urgentRunning()
	if p.urgentLoad.mean < p.limit(s)-p.patientSlots(s)-1 {
		return known
	}
	return max(known, float64(s.urgentInFlight*p.settings.Instances))
}

// patientSlots returns how many of a server's slots less urgent requests do not lose to urgent ones.
func (p *Pool) patientSlots(s *server) float64 { return math.Ceil(patientFloor * p.limit(s)) }

// expectedUrgent returns for how many urgent requests a server has to have slots.
func (p *Pool) expectedUrgent(s *server) float64 {
	expected := max(s.urgentRunning(), p.urgentLoad.mean)
	if expected < negligibleUrgentLoad {
		return 0
	}
	return math.Ceil(expected)
}

// preempts reports whether a server would suspend a request for one of the urgency.
func (p *Pool) preempts(s *server, urgency int, now time.Time) bool {
	return p.urgent(urgency) && p.running(s, now) >= p.limit(s)
}

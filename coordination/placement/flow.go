package placement

import "time"

// holdWeight is the weight of a new measurement in the mean time for which a request holds its slot.
const holdWeight = 0.05

// Flow is how fast the slots of a pool turn over for requests that do not take precedence.
type Flow struct {
	Rate      float64 // requests per second that end; 0 while not known
	FreeSlots float64
}

// Flow returns how fast the slots turn over, by Little's law.
func (p *Pool) Flow(now time.Time) Flow {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpiredReports(now)
	ejected := p.ejectedServers(now)
	var out Flow
	running := 0.0
	for _, s := range p.servers {
		if !s.Usable(now) || s.Resting(now) || ejected[s] {
			continue
		}
		running += max(min(p.running(s, now), p.limit(s))-s.urgentRunning(), 0)
		out.FreeSlots += max(p.limit(s)-p.occupied(s, urgencyLevels-1, now), 0)
	}
	if p.holdSeconds > 0 {
		out.Rate = running / p.holdSeconds
	}
	return out
}

// recordHold records for how long a request that has ended held its slot.
func (p *Pool) recordHold(pl *Placement, now time.Time) {
	held := now.Sub(pl.Sent).Seconds()
	switch {
	case pl.urgent:
	case p.holdSeconds == 0:
		p.holdSeconds = held
	default:
		p.holdSeconds += (held - p.holdSeconds) * holdWeight
	}
}

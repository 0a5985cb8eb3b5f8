package placement

import (
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// An engine makes the next token of all running answers in one step, and reads prompts
// between the steps. When it reads much, answers slow down long before its slots are full
// and although first bytes still come in time: they then miss their deadlines, hold their
// slots several times as long, and are more often cut by a crash. So how fast answers go on
// is watched, beside how many there are.
const (
	// stepWeight is the weight of a new pause in a server's mean.
	stepWeight = 0.05
	// stepFresh is how long that mean counts after the last event: an engine that answers
	// nobody reads for nobody.
	stepFresh = time.Second
	// fastestGrowth lets the fastest pause of the service be forgotten, so that one odd
	// sample, or servers that are gone, do not make all others look slow for good.
	fastestGrowth = 1.0002
	// leastSteps is how many events of a server make a mean.
	leastSteps = 20
)

// steps is the pace at which a server's answers go on.
type steps struct {
	mean  float64 // seconds between two events of an answer
	count int
	at    time.Time
}

func (s *steps) take(pause float64, now time.Time) {
	if s.count == 0 || now.Sub(s.at) > stepFresh {
		s.mean, s.count = pause, 0
	}
	s.mean += (pause - s.mean) * stepWeight
	s.count++
	s.at = now
}

// RecordEvent takes in that a running answer has gone on, pause after its last event.
func (p *Pool) RecordEvent(pl *Placement, pause time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.settings.Engine {
		return // the pieces of a plain answer say nothing of its server
	}
	s := pl.server
	s.steps.take(pause.Seconds(), now)
	s.paused(pause, now)
	if s.steps.count < leastSteps {
		return
	}
	if p.fastest == 0 || s.steps.mean < p.fastest {
		p.fastest = s.steps.mean
		return
	}
	p.fastest *= fastestGrowth
}

// slowed returns the part of a server's time that does not go into the next tokens of its
// running answers, against the fastest it was seen to go.
func (p *Pool) slowed(s *server, now time.Time) float64 {
	if !p.on(features.SpillByStall) || s.steps.count < leastSteps || now.Sub(s.steps.at) > stepFresh || s.steps.mean <= p.fastest {
		return 0
	}
	return 1 - p.fastest/s.steps.mean
}

// StallFraction returns that part over the servers that may be used.
func (p *Pool) StallFraction(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allSlowed(now)
}

func (p *Pool) allSlowed(now time.Time) float64 {
	aside := p.setAside(now)
	total, servers := 0.0, 0
	for _, s := range p.servers {
		if !s.Usable(now) || aside[s] {
			continue
		}
		total += p.slowed(s, now)
		servers++
	}
	if servers == 0 {
		return 0
	}
	return total / float64(servers)
}

package placement

import (
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// An engine decodes the next token of all running generations in one step, and prefills
// prompts between the steps. When it has much to prefill, generations slow down long before
// its slots are full and although first bytes still arrive in time: they then miss their
// deadlines, hold their slots several times as long, and are more often lost in a crash. So
// the event gaps of running generations are measured in addition to their number.
const (
	// gapWeight is the weight of a new gap in a server's mean.
	gapWeight = 0.05
	// gapTTL is how long that mean counts after the last event: an engine without running
	// generations stalls nobody.
	gapTTL = time.Second
	// minGapGrowth is the factor by which the smallest mean gap of the service grows with each
	// event, so that one outlier, or servers that are gone, do not make all others look slow for
	// good.
	minGapGrowth = 1.0002
	// minGapSamples is the number of events from which a server's mean is used.
	minGapSamples = 20
)

// gapTracker is the mean event gap of a server's running generations.
type gapTracker struct {
	mean      float64 // seconds between two events of a response
	count     int
	updatedAt time.Time
}

func (s *gapTracker) add(gap float64, now time.Time) {
	if s.count == 0 || now.Sub(s.updatedAt) > gapTTL {
		s.mean, s.count = gap, 0
	}
	s.mean += (gap - s.mean) * gapWeight
	s.count++
	s.updatedAt = now
}

// RecordEvent records an event of a running generation, gap after its last one.
func (p *Pool) RecordEvent(pl *Placement, gap time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.settings.Engine {
		return // the chunks of a plain response say nothing about its server
	}
	s := pl.server
	s.eventGaps.add(gap.Seconds(), now)
	s.recordGap(gap, now)
	if s.eventGaps.count < minGapSamples {
		return
	}
	if p.minMeanGap == 0 || s.eventGaps.mean < p.minMeanGap {
		p.minMeanGap = s.eventGaps.mean
		return
	}
	p.minMeanGap *= minGapGrowth
}

// serverStall returns the fraction of a server's time that does not go into decoding its
// running generations, relative to the smallest mean gap seen at any server.
func (p *Pool) serverStall(s *server, now time.Time) float64 {
	if !p.enabled(features.SpillByStall) || s.eventGaps.count < minGapSamples || now.Sub(s.eventGaps.updatedAt) > gapTTL || s.eventGaps.mean <= p.minMeanGap {
		return 0
	}
	return 1 - p.minMeanGap/s.eventGaps.mean
}

// StallFraction returns the mean of that fraction over the servers in use.
func (p *Pool) StallFraction(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meanStall(now)
}

func (p *Pool) meanStall(now time.Time) float64 {
	ejected := p.ejectedServers(now)
	total, servers := 0.0, 0
	for _, s := range p.servers {
		if !s.Usable(now) || s.Resting(now) || ejected[s] {
			continue
		}
		total += p.serverStall(s, now)
		servers++
	}
	if servers == 0 {
		return 0
	}
	return total / float64(servers)
}

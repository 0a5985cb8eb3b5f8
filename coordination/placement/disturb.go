package placement

import (
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// An engine reads a prompt in chunks, one between two tokens of all running answers, and a
// chunk takes the longer the more of the prompt stands before it. So the last chunks of a
// long prompt hold up every answer that runs on its server for longer than callers allow:
// one such prompt makes some tens of answers late. How long a prompt may be depends on the
// server's speed. It goes to a server that reads it fast enough, and else where the fewest
// answers run.
const (
	// disturbCost is the cost of one answer that is made late, in seconds: with it the
	// answers that run on a server outweigh what its cache and its backlog are worth.
	disturbCost = 0.1
	// fitWeight is what a sample keeps of its weight at the next one: the last thousand
	// prompts count.
	fitWeight = 0.999
	// leastSamples and leastSpread are the samples and the spread of prompt sizes, in
	// tokens, from which the growth of pauses with the size is told.
	leastSamples = 40
	leastSpread  = 1000
	// slownessWeight is the weight of a new prompt in a server's slowness.
	slownessWeight = 0.05
)

// pauseFit is a line of least squares through the longest pause of a running answer, in
// seconds, over the size of the prompt that was read meanwhile, in tokens. Old samples lose
// their weight.
type pauseFit struct{ n, x, y, xx, xy float64 }

func (f *pauseFit) take(tokens, pause float64) {
	for _, sum := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
		*sum *= fitWeight
	}
	f.n++
	f.x += tokens
	f.y += pause
	f.xx += tokens * tokens
	f.xy += tokens * pause
}

// at returns the value of the line for a size; false while too little was seen.
func (f *pauseFit) at(tokens float64) (float64, bool) {
	if f.n < leastSamples {
		return 0, false
	}
	mean := f.x / f.n
	spread := f.xx/f.n - mean*mean
	if spread < leastSpread*leastSpread {
		return 0, false
	}
	slope := max((f.xy/f.n-mean*f.y/f.n)/spread, 0)
	return f.y/f.n + slope*(tokens-mean), true
}

// reading is a prompt whose first byte has not come.
type reading struct {
	tokens  float64
	since   time.Time
	longest float64 // pause of a running answer meanwhile, in seconds; 0 when there was none
}

// paused takes in a pause of a running answer, which ends now, for the prompts that the
// server was reading for most of it.
func (s *server) paused(pause time.Duration, now time.Time) {
	for _, r := range s.reading {
		if !r.since.After(now.Add(-pause / 2)) {
			r.longest = max(r.longest, pause.Seconds())
		}
	}
}

// wasRead learns from a prompt that has been read.
func (p *Pool) wasRead(s *server, pl *Placement) {
	r := s.reading[pl]
	delete(s.reading, pl)
	if r == nil || r.longest == 0 {
		return
	}
	if usual, known := p.pauses.at(r.tokens); known && usual > 0 {
		s.slowness += (r.longest/usual - s.slowness) * slownessWeight
	}
	p.pauses.take(r.tokens, r.longest)
}

// disturbs tells whether reading the prompt there should hold up running answers for
// longer than their callers allow.
func (p *Pool) disturbs(c *candidate) bool { return p.gap > 0 && c.pause > p.gap.Seconds() }

// longestPause returns the longest pause that reading the prompt should cause at a server
// of mean speed, in seconds; 0 while too little was seen.
func (p *Pool) longestPause(w *Request) float64 {
	if !p.settings.Engine || !p.on(features.LimitEventGaps) {
		return 0
	}
	longest, _ := p.pauses.at(float64(w.Tokens)) // 0 when it is not known
	return longest
}

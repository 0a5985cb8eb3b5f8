package placement

import (
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// An engine prefills a prompt in chunks, one between two tokens of all running generations,
// and a chunk takes the longer the more of the prompt precedes it. So the last chunks of a
// long prompt delay every generation on its server for longer than callers allow: one such
// prompt makes some tens of responses late. How long a prompt may be depends on the server's
// speed. A long prompt goes to a server that is fast enough for it, or else to the one with
// the fewest running generations.
const (
	// longGapCost is the cost of one response that is made late, in seconds: with it the
	// generations that run on a server outweigh its cache and its backlog.
	longGapCost = 0.1
	// fitRetention is the factor by which each new sample decays the older ones: about the last
	// thousand prompts count.
	fitRetention = 0.999
	// minFitSamples and minFitSpread are the number of samples and the standard deviation of
	// prompt sizes, in tokens, from which the line is used.
	minFitSamples = 40
	minFitSpread  = 1000
	// gapFactorWeight is the weight of a new prompt in a server's gap factor.
	gapFactorWeight = 0.05
)

// gapLine is a least-squares line through the longest event gap of a running generation, in
// seconds, over the size of the prompt that was prefilled meanwhile, in tokens. Old samples
// lose their weight.
type gapLine struct{ n, x, y, xx, xy float64 }

func (f *gapLine) add(tokens, gap float64) {
	for _, sum := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy} {
		*sum *= fitRetention
	}
	f.n++
	f.x += tokens
	f.y += gap
	f.xx += tokens * tokens
	f.xy += tokens * gap
}

// predict returns the value of the line for a prompt size, and false while the samples are too
// few or too alike.
func (f *gapLine) predict(tokens float64) (float64, bool) {
	if f.n < minFitSamples {
		return 0, false
	}
	mean := f.x / f.n
	variance := f.xx/f.n - mean*mean
	if variance < minFitSpread*minFitSpread {
		return 0, false
	}
	slope := max((f.xy/f.n-mean*f.y/f.n)/variance, 0)
	return f.y/f.n + slope*(tokens-mean), true
}

// prefill is a prompt whose first byte has not arrived.
type prefill struct {
	tokens     float64
	since      time.Time
	longestGap float64 // longest gap of a running generation meanwhile, in seconds; 0 when there was none
}

// recordGap records an event gap of a running generation that ends now, for the prompts that
// the server was prefilling for at least the second half of it.
func (s *server) recordGap(gap time.Duration, now time.Time) {
	for _, running := range s.prefills {
		if !running.since.After(now.Add(-gap / 2)) {
			running.longestGap = max(running.longestGap, gap.Seconds())
		}
	}
}

// finishPrefill updates the server's gap factor and the pool's line with a prompt whose first
// byte has arrived.
func (p *Pool) finishPrefill(s *server, pl *Placement) {
	done := s.prefills[pl]
	delete(s.prefills, pl)
	if done == nil || done.longestGap == 0 {
		return
	}
	if expected, known := p.gapFit.predict(done.tokens); known && expected > 0 {
		s.gapFactor += (done.longestGap/expected - s.gapFactor) * gapFactorWeight
	}
	p.gapFit.add(done.tokens, done.longestGap)
}

// exceedsGap reports whether prefilling the prompt at the candidate is expected to delay
// running generations for longer than their callers allow.
func (p *Pool) exceedsGap(c *candidate) bool {
	return p.minEventGap > 0 && c.gapSeconds > p.minEventGap.Seconds()
}

// expectedLongestGap returns the longest event gap that the prefill is expected to cause at a
// server of average speed, in seconds; 0 while there are too few samples.
func (p *Pool) expectedLongestGap(r *Request) float64 {
	if !p.settings.Engine || !p.enabled(features.LimitEventGaps) {
		return 0
	}
	longest, _ := p.gapFit.predict(float64(r.Tokens)) // 0 while not known
	return longest
}

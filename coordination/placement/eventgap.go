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

// predictGap returns the longest event gap that a prompt of a size is expected to cause, in seconds, and
// false while the samples are too few or too alike.
func (p *Pool) predictGap(tokens float64) (float64, bool) {
	intercept, slope, known := p.gapFit.coefficients(minFitSamples, minFitSpread)
	return intercept + slope*tokens, known
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
	if expected, known := p.predictGap(done.tokens); known && expected > 0 {
		s.gapFactor += (done.longestGap/expected - s.gapFactor) * gapFactorWeight
	}
	p.gapFit.add(done.tokens, done.longestGap, fitRetention)
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
	longest, known := p.predictGap(float64(r.Tokens))
	if !known {
		return 0
	}
	return longest
}

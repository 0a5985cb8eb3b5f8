package placement

import "github.com/basilroute/basilroute/service/features"

// Load pattern: long prompts that come in clusters to servers with many running generations. An engine
// prefills a chunk of prompt between two tokens of all generations for as long as there is any to
// prefill, so that each event of several tokens takes several chunks longer. When prompts follow one
// another for longer than callers allow between two events, all responses of that server are late,
// though its neighbours prefill nothing.
//
// So a prompt whose prefill, with that of the prompts before it, takes longer than the longest gap costs
// as much as the responses that it makes late.

// limitsPrefillRuns reports whether the time is limited for which a server prefills without a pause.
func (p *Pool) limitsPrefillRuns() bool {
	return p.settings.Engine && p.enabled(features.PrefillRuns) && (p.sharedMachines || p.precedence())
}

// limitPrefillRun raises the cost of a candidate at which generations would get late.
func (p *Pool) limitPrefillRun(c *candidate, running float64) {
	pending := c.totalPending() + float64(c.fromPeers.pending)
	c.gapSeconds = (pending+c.uncached)*c.secondsPerToken + p.minMeanGap
	if p.exceedsGap(c) {
		c.cost += running * longGapCost
	}
}

package placement

import "github.com/basilroute/basilroute/service/features"

// Load pattern: long prompts that come in clusters to servers with many running generations. An engine
// prefills a chunk of prompt between two tokens of all generations for as long as there is any to
// prefill, so that each event of several tokens takes several chunks longer. When prompts follow one
// another for longer than callers allow between two events, all responses of that server are late,
// though its neighbours prefill nothing.
//
// So a prompt whose prefill, with that of the prompts before it, takes longer than the longest gap costs
// as much as the responses that it makes late. From half of that time on a part of them may be.

// limitsPrefillRuns reports whether the time is limited for which a server prefills without a pause.
func (p *Pool) limitsPrefillRuns() bool {
	return p.settings.Engine && p.enabled(features.PrefillRuns) && (p.sharedMachines || p.precedence())
}

// limitPrefillRun raises the cost of a candidate at which generations may get late.
func (p *Pool) limitPrefillRun(c *candidate, running float64) {
	if p.minEventGap == 0 {
		return
	}
	pending := c.totalPending() + float64(c.fromPeers.pending)
	c.gapSeconds = (pending+c.uncached)*c.secondsPerToken + p.minMeanGap
	late := 2*c.gapSeconds/p.minEventGap.Seconds() - 1
	c.cost += running * longGapCost * min(max(late, 0), 1)
}

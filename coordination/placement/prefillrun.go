package placement

import (
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// Load pattern: long prompts that come in clusters to servers with many running generations. An engine
// prefills a chunk of prompt between two tokens of all generations for as long as there is any to
// prefill, so that each event of several tokens takes several chunks longer. When prompts follow one
// another for longer than callers allow between two events, all responses of that server are late,
// though its neighbours prefill nothing.
//
// So a prompt is placed where the server's prefill run, from its begin to the expected end of the new
// prompt, stays within the longest gap. Beyond that it costs as much as the responses that it
// makes late.

// limitsPrefillRuns reports whether the length of prefill runs is limited.
func (p *Pool) limitsPrefillRuns() bool { return p.fitsPace() && p.enabled(features.PrefillRuns) }

// prefillRun is a period in which a server has prompts to prefill.
type prefillRun struct {
	since time.Time // zero while it has none
}

// knownPending returns the prompt tokens that all instances have at a server.
func (s *server) knownPending() float64 { return s.totalPending() + float64(s.fromPeers.pending) }

// update notes the begin and the end of a run after a change of the server's pending prompts.
func (r *prefillRun) update(pending float64, now time.Time) {
	switch {
	case pending <= 0:
		r.since = time.Time{}
	case r.since.IsZero():
		r.since = now
	}
}

// seconds returns how long the run has lasted.
func (r *prefillRun) seconds(now time.Time) float64 {
	if r.since.IsZero() {
		return 0
	}
	return max(now.Sub(r.since).Seconds(), 0)
}

// longestGap returns the gap between two events, in seconds, that a server's generations are expected to
// have when the candidate's prompt follows those that the server has to prefill.
func (p *Pool) longestGap(c *candidate, now time.Time) float64 {
	run := c.prefillRun.seconds(now) + (c.knownPending()+c.uncached)*c.secondsPerToken
	return run + p.minMeanGap
}

package placement

import "github.com/basilroute/basilroute/service/features"

// Load pattern: servers of different speed that share their machines with other work, with short
// prompts beside long ones. A first byte takes a fixed time and one that grows with the prompt. Where one
// measured factor corrects an assumed rate, short prompts look slow after long ones and long prompts
// after short ones, and requests are refused that would be on time.
//
// So the two times are fitted to what was measured, relative to what the servers report of their
// machines. A server's latency factor then says what is left: how it differs from the others.
const (
	// paceRetention is the factor by which each first byte decays the older ones: about the last
	// two hundred count.
	paceRetention = 0.995
	// minPaceSamples and minPaceSpread are the number of first bytes and the standard deviation of
	// their prompt tokens from which the fitted times are used.
	minPaceSamples = 40
	minPaceSpread  = 1000
	// minFirstByteBase and maxFirstByteBase bound the fixed time, in seconds: the network's, and a step
	// of an engine with a full batch many times over.
	minFirstByteBase = 0.005
	maxFirstByteBase = 0.3
	// maxPrefillRate is the highest rate in prompt tokens per second.
	maxPrefillRate = 10 * defaultPrefillRate
)

// fitsPace reports whether first bytes are estimated with fitted times.
func (p *Pool) fitsPace() bool {
	return p.settings.Engine && p.enabled(features.FittedPace) && (p.sharedMachines || p.precedence())
}

// recordPace adds a measured time to the first byte.
func (p *Pool) recordPace(pl *Placement, took float64) {
	if p.fitsPace() {
		p.pace.add(pl.tokensAhead, took/pl.server.machineFactor, paceRetention)
	}
}

// firstByteModel returns the fixed time to a first byte and the time that each prompt token adds, in
// seconds, at a server of average speed.
func (p *Pool) firstByteModel() (base, perToken float64) {
	if !p.fitsPace() {
		return idleFirstByteSeconds, 1 / p.prefillRate
	}
	base, perToken, known := p.pace.coefficients(minPaceSamples, minPaceSpread)
	if !known {
		return idleFirstByteSeconds, 1 / p.prefillRate
	}
	return min(max(base, minFirstByteBase), maxFirstByteBase), max(perToken, 1/maxPrefillRate)
}

package placement

import (
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// cacheHolder returns the server that has most of the prompt cached, and how many tokens.
func (p *Pool) cacheHolder(r *Request, ejected map[*server]bool, now time.Time) (*server, int) {
	if p.settings.FetchSecondsPerToken <= 0 || len(r.Segments) == 0 || !p.enabled(features.Fetch) {
		return nil, 0
	}
	var best *server
	held := 0
	for _, s := range p.servers {
		if ejected[s] || !s.Usable(now) || s.Resting(now) {
			continue
		}
		if n := s.cache.match(r.Segments); n > held {
			best, held = s, n
		}
	}
	return best, held
}

const (
	// minFetchTokens is the least number of tokens that are worth fetching: the setup of a fetch
	// takes as long as computing a hundred.
	minFetchTokens = 500
	// fetchSetupSeconds is how long a fetch takes apart from its bytes.
	fetchSetupSeconds = 0.003
	// fetchWeight is the cost of a fetched token relative to a computed one: moving it costs a
	// sixth of recomputing it by the prices of the first deployments, and delays no other request.
	fetchWeight = 0.17
)

// applyLocalFetch lets the candidate fetch the tokens that another server of the region has
// cached beyond its own, where that is faster than computing them.
func (p *Pool) applyLocalFetch(c *candidate, holder *server, held int) {
	gain := float64(held - c.cached)
	if holder == nil || gain < minFetchTokens {
		return
	}
	p.applyFetch(c, holder.Address, gain, p.settings.FetchSecondsPerToken)
}

// applyFetch corrects the candidate's cost for a fetch, if it is faster than computing the
// tokens.
func (p *Pool) applyFetch(c *candidate, address string, tokens, secondsPerToken float64) {
	prefillTime := tokens / p.prefillRate
	fetchTime := fetchSetupSeconds + tokens*secondsPerToken
	saved := (prefillTime - fetchTime) * c.latencyFactor
	if p.fitsPace() {
		saved = tokens*c.secondsPerToken - fetchTime
	}
	if saved <= 0 {
		return
	}
	c.fetchFrom = address
	c.uncached -= tokens
	c.firstByteSeconds -= saved
	c.ownSeconds -= saved
	c.cost -= saved + (prefillWeight-1-fetchWeight)*prefillTime
}

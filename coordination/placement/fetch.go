package placement

import "github.com/basilroute/basilroute/service/features"

// holder returns the server that holds most of the prompt, and how much.
func (p *Pool) holder(w *Request, aside map[*server]bool) (*server, int) {
	if p.settings.FetchSecondsPerToken <= 0 || len(w.Segments) == 0 || !p.on(features.Fetch) {
		return nil, 0
	}
	var best *server
	held := 0
	for _, s := range p.servers {
		if aside[s] {
			continue
		}
		if n := s.cache.match(w.Segments); n > held {
			best, held = s, n
		}
	}
	return best, held
}

const (
	// leastFetch is the least number of tokens that is worth fetching: the fetch's own
	// beginning takes as long as reading a hundred.
	leastFetch = 500
	// fetchSetup is how long a fetch takes beside its bytes, in seconds.
	fetchSetup = 0.003
	// fetchWeight is the cost of a fetched token in read ones: moving it costs a sixth
	// of reading it again by the first deployments' prices, and holds up nobody.
	fetchWeight = 0.17
)

// fetch lets the candidate fetch what another server holds beyond it, where that is
// faster than reading it.
func (p *Pool) fetch(c *candidate, holder *server, held int) {
	gain := float64(held - c.cached)
	if holder == nil || gain < leastFetch {
		return
	}
	p.fetchFrom(c, holder.Address, gain, p.settings.FetchSecondsPerToken)
}

// fetchFrom lets the candidate fetch some tokens, each in a time, in seconds.
func (p *Pool) fetchFrom(c *candidate, address string, tokens, each float64) {
	read := tokens / p.readRate
	moved := fetchSetup + tokens*each
	if moved >= read {
		return
	}
	c.fetchFrom = address
	c.unread -= tokens
	c.expected += (moved - read) * c.pace
	c.own += (moved - read) * c.pace
	c.cost += (moved-read)*c.pace - (readWeight-1)*read + fetchWeight*read
}

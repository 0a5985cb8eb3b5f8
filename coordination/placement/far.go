package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
)

// Prompts that share parts arrive in all regions, and cross when one is short of room. Read
// again in each region, shared parts take the engines' time from running answers. Engines
// fetch over the links between regions, too. Which server there holds what is not told between
// regions: a region that forwards a prompt names its holder, and for other prompts the
// server is asked that the hash names there. One that holds nothing costs the fetch's
// beginning only.

// FetchSource is a server of another region from which shared parts may be fetched.
type FetchSource struct {
	Address string
	Tokens  int // that it is known to hold; 0 when it is a guess
}

// farServer is a server of another region.
type farServer struct {
	address string
	hash    uint64
}

// UpdateRemote takes in the servers of another region.
func (p *Pool) UpdateRemote(region string, entries []backends.Entry) {
	servers := make([]farServer, len(entries))
	for i, e := range entries {
		servers[i] = farServer{address: e.Address, hash: xxhash.Sum64String(e.ID)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.far == nil {
		p.far = make(map[string][]farServer)
	}
	p.far[region] = servers
}

// RemoteFetchSource returns the server of another region that the hash names for the request's
// shared parts; none when they are too few to be fetched.
func (p *Pool) RemoteFetchSource(w *Request, region string) FetchSource {
	if w.shared() < leastFetch {
		return FetchSource{}
	}
	subject := w.subject()
	p.mu.Lock()
	defer p.mu.Unlock()
	var source FetchSource
	var top uint64
	for _, s := range p.far[region] {
		if score := rendezvous(s.hash, subject); source.Address == "" || score > top {
			source.Address, top = s.address, score
		}
	}
	return source
}

// LocalFetchSource returns the server here that holds most of the request's shared parts; none when
// that is too little to be fetched.
func (p *Pool) LocalFetchSource(w *Request, now time.Time) FetchSource {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, held := p.holder(w, p.setAside(now))
	if s == nil || held < leastFetch {
		return FetchSource{}
	}
	return FetchSource{Address: s.Address, Tokens: held}
}

// fetchFar lets the candidate fetch from another region what no server here holds.
func (p *Pool) fetchFar(c *candidate, w *Request) {
	known := w.RemoteSource.Tokens - c.cached
	switch {
	case c.fetchFrom != "" || w.RemoteSource.Address == "" || p.settings.FetchSecondsPerToken <= 0 || !p.on(features.RemoteFetch):
	case w.RemoteSource.Tokens == 0 && w.shared()-c.cached >= leastFetch:
		c.fetchFrom = w.RemoteSource.Address
	case known >= leastFetch:
		p.fetchFrom(c, w.RemoteSource.Address, float64(known), farFetch*p.settings.FetchSecondsPerToken)
	}
}

// farFetch is how many times as long a fetch takes from another failure domain.
const farFetch = 2

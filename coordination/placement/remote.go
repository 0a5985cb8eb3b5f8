package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/rendezvous"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
)

// Prompts that share segments arrive in all regions, and are forwarded to another region when
// one is short of free slots. Recomputing the shared segments in each region takes engine
// time from running generations. Engines can also fetch them over the links between regions.
// Regions do not report to each other which server has what cached: a region that forwards a
// prompt names its cache holder, and for other prompts the fetch goes to the preferred server
// in the remote region. If that server has nothing cached, only the setup of the fetch is lost.

// FetchSource is a server of another region from which shared segments may be fetched.
type FetchSource struct {
	Address string
	Tokens  int // tokens that it is known to have cached; 0 when that is not known
}

// remoteServer is a server of another region.
type remoteServer struct {
	address string
	hash    uint64
}

// UpdateRemote replaces the list of servers of another region.
func (p *Pool) UpdateRemote(region string, entries []backends.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.remote, region)
	p.changeRemote(region, entries, nil)
}

// ChangeRemote takes over changed servers of another region, and drops those that are gone.
func (p *Pool) ChangeRemote(region string, entries []backends.Entry, gone []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changeRemote(region, entries, gone)
}

func (p *Pool) changeRemote(region string, entries []backends.Entry, gone []string) {
	if p.remote == nil {
		p.remote = make(map[string]map[string]remoteServer)
	}
	if p.remote[region] == nil {
		p.remote[region] = make(map[string]remoteServer, len(entries))
	}
	for _, e := range entries {
		p.remote[region][e.ID] = remoteServer{address: e.Address, hash: xxhash.Sum64String(e.ID)}
	}
	for _, id := range gone {
		delete(p.remote[region], id)
	}
}

// RemoteFetchSource returns the preferred server in another region for the request's shared
// segments; none when the segments are too few to be worth fetching.
func (p *Pool) RemoteFetchSource(r *Request, region string) FetchSource {
	if r.sharedTokens() < minFetchTokens {
		return FetchSource{}
	}
	prefixHash := r.prefixHash()
	p.mu.Lock()
	defer p.mu.Unlock()
	var source FetchSource
	var top uint64
	for _, s := range p.remote[region] {
		if score := rendezvous.Score(s.hash, prefixHash); source.Address == "" || score > top {
			source.Address, top = s.address, score
		}
	}
	return source
}

// LocalFetchSource returns the server of the local region that has most of the request's
// prompt cached; none when that is too little to be worth fetching.
func (p *Pool) LocalFetchSource(r *Request, now time.Time) FetchSource {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, held := p.cacheHolder(r, p.ejectedServers(now), now)
	if s == nil || held < minFetchTokens {
		return FetchSource{}
	}
	return FetchSource{Address: s.Address, Tokens: held}
}

// applyRemoteFetch lets the candidate fetch from another region what no server of the local
// region has cached.
func (p *Pool) applyRemoteFetch(c *candidate, r *Request) {
	gain := r.RemoteSource.Tokens - c.cached
	switch {
	case c.fetchFrom != "" || r.RemoteSource.Address == "" || p.settings.FetchSecondsPerToken <= 0 || !p.enabled(features.RemoteFetch):
	case r.RemoteSource.Tokens == 0 && r.sharedTokens()-c.cached >= minFetchTokens:
		c.fetchFrom = r.RemoteSource.Address
	case gain >= minFetchTokens:
		p.applyFetch(c, r.RemoteSource.Address, float64(gain), remoteFetchFactor*p.settings.FetchSecondsPerToken)
	}
}

// remoteFetchFactor is how many times as long a fetch takes from another region.
const remoteFetchFactor = 2

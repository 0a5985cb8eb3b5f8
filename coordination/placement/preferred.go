package placement

import (
	"github.com/basilroute/basilroute/coordination/rendezvous"
	"github.com/basilroute/basilroute/service/features"
)

// preferredServer returns the server that rendezvous hashing assigns to a prefix hash; nil
// for hash 0, when there are no shared segments, and when the feature is off.
func (p *Pool) preferredServer(prefixHash uint64) *server {
	if prefixHash == 0 || !p.enabled(features.PreferredServers) {
		return nil
	}
	var best *server
	var top uint64
	for _, s := range p.servers {
		if score := rendezvous.Score(s.hash, prefixHash); best == nil || score > top {
			best, top = s, score
		}
	}
	return best
}

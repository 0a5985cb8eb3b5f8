package placement

import "github.com/basilroute/basilroute/service/features"

// preferredServer returns the server that rendezvous hashing assigns to a prefix hash; nil
// for hash 0, when there are no shared segments, and when the feature is off.
func (p *Pool) preferredServer(prefixHash uint64) *server {
	if prefixHash == 0 || !p.enabled(features.PreferredServers) {
		return nil
	}
	var best *server
	var top uint64
	for _, s := range p.servers {
		if score := rendezvousScore(s.hash, prefixHash); best == nil || score > top {
			best, top = s, score
		}
	}
	return best
}

// rendezvousScore returns the score of a server for a prefix hash; the server with the
// highest score is preferred.
func rendezvousScore(server, prefixHash uint64) uint64 {
	score := server ^ prefixHash
	score *= 0x9e3779b97f4a7c15
	score ^= score >> 29
	return score * 0xbf58476d1ce4e5b9
}

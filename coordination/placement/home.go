package placement

import "github.com/basilroute/basilroute/service/features"

// home returns the server that the hash names for a subject.
func (p *Pool) home(subject uint64) *server {
	if subject == 0 || !p.on(features.PreferredServers) {
		return nil
	}
	var best *server
	var top uint64
	for _, s := range p.servers {
		if score := rendezvous(s.hash, subject); best == nil || score > top {
			best, top = s, score
		}
	}
	return best
}

// rendezvous is the score of a server for a subject; the highest one is its home.
func rendezvous(server, subject uint64) uint64 {
	score := server ^ subject
	score *= 0x9e3779b97f4a7c15
	score ^= score >> 29
	return score * 0xbf58476d1ce4e5b9
}

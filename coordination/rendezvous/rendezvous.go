// Package rendezvous holds the score of rendezvous hashing: for a key, the candidate with the
// highest score is chosen, so that all who know the candidates agree, and one that leaves moves
// only its own keys.
package rendezvous

// Score returns the score of a candidate for a key. Both are hashes.
func Score(candidate, key uint64) uint64 {
	score := candidate ^ key
	score *= 0x9e3779b97f4a7c15
	score ^= score >> 29
	return score * 0xbf58476d1ce4e5b9
}

package spill

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/rendezvous"
)

// Load pattern: streams that are forwarded to another region, some a second from each instance.
// Opening a connection takes a round trip between regions, a good part of the objective of a
// short question. So an instance forwards to few instances of each region and mostly finds a
// connection to them open. Rendezvous hashing spreads the instances of one region evenly over
// those of another.

// PeersPerRegion is the number of instances of a region to which an instance forwards: with one,
// all its forwards would fail together.
const PeersPerRegion = 2

// ChoosePeers returns the indexes of the candidates to which an instance forwards, at most
// PeersPerRegion. Candidates are ids of the instances of one region.
func ChoosePeers(self string, candidates []string) []int {
	own := xxhash.Sum64String(self)
	ranked := make([]int, len(candidates))
	scores := make([]uint64, len(candidates))
	for i, id := range candidates {
		ranked[i], scores[i] = i, rendezvous.Score(xxhash.Sum64String(id), own)
	}
	slices.SortFunc(ranked, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return ranked[:min(len(ranked), PeersPerRegion)]
}

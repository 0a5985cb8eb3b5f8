package configwatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerDomain is how many instances of a failure domain watch the store.
// The others learn from them, so that watches grow with the domains and not with
// the fleet.
const WatchersPerDomain = 2

// Candidate is a live instance of the own failure domain.
type Candidate struct {
	ID           string
	StoreFailing bool // its last call of the store failed
	LinkMbps     int  // rate of its machine's link; 0 when not known
}

// Watchers returns the ids of those that are to watch the store, count at most. Every instance with
// the same view comes to the same watchers. One that does not reach the store makes
// room for another; when none reaches it, the first ones go on trying. Wide links go first: a
// watcher hands on to all others what it reads.
func Watchers(candidates []Candidate, count int) []string {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b Candidate) int {
		if a.StoreFailing != b.StoreFailing {
			if a.StoreFailing {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(watchScore(b.ID), watchScore(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	var out []string
	for _, c := range ranked[:min(len(ranked), count)] {
		out = append(out, c.ID)
	}
	return out
}

// RegionWatchers returns the watchers of a region by failure domain: one in each, so that a
// domain that is cut off still learns, and two where the region has one domain only, so
// that none of its instances depends on a single one. An instance whose watcher fails
// follows that of another domain.
func RegionWatchers(byDomain map[string][]Candidate) map[string][]string {
	count := 1
	if len(byDomain) == 1 {
		count = WatchersPerDomain
	}
	out := make(map[string][]string, len(byDomain))
	for domain, candidates := range byDomain {
		out[domain] = Watchers(candidates, count)
	}
	return out
}

// IsWatcher tells whether the instance with the id is to watch the store.
func IsWatcher(id string, candidates []Candidate) bool {
	return slices.Contains(Watchers(candidates, WatchersPerDomain), id)
}

func watchScore(id string) uint64 { return xxhash.Sum64String("configuration watcher\x00" + id) }

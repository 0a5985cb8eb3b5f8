package configwatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerDomain is how many instances of a failure domain watch the store. The
// others get updates from them, so that the number of watches grows with the domains
// and not with the instances.
const WatchersPerDomain = 2

// Candidate is a live instance that may be chosen as a watcher.
type Candidate struct {
	ID           string
	StoreFailing bool // its last call to the store failed
	LinkMbps     int  // rate of its machine's network link; 0 when not known
}

// Watchers returns the ids of the instances that have to watch the store, at most count.
// Every instance with the same view computes the same watchers. An instance that cannot
// reach the store is replaced by another one; if none reaches it, the first ones keep
// trying. Wide links come first, because a watcher sends what it reads to all others.
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

// RegionWatchers returns the watchers of a region by failure domain: one in each, so
// that a domain that is cut off still gets updates, and two where the region has only
// one domain, so that its instances do not depend on a single one. An instance whose
// watcher fails follows the watcher of another domain.
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

// IsWatcher reports whether the instance with the id has to watch the store.
func IsWatcher(id string, candidates []Candidate) bool {
	return slices.Contains(Watchers(candidates, WatchersPerDomain), id)
}

func watchScore(id string) uint64 { return xxhash.Sum64String("configuration watcher\x00" + id) }

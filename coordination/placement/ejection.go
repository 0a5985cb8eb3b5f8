package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// ejectedServers returns the servers that are ejected. Unreachable servers always are; of the
// others at most half are, since a service whose servers all fail part of their requests is
// better served in part than not at all.
func (p *Pool) ejectedServers(now time.Time) map[*server]bool {
	var failing []*server
	for _, s := range p.servers {
		if now.Before(s.ejectedUntil) && (s.down || p.enabled(features.Ejection)) {
			failing = append(failing, s)
		}
	}
	if len(failing) == 0 {
		return nil
	}
	slices.SortFunc(failing, func(a, b *server) int { return cmp.Compare(b.failureRate, a.failureRate) })
	ejected := make(map[*server]bool, len(failing))
	down := 0
	for _, s := range failing {
		if s.down {
			down++
			ejected[s] = true
		}
	}
	for _, s := range failing {
		if !s.down && 2*(len(ejected)-down) < len(p.servers)-down-1 {
			ejected[s] = true
		}
	}
	return ejected
}

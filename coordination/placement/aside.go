package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// setAside returns the servers that failed too often; never more than half, since
// a service whose servers all fail in part is better served in part than not.
func (p *Pool) setAside(now time.Time) map[*server]bool {
	var failing []*server
	for _, s := range p.servers {
		if now.Before(s.asideUntil) && (s.down || p.on(features.Ejection)) {
			failing = append(failing, s)
		}
	}
	if len(failing) == 0 {
		return nil
	}
	slices.SortFunc(failing, func(a, b *server) int { return cmp.Compare(b.failures, a.failures) })
	out := make(map[*server]bool, len(failing))
	down := 0
	for _, s := range failing {
		if s.down {
			down++
			out[s] = true
		}
	}
	for _, s := range failing {
		if !s.down && 2*(len(out)-down) < len(p.servers)-down-1 {
			out[s] = true
		}
	}
	return out
}

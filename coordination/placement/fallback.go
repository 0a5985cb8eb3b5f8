package placement

import (
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// fallbackFailureLimit is the failure rate up to which an ejected server is still worth a
// request that would otherwise be refused: above it nearly all requests are lost.
const fallbackFailureLimit = 0.9

// ejectedFallback returns the cheapest of the servers that are ejected because they fail part
// of their requests, or nil when none would respond in time. In a traffic spike they still
// carry what the others cannot. The caller has to allow it: it is not for requests that may
// take effect and then look as if they had not.
func (p *Pool) ejectedFallback(r *Request, now time.Time) *candidate {
	if !r.AllowEjected || !p.enabled(features.EjectedFallback) {
		return nil
	}
	ejected := p.ejectedServers(now)
	best := p.cheapest(r, ejected, now, func(s *server) bool {
		return ejected[s] && !s.down && s.failureRate <= fallbackFailureLimit
	}).best
	if best == nil || !best.onTime(r, now) {
		return nil
	}
	return best
}

package placement

import (
	"time"

	"github.com/basilroute/basilroute/service/features"
)

// lastResortLimit is the share of failures up to which a server is still worth a request
// that would be refused otherwise: above it nearly all are lost.
const lastResortLimit = 0.9

// lastResort returns the cheapest server of those that are set aside because they fail a
// part of their requests, nil when none would answer in time. At a peak they still carry
// what the others cannot. It is not for requests
// that may take effect and then look as if they had not.
func (p *Pool) lastResort(w *Request, now time.Time) *candidate {
	if !w.AllowEjected || !p.on(features.EjectedFallback) {
		return nil
	}
	aside := p.setAside(now)
	best, _ := p.cheapest(w, aside, now, func(s *server) bool {
		return aside[s] && !s.down && s.failures <= lastResortLimit
	})
	if best == nil || !best.onTime(w, now) {
		return nil
	}
	return best
}

package httproute

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/spill"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/routes"
)

// choose places the request: on a server of the own region that answers within the
// objective; else in another region that does; else late in the own, or in another.
func (f *Front) choose(r *request, now time.Time) (placement.Choice, *Remote, *failure) {
	homes, anywhere := routes.AllowedRegions(r.route, r.account)
	pool := f.Local.Pool(r.service)
	here := (anywhere || slices.Contains(homes, f.Region)) && !slices.Contains(r.tried, f.Region)
	var own placement.Choice
	own.Reason = placement.ReasonNoServer
	if here {
		if remote := f.early(r, pool, homes, anywhere, now); remote != nil {
			return placement.Choice{}, remote, nil
		}
		r.work.RemoteSource = f.farSource(r, pool, homes, anywhere)
		r.work.RejectIfLate = true
		if own = pool.Place(&r.work, now); own.Placement != nil {
			return own, nil, nil
		}
	}
	remote := f.bestRemote(r, r.tried, homes, anywhere)
	left := r.work.Objective - now.Sub(r.arrived)
	if remote != nil && (r.work.Objective == 0 || remote.arrives() <= left || own.Reason == placement.ReasonNoServer) {
		return placement.Choice{}, remote, nil
	}
	if here && own.Reason != placement.ReasonNoServer {
		r.work.RejectIfLate = false
		if own = pool.Place(&r.work, now); own.Placement != nil {
			return own, nil, nil
		}
	}
	f.noteUnplaced(r, here, own, remote)
	return placement.Choice{}, nil, refusalOf(own)
}

// noteUnplaced keeps why a request went nowhere: what the best server here and the best
// other region would have taken.
func (f *Front) noteUnplaced(r *request, here bool, own placement.Choice, remote *Remote) {
	attrs := []any{"here", here, "reason", string(own.Reason), "expected_ms", own.ExpectedFirstByte.Milliseconds(),
		"running", own.Running, "backlog", own.BacklogTokens}
	if remote != nil {
		attrs = append(attrs, "region", remote.Region, "region_expected_ms", remote.arrives().Milliseconds())
	}
	r.note(eventUnplaced, attrs...)
}

func refusalOf(c placement.Choice) *failure {
	f := &failure{run: notRun, retryAfter: c.RetryAfter}
	switch c.Reason {
	case placement.ReasonCold:
		f.reason = reasonCold
	case placement.ReasonFull:
		f.reason = reasonLoad
	default:
		f.reason = reasonNoServer
	}
	return f
}

// arrives is the expected time to the first byte by way of the region.
func (r *Remote) arrives() time.Duration { return r.RoundTrip + r.ExpectedFirstByte }

// early returns the region that a request should leave for although the own one may
// still take it, or nil. A repeat stays: it has cost time already.
func (f *Front) early(r *request, pool *placement.Pool, homes []string, anywhere bool, now time.Time) *Remote {
	if r.tries > 1 {
		return nil
	}
	running, slots := pool.Occupancy(now)
	if !f.Features.On(features.SpillByOccupancy) {
		running = 0
	}
	own := spill.Occupancy{Running: running, Slots: slots, StallFraction: pool.StallFraction(now)}
	if !own.ShouldSpill() {
		return nil
	}
	remotes := f.permitted(r, nil, homes, anywhere)
	regions := make([]spill.Region, len(remotes))
	for i := range remotes {
		o := &remotes[i]
		regions[i] = spill.Region{
			Occupancy: spill.Occupancy{Running: float64(o.Running), Slots: float64(o.Running + o.FreeSlots), StallFraction: o.StallFraction}, ExpectedFirstByte: o.arrives(),
		}
	}
	chosen := spill.ChooseRegion(own, regions, r.work.Objective-now.Sub(r.arrived), rand.Float64())
	if chosen < 0 {
		return nil
	}
	return &remotes[chosen]
}

// farSource returns a server of another region that may hold the request's shared parts:
// of the permitted region at whose servers most requests run, since it has read most.
func (f *Front) farSource(r *request, pool *placement.Pool, homes []string, anywhere bool) placement.FetchSource {
	if len(r.work.Segments) < 2 {
		return placement.FetchSource{}
	}
	most := -1
	region := ""
	for _, o := range f.Remotes.Remotes(r.service) {
		allowed := anywhere || slices.Contains(homes, o.Region)
		if allowed && o.Servers > 0 && o.Running > most {
			region, most = o.Region, o.Running
		}
	}
	return pool.RemoteFetchSource(&r.work, region)
}

// holder returns the server here that a region to which the request is forwarded may fetch
// shared parts from; none where the request's homes leave out the own region.
func (f *Front) holder(r *request, now time.Time) placement.FetchSource {
	homes, anywhere := routes.AllowedRegions(r.route, r.account)
	if !anywhere && !slices.Contains(homes, f.Region) {
		return placement.FetchSource{}
	}
	return f.Local.Pool(r.service).LocalFetchSource(&r.work, now)
}

// bestRemote returns the permitted region that should answer first, or nil.
func (f *Front) bestRemote(r *request, tried, homes []string, anywhere bool) *Remote {
	var best *Remote
	list := f.permitted(r, tried, homes, anywhere)
	for i := range list {
		if best == nil || list[i].arrives() < best.arrives() {
			best = &list[i]
		}
	}
	return best
}

// permitted returns the other regions that may run the request and have servers, with
// what this region sent there since they spoke.
func (f *Front) permitted(r *request, tried, homes []string, anywhere bool) []Remote {
	_, instances := f.Remotes.InstanceCounts()
	var out []Remote
	for _, o := range f.Remotes.Remotes(r.service) {
		allowed := anywhere || slices.Contains(homes, o.Region)
		if !allowed || o.Servers == 0 || slices.Contains(tried, o.Region) {
			continue
		}
		f.sent.correct(&o, r.service, instances)
		o.ExpectedFirstByte += placement.ExtraPrefillTime(&r.work)
		out = append(out, o)
	}
	return out
}

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

// chooseOptions says which servers are left out.
type chooseOptions struct {
	acceptLate bool // local servers that respond too late are not left out
	skipLocal  bool // the servers of the local region are left out
}

// choose places the request on a server of the local region that responds within the
// objective, else in another region that does, else on a late server of the local region,
// else in another region.
func (f *Front) choose(r *request, now time.Time, o chooseOptions) (placement.Choice, *Remote, *failure) {
	homes, anywhere := routes.AllowedRegions(r.route, r.account)
	pool := f.Local.Pool(r.service)
	localAllowed := (anywhere || slices.Contains(homes, f.Region)) && !slices.Contains(r.triedRegions, f.Region)
	var local placement.Choice
	local.Reason = placement.ReasonNoServer
	if localAllowed && o.skipLocal {
		localAllowed, local.Reason = false, placement.ReasonFull
	}
	if localAllowed {
		if remote := f.spillTarget(r, pool, homes, anywhere, now); remote != nil {
			return placement.Choice{}, remote, nil
		}
		r.work.RemoteSource = f.remoteFetchSource(r, pool, homes, anywhere)
		r.work.RejectIfLate = true
		if local = pool.Place(&r.work, now); local.Placement != nil {
			return local, nil, nil
		}
	}
	remote := f.bestRemote(r, r.triedRegions, homes, anywhere)
	left := r.work.Objective - now.Sub(r.arrived)
	if remote != nil && (r.work.Objective == 0 || remote.firstByteTime() <= left || noneTakesWork(local.Reason) || r.work.Waits && o.acceptLate) {
		return placement.Choice{}, remote, nil
	}
	// The only servers of a stream's build may be ejected ones.
	if o.acceptLate && localAllowed && (local.Reason != placement.ReasonNoServer || r.work.Build.Known) {
		r.work.RejectIfLate = false
		if local = pool.Place(&r.work, now); local.Placement != nil {
			return local, nil, nil
		}
	}
	if remote == nil && local.Reason == placement.ReasonNoServer {
		if again := f.secondTry(r, homes, anywhere); again != nil {
			return placement.Choice{}, again, nil
		}
	}
	if !r.work.Waits {
		f.recordUnplaced(r, localAllowed, local, remote)
	}
	if local.Reason == placement.ReasonNoServer && f.othersFull(r, homes, anywhere) {
		local.Reason = placement.ReasonFull
	}
	return placement.Choice{}, nil, refusalOf(local)
}

// othersFull reports whether a request that may not run in the local region has found no room in
// those in which it may.
func (f *Front) othersFull(r *request, homes []string, anywhere bool) bool {
	return !anywhere && !slices.Contains(homes, f.Region) && f.forwardsByRoom(r) && slices.ContainsFunc(f.Remotes.Remotes(r.service), func(o Remote) bool {
		return slices.Contains(homes, o.Region) && o.Servers > 0
	})
}

// hasRoom reports whether a region may get the request by its room. A request that may not run in the
// local region may also wait there for a slot.
func (f *Front) hasRoom(r *request, remote *Remote, homes []string, anywhere bool) bool {
	precedence := f.precedence(r)
	if remote.FreeSlots > 0 || precedence.Urgent(r.work.Urgency) {
		remote.Wait = 0
		return true
	}
	return precedence.Enforced && !anywhere && !slices.Contains(homes, f.Region)
}

// precedence returns the precedence among the requests of a request's service.
func (f *Front) precedence(r *request) routes.Precedence {
	if r.config == nil || !f.Features.On(features.UrgentFirst) {
		return routes.Precedence{}
	}
	return r.config.Precedence(r.service)
}

// forwardsByRoom reports whether requests of the service are forwarded only to regions with room,
// see spill.Rooms: where requests compete for slots by urgency, and where engines share machines, so
// that their speed and their room change within a second. Plain servers queue requests, so that a
// region without a free slot may still be the faster one.
func (f *Front) forwardsByRoom(r *request) bool {
	if !f.Features.On(features.RegionRoom) {
		return false
	}
	return f.precedence(r).Enforced || r.hasEngines() && f.Local.Pool(r.service).SharedMachines()
}

// hasEngines reports whether the servers of the request's service are model engines.
func (r *request) hasEngines() bool {
	if r.config == nil {
		return false
	}
	service := r.config.Services[r.service]
	return service != nil && service.Engine != nil
}

// noneTakesWork reports whether a refusal means that no server takes a request, whether late or not.
func noneTakesWork(reason placement.Reason) bool {
	return reason == placement.ReasonNoServer || reason == placement.ReasonResting
}

// recordUnplaced records why a request was not placed: the expected times of the best
// local server and of the best other region.
func (f *Front) recordUnplaced(r *request, localAllowed bool, local placement.Choice, remote *Remote) {
	attrs := []any{"here", localAllowed, "reason", string(local.Reason), "expected_ms", local.ExpectedFirstByte.Milliseconds(),
		"running", local.Running, "backlog", local.BacklogTokens}
	if remote != nil {
		attrs = append(attrs, "region", remote.Region, "region_expected_ms", remote.firstByteTime().Milliseconds())
	}
	r.record(eventUnplaced, attrs...)
}

func refusalOf(c placement.Choice) *failure {
	f := &failure{run: runNotRun, retryAfter: c.RetryAfter}
	switch c.Reason {
	case placement.ReasonCold:
		f.reason = reasonCold
	case placement.ReasonFull, placement.ReasonResting:
		f.reason = reasonLoad
	default:
		f.reason = reasonNoServer
	}
	return f
}

// firstByteTime returns the expected time to the first byte through the region.
func (r *Remote) firstByteTime() time.Duration { return r.RoundTrip + r.Wait + r.ExpectedFirstByte }

// spillTarget returns the region to which a request should spill although the local region
// may still accept it, or nil. A retry does not spill, because it has already lost time.
func (f *Front) spillTarget(r *request, pool *placement.Pool, homes []string, anywhere bool, now time.Time) *Remote {
	if r.tries > 1 {
		return nil
	}
	running, slots := pool.Occupancy(r.work.Urgency, now)
	if !f.Features.On(features.SpillByOccupancy) {
		running = 0
	}
	local := spill.Occupancy{Running: running, Slots: slots, StallFraction: pool.StallFraction(now)}
	if f.precedence(r).Urgent(r.work.Urgency) {
		local.StallFraction = 0 // its objective is shorter than what another region would save
	}
	if !local.ShouldSpill() {
		return nil
	}
	remotes := f.permittedRemotes(r, nil, homes, anywhere)
	regions := make([]spill.Region, len(remotes))
	for i := range remotes {
		o := &remotes[i]
		regions[i] = spill.Region{
			Occupancy: spill.Occupancy{Running: float64(o.Running), Slots: float64(o.Running + o.FreeSlots), StallFraction: o.StallFraction}, ExpectedFirstByte: o.firstByteTime(),
		}
	}
	chosen := spill.ChooseRegion(local, regions, r.work.Objective-now.Sub(r.arrived), rand.Float64())
	if chosen < 0 {
		return nil
	}
	return &remotes[chosen]
}

// remoteFetchSource returns a server of another region that may have the request's shared
// prompt segments cached. It takes the permitted region with the most running requests,
// whose servers have prefilled the most.
func (f *Front) remoteFetchSource(r *request, pool *placement.Pool, homes []string, anywhere bool) placement.FetchSource {
	if len(r.work.Segments) < 2 {
		return placement.FetchSource{}
	}
	maxRunning := -1
	region := ""
	for _, o := range f.Remotes.Remotes(r.service) {
		allowed := anywhere || slices.Contains(homes, o.Region)
		if allowed && o.Servers > 0 && o.Running > maxRunning {
			region, maxRunning = o.Region, o.Running
		}
	}
	return pool.RemoteFetchSource(&r.work, region)
}

// localFetchSource returns the local server from which the region that a request is
// forwarded to may fetch shared prompt segments, or none if the request's home regions
// exclude the local one.
func (f *Front) localFetchSource(r *request, now time.Time) placement.FetchSource {
	homes, anywhere := routes.AllowedRegions(r.route, r.account)
	if !anywhere && !slices.Contains(homes, f.Region) {
		return placement.FetchSource{}
	}
	return f.Local.Pool(r.service).LocalFetchSource(&r.work, now)
}

// bestRemote returns the permitted region with the lowest expected time to the first byte,
// or nil.
func (f *Front) bestRemote(r *request, tried, homes []string, anywhere bool) *Remote {
	var best *Remote
	list := f.permittedRemotes(r, tried, homes, anywhere)
	for i := range list {
		if best == nil || list[i].firstByteTime() < best.firstByteTime() {
			best = &list[i]
		}
	}
	return best
}

// hasBuild reports whether a region has a server of the build that a request has to go on at.
func (f *Front) hasBuild(r *request, region string, now time.Time) bool {
	build := r.requiredBuild()
	return !build.Known || f.Local.Backends.HasVersion(r.service, region, build.Version, now)
}

// permittedRemotes returns the other regions that may run the request and have servers,
// adjusted by the load that this region sent there since their last reports.
func (f *Front) permittedRemotes(r *request, tried, homes []string, anywhere bool) []Remote {
	_, instances := f.Remotes.InstanceCounts()
	byRoom, now := f.forwardsByRoom(r), time.Now()
	var out []Remote
	for _, o := range f.Remotes.Remotes(r.service) {
		allowed := anywhere || slices.Contains(homes, o.Region)
		if !allowed || slices.Contains(tried, o.Region) || !f.hasBuild(r, o.Region, now) {
			continue
		}
		if !byRoom {
			f.sent.adjust(&o, r.service, instances)
		} else if !f.rooms.update(&o, r.service, instances, now) {
			continue
		}
		if o.Servers == 0 || byRoom && !f.hasRoom(r, &o, homes, anywhere) {
			continue
		}
		o.ExpectedFirstByte += placement.ExtraPrefillTime(&r.work, o.PrefillRate)
		out = append(out, o)
	}
	return out
}

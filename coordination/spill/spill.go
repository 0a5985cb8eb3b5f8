// Package spill decides when a request leaves its region although a server there could
// still accept it.
//
// # Workload
//
// The traffic spikes of the regions come at different times: one region has its slots full
// while another is nearly idle. Some requests may run in a few regions only. If every request
// stayed until its region is full, those that may run anywhere would hold the slots that the
// bound requests need, and these would be refused beside an idle region. So requests spill
// early, the more of them the fuller the region is, and each goes to the least loaded region
// that may run it and still responds in time. The bound requests find free slots in their own
// region.
//
// An engine that prefills many prompts decodes all running generations slowly: they miss
// their deadlines while its slots are not full, and fill the slots only gradually because
// they take so long. So requests also spill when the stall fraction of the region is high,
// the more of them the higher it is, to a region where it is lower.
//
// Only a fraction of the requests spills, drawn at random: the load report of the remote
// region is a second or two old, and all instances act on the same report at once. With a
// fraction that grows with the occupancy the regions converge without oscillating.
//
// The package does no I/O.
package spill

import "time"

const (
	// StartOccupancy is the occupancy of the local region at which requests begin to spill.
	// Below it, bursts of a second find free slots locally, and forwarding costs every request a
	// round trip.
	StartOccupancy = 0.7
	// fullOccupancy is the occupancy at which all requests spill that may: with fewer free slots
	// some servers are full already, since prompts that share segments go to the same server.
	fullOccupancy = 0.95
	// minUtilizationGain is by how much the utilization of the remote region has to be lower.
	// What has started there since its last report is not known; with a smaller value two regions
	// in a traffic spike send each other requests that both refuse.
	minUtilizationGain = 0.25
	// stallSpillStart and stallSpillFull are the same limits for the stall fraction: at the first,
	// generations take half as long again as they need, at the second three times as long.
	stallSpillStart = 0.35
	stallSpillFull  = 0.7
	// minStallGain is by how much the stall fraction of the remote region has to be lower.
	minStallGain = 0.12
	// objectiveFraction is the fraction of the time left within the objective that the response
	// may be expected to take by way of the remote region; the rest covers what the estimate
	// leaves out.
	objectiveFraction = 0.8
)

// Occupancy is how full and how slow the servers of a region are.
type Occupancy struct {
	Running       float64 // requests
	Slots         float64 // requests that the servers are sent at most
	StallFraction float64 // fraction of the servers' time that does not go into decoding running generations
}

// Utilization returns the fraction of the slots that is in use; 1 when there are none.
func (o Occupancy) Utilization() float64 {
	if o.Slots <= 0 {
		return 1
	}
	return o.Running / o.Slots
}

// spillByOccupancy and spillByStall return the fraction of the requests that should spill for
// lack of slots and for lack of speed. Values outside 0 to 1 mean none and all.
func (o Occupancy) spillByOccupancy() float64 {
	return (o.Utilization() - StartOccupancy) / (fullOccupancy - StartOccupancy)
}
func (o Occupancy) spillByStall() float64 {
	return (o.StallFraction - stallSpillStart) / (stallSpillFull - stallSpillStart)
}

// ShouldSpill reports whether any request should leave the region.
func (o Occupancy) ShouldSpill() bool { return o.spillByOccupancy() > 0 || o.spillByStall() > 0 }

// Region is another region that may run the request.
type Region struct {
	Occupancy
	ExpectedFirstByte time.Duration // expected time to the first byte by way of it
}

// ChooseRegion returns the index of the region to which the request should spill now, and -1
// when it should stay. timeLeft is what is left of its objective, 0 when it has none; draw is
// uniform in [0,1).
func ChooseRegion(local Occupancy, remotes []Region, timeLeft time.Duration, draw float64) int {
	byOccupancy, byStall := draw < local.spillByOccupancy(), draw < local.spillByStall()
	best := -1
	for i := range remotes {
		remote := &remotes[i]
		if timeLeft > 0 && remote.ExpectedFirstByte > time.Duration(objectiveFraction*float64(timeLeft)) {
			continue
		}
		better := byOccupancy && remote.Utilization() <= local.Utilization()-minUtilizationGain || byStall && remote.StallFraction <= local.StallFraction-minStallGain
		if !better || remote.spillByOccupancy() > 0 && remote.Utilization() > local.Utilization()-minUtilizationGain {
			continue // not better, or faster but about to be full itself
		}
		if best < 0 || remote.load() < remotes[best].load() {
			best = i
		}
	}
	return best
}

// load orders regions by their scarcer resource, slots or speed.
func (o Occupancy) load() float64 { return max(o.Utilization(), o.StallFraction) }

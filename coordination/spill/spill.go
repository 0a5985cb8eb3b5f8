// Package spill decides when a request leaves its region although a server there could
// still take it.
//
// # The load that it answers
//
// The regions' peaks come at different times: one has its slots full while another is
// nearly idle. Some requests may run in a few regions only. As long as every request
// stays until its region is full, those that could run anywhere hold the slots which the
// bound ones need, and these are refused beside an idle region. So requests leave early,
// the more of them the fuller the region is, and each goes to the emptiest region that
// may take it and still answers in time. The bound ones find room at home.
//
// An engine that reads many prompts goes on slowly with all answers that run: they miss
// their deadlines while its slots are not full, and fill them by and by only because they
// take so long. So requests leave, too, the more of them the more of the servers' time
// goes elsewhere than into running answers, for a region where less of it does.
//
// Only a share of the requests leaves, drawn at random: the word of the other region is
// a second or two old, and all instances act on the same word at once. With a share that
// grows with the occupancy the regions draw level without swinging.
//
// The package does no I/O.
package spill

import "time"

const (
	// StartOccupancy is the occupancy of the own region at which requests begin to leave. Below
	// it bursts of a second find room at home, and crossing costs every request the way
	// there and back.
	StartOccupancy = 0.7
	// to is the occupancy at which all leave that may: with less room left some servers
	// are full already, since prompts that share parts belong together.
	to = 0.95
	// margin is by how much emptier the other region has to be. What has begun to run
	// there since it spoke is not known; with less two regions at their peak send each
	// other requests that both refuse.
	margin = 0.25
	// slowedFrom and slowedTo are the same for the part of the servers' time that does not
	// go into running answers: at the first these take half as long again as they need, at
	// the second three times as long.
	slowedFrom = 0.35
	slowedTo   = 0.7
	// slowedMargin is by how much less that part has to be in the other region.
	slowedMargin = 0.12
	// timeShare is the part of the time left within the objective that the answer may
	// be expected to take by way of the other region; the rest is for what the estimate
	// does not see.
	timeShare = 0.8
)

// Occupancy is how full and how slow the servers of a region are.
type Occupancy struct {
	Running       float64 // requests
	Slots         float64 // requests that the servers are sent at most
	StallFraction float64 // part of the servers' time that does not go into running answers
}

// Utilization returns the part of the slots that is taken; 1 where there are none.
func (o Occupancy) Utilization() float64 {
	if o.Slots <= 0 {
		return 1
	}
	return o.Running / o.Slots
}

// byRoom and bySpeed return the part of the requests that should leave a region for want
// of slots and of speed.
func (o Occupancy) byRoom() float64 {
	return (o.Utilization() - StartOccupancy) / (to - StartOccupancy)
}
func (o Occupancy) bySpeed() float64 { return (o.StallFraction - slowedFrom) / (slowedTo - slowedFrom) }

// ShouldSpill tells whether any request should leave the region.
func (o Occupancy) ShouldSpill() bool { return o.byRoom() > 0 || o.bySpeed() > 0 }

// Region is another region that may take the request.
type Region struct {
	Occupancy
	ExpectedFirstByte time.Duration // until the first byte by way of it, as expected
}

// ChooseRegion returns the index of the region to which the request should go now, and -1 when
// it should stay. left is what is left of its objective, 0 when it has none; draw is
// uniform in [0,1).
func ChooseRegion(own Occupancy, others []Region, left time.Duration, draw float64) int {
	byRoom, bySpeed := draw < own.byRoom(), draw < own.bySpeed()
	best := -1
	for i := range others {
		o := &others[i]
		if left > 0 && o.ExpectedFirstByte > time.Duration(timeShare*float64(left)) {
			continue
		}
		better := byRoom && o.Utilization() <= own.Utilization()-margin || bySpeed && o.StallFraction <= own.StallFraction-slowedMargin
		if !better || o.byRoom() > 0 && o.Utilization() > own.Utilization()-margin {
			continue // not better, or faster but about to be full itself
		}
		if best < 0 || o.load() < others[best].load() {
			best = i
		}
	}
	return best
}

// load orders regions by what they lack most.
func (o Occupancy) load() float64 { return max(o.Utilization(), o.StallFraction) }

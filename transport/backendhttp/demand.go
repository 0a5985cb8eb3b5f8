package backendhttp

import "time"

// Load pattern: streams that are forwarded to another region in bursts. A connection takes a round
// trip between regions to open, so the requests of a burst find one only if it was dialled before
// they came.

const (
	// demandWindow is the length of the two windows in which the most requests in flight are
	// remembered.
	demandWindow = 2 * time.Second
	// demandTTL is how long after the last request connections are kept ready.
	demandTTL = 4 * time.Second
	// redialDelay is the pause after the first dial that failed. It doubles up to maxRedialDelay.
	redialDelay    = 250 * time.Millisecond
	maxRedialDelay = 4 * time.Second
)

// demand decides how many connections to one address are dialled ahead. It does no I/O.
type demand struct {
	maxReady int // most idle connections that are kept ready

	inFlight    int // requests
	windowStart time.Time
	peak        int // most requests in flight in this window
	lastPeak    int // the same in the window before
	lastRequest time.Time

	dialling int
	failures int // consecutive
	redialAt time.Time
}

func (d *demand) requestStarted(now time.Time) {
	d.rotate(now)
	d.inFlight++
	d.peak = max(d.peak, d.inFlight)
	d.lastRequest = now
}

func (d *demand) requestEnded(now time.Time) {
	d.rotate(now)
	d.inFlight--
}

// rotate starts a new window if the current one is over.
func (d *demand) rotate(now time.Time) {
	age := now.Sub(d.windowStart)
	if age < demandWindow {
		return
	}
	d.lastPeak = d.peak
	if age >= 2*demandWindow {
		d.lastPeak = d.inFlight // nothing started or ended in the window before
	}
	d.peak, d.windowStart = d.inFlight, now
}

// toDial returns how many connections to dial now, with some idle ones that can still be used. A
// server that could not be reached gets one at a time, and none during a pause.
func (d *demand) toDial(now time.Time, idle int) int {
	if d.expired(now) || now.Before(d.redialAt) {
		return 0
	}
	d.rotate(now)
	ready := min(max(d.peak, d.lastPeak)+1, d.maxReady)
	missing := ready - idle - d.dialling
	if d.failures > 0 {
		missing = min(missing, 1-d.dialling)
	}
	return max(missing, 0)
}

// expired reports whether no request has been sent for demandTTL.
func (d *demand) expired(now time.Time) bool { return now.Sub(d.lastRequest) >= demandTTL }

// unused reports whether the demand can be forgotten.
func (d *demand) unused(now time.Time) bool {
	return d.expired(now) && d.inFlight == 0 && d.dialling == 0
}

func (d *demand) dialStarted(n int) { d.dialling += n }

func (d *demand) dialEnded() { d.dialling-- }

// reached records whether a dial got a connection. Dials that fail during a pause belong to the
// failure that started it.
func (d *demand) reached(now time.Time, ok bool) {
	switch {
	case ok:
		d.failures, d.redialAt = 0, time.Time{}
	case !now.Before(d.redialAt):
		d.redialAt = now.Add(min(redialDelay<<min(d.failures, 8), maxRedialDelay))
		d.failures++
	}
}

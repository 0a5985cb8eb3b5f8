package httproute

import (
	"net/http"

	"github.com/basilroute/basilroute/transport/outcome"
)

// endingOf returns how a request has ended. r is nil for a forwarded request and for one that was refused
// before its route was known, and failed if the response of a backend server was passed on whole.
func endingOf(w *outcome.Writer, r *request, failed *failure) outcome.Ending {
	if failed != nil && failed.reason == reasonPanic && !failed.remote {
		return cutByPanic
	}
	cut := failed != nil && failed.responseStarted || r != nil && r.callerLeft
	if gone, ok := w.CallerGone(cut); ok {
		return gone
	}
	switch {
	case failed == nil:
		return outcome.Ending{Outcome: outcome.Answered, By: outcome.ByNothing}
	case failed.responseStarted && failed.reason == reasonDeadline:
		return outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByBreak}
	case failed.responseStarted:
		return outcome.Ending{Outcome: outcome.Cut, By: cutBy(r, failed)}
	case failed.status() == http.StatusGatewayTimeout:
		return outcome.Ending{Outcome: outcome.Deadline, By: outcome.ByStatus}
	case failed.reason == reasonStopping && failed.run != runNotRun:
		return outcome.Ending{Outcome: outcome.Refused, By: outcome.ByShutdown}
	}
	return outcome.Ending{Outcome: outcome.Refused, By: string(failed.reason)}
}

// recordInterruption records that the response of a server was broken off.
func (r *request) recordInterruption(f *failure, rep *reply) {
	f.forwarded = rep.forwarded
	r.interruption = f
}

// cutBy returns what cut off a response that had begun: what broke it off, and not why no other server
// went on with it.
func cutBy(r *request, failed *failure) string {
	cut := failed
	if r != nil && r.interruption != nil {
		cut = r.interruption
	}
	switch {
	case failed.reason == reasonStopping:
		return outcome.ByShutdown
	case cut.reason == reasonSilent:
		return outcome.BySilence
	case cut.forwarded:
		return outcome.ByPeer
	}
	return outcome.ByServer
}

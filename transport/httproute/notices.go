package httproute

import (
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
)

// recordNotices records what a server says about itself in an answer. A misdirected request was
// answered by another server than the one that it was placed on.
func (l *LocalDispatcher) recordNotices(o *outbound, placed *placement.Placement, meta *ResponseMeta, now time.Time) {
	if meta.Misdirected {
		return
	}
	server := &placed.Server.Server
	if meta.Leaving {
		l.Pool(o.service).RecordLeaving(placed)
		if l.Backends.RecordLeaving(server, now) {
			l.Metrics.noticed(o.service, noticeLeaving)
			l.Log.Info("server_leaving", "server", server.ID, "service", o.service, "request", o.id)
		}
	}
	if meta.Rest > 0 {
		until := now.Add(meta.Rest)
		l.Pool(o.service).RecordRest(placed, until)
		if l.Backends.RecordRest(server, until, now) {
			l.Metrics.noticed(o.service, noticeRest)
			l.Log.Info("server_rests", "server", server.ID, "service", o.service, "request", o.id, "rest_ms", meta.Rest.Milliseconds())
		}
	}
}

// turnedAway returns the failure of a request that its server did not run. With a server that rests
// it is known when the caller's next attempt can be placed.
func (l *LocalDispatcher) turnedAway(o *outbound, server string, meta *ResponseMeta, now time.Time) *failure {
	f := &failure{run: runNotRun, reason: reasonShed, server: server, sent: true}
	if meta.Rest > 0 {
		f.retryAfter = max(l.Pool(o.service).RetryAfter(o.work, now), minRetryAfter)
	}
	return f
}

// shortenRetryAfter lets the caller of a request that a resting server turned away return at once if
// another region, or by now another server, would take it.
func (f *Front) shortenRetryAfter(r *request, failed *failure) {
	if failed.reason != reasonShed || failed.retryAfter <= minRetryAfter {
		return
	}
	again := r.work
	again.Exclude = nil
	if f.hasAlternative(r, &again, r.triedRegions) {
		failed.retryAfter = minRetryAfter
	}
}

// countAgainstNotice counts a request that is about to be sent to a server that wants none.
func (l *LocalDispatcher) countAgainstNotice(service string, server *backends.Server, now time.Time) {
	notice := l.Backends.Notice(server)
	if notice.Leaving {
		l.Metrics.sentAgainst(service, noticeLeaving)
	}
	if notice.Resting(now) {
		l.Metrics.sentAgainst(service, noticeRest)
	}
}

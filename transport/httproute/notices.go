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
	if meta.Rest > 0 && l.Backends.RecordRest(server, now.Add(meta.Rest), now) {
		l.Metrics.noticed(o.service, noticeRest)
		l.Log.Info("server_rests", "server", server.ID, "service", o.service, "request", o.id, "rest_ms", meta.Rest.Milliseconds())
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

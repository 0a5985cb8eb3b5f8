package httproute

import (
	"context"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
)

// send is one attempt that has been given a destination: a server of the local region, or a peer in another one.
type send struct {
	front  *Front
	r      *request
	out    *outbound
	choice placement.Choice
	remote *Remote // nil for a local server
	ctx    context.Context
	cancel context.CancelFunc
}

// newSend records the destination of an attempt.
func (f *Front) newSend(ctx context.Context, r *request, choice placement.Choice, remote *Remote, lastEventID string) *send {
	now := time.Now()
	s := &send{front: f, r: r, choice: choice, remote: remote, out: r.outbound(lastEventID)}
	s.ctx, s.cancel = f.attemptContext(ctx, r)
	s.out.ranked = f.precedence(r).Enforced
	r.sends++
	if remote == nil {
		r.work.Exclude = append(r.work.Exclude, choice.Placement.Server.ID)
		r.record(eventPlaced, "server", choice.Placement.Server.ID, "build", choice.Placement.Server.Version, "expected_ms", choice.ExpectedFirstByte.Milliseconds(),
			"cached", choice.CachedTokens, "late", choice.Late, "fetch_from", choice.FetchFrom,
			"running", choice.Running, "backlog", choice.BacklogTokens, "pause_ms", choice.ExpectedEventGap.Milliseconds())
		return s
	}
	r.triedRegions = append(r.triedRegions, remote.Region)
	r.record(eventForwarded, "peer", remote.Instance, "region", remote.Region, "servers", remote.Servers,
		"expected_ms", remote.firstByteTime().Milliseconds(), "heard_ms_ago", now.Sub(remote.ReportedAt).Milliseconds())
	f.sent.add(remote, r.service, r.PromptTokens)
	f.rooms.recordSend(remote, r.service, r.PromptTokens, now)
	return s
}

// exchange sends the request and reads the head of the response. It changes nothing of the request's state.
func (s *send) exchange() (*reply, *failure) {
	began := time.Now()
	var rep *reply
	var failed *failure
	step, expected := stepLocal, s.choice.ExpectedFirstByte
	if s.remote != nil {
		step, expected = stepForwarded, s.remote.firstByteTime()
		rep, failed = s.front.forward(s.ctx, s.r, s.out, s.remote)
	} else {
		rep, failed = s.front.Local.send(s.ctx, s.out, s.choice)
	}
	if failed == nil {
		failed = s.r.checkBuild(rep)
	}
	if failed != nil {
		s.cancel()
		return nil, failed
	}
	s.front.Metrics.firstByte(s.r.service, step, time.Since(began), expected)
	ended := rep.onEnd
	rep.onEnd = func(outcome placement.Outcome) {
		s.cancel()
		ended(outcome)
	}
	return rep, nil
}

// finish takes the result into the request's state.
func (s *send) finish(failed *failure) {
	if failed == nil {
		return
	}
	if s.remote != nil {
		s.recordBroken(failed)
	}
	if failed.sent {
		return
	}
	s.r.sends--
	if s.remote == nil {
		return
	}
	s.front.avoidRefusing(s.r, failed, s.remote)
	if !failed.remote {
		s.r.triedRegions = s.r.triedRegions[:len(s.r.triedRegions)-1] // another instance of the region may be reachable
	}
}

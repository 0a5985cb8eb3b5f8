package routed

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/streambuild"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/transport/streamcast"
)

// answerMargin is how long an answer about a stream may take beyond the round trip between regions.
const answerMargin = 200 * time.Millisecond

// streamBuilds implements httproute.StreamBuilds.
type streamBuilds struct {
	history  *streambuild.History
	records  *streambuild.Records
	exchange *streamcast.Exchange
	members  atomic.Pointer[streambuild.Members]
	patience time.Duration // for answers
	// hasPeers reports whether the fleet has other instances, reachable or not.
	hasPeers func() bool
	// starting reports whether this instance may not know the others yet.
	starting func() bool
	// current reports whether this instance reads the store at present.
	current func() bool
}

func newStreamBuilds(settings *Settings, started time.Time) *streamBuilds {
	b := &streamBuilds{
		history: streambuild.NewHistory(started), records: streambuild.NewRecords(started),
		patience: 2*settings.Bounds.RegionDelay + answerMargin, current: func() bool { return true },
	}
	if settings.FirstStart {
		b.history.SetComplete()
	}
	b.exchange = &streamcast.Exchange{Keep: b.records.Keep, Answer: b.answer}
	b.members.Store(streambuild.NewMembers(settings.Region, nil))
	return b
}

// Begin implements httproute.StreamBuilds.
func (b *streamBuilds) Begin(requestID string, origin streambuild.Origin) {
	now := time.Now()
	if origin.IsRefused() {
		b.recordRefused(streambuild.IDOf(requestID), now)
		return
	}
	b.records.Begin(streambuild.Record{Stream: streambuild.IDOf(requestID), Origin: origin}, now)
	b.reportIfNeeded(origin.Service, now)
}

// End implements httproute.StreamBuilds.
func (b *streamBuilds) End(requestID string) { b.records.End(streambuild.IDOf(requestID)) }

// reportIfNeeded sends the unreported records of a service to their keepers if the service may have two builds.
func (b *streamBuilds) reportIfNeeded(service string, now time.Time) {
	members := b.members.Load()
	if b.history.HadOneBuild(service, now) || members.None() {
		return
	}
	b.exchange.Report(b.records.TakeUnreported(service), members.Keepers)
}

// recordServers records the builds of servers. The running streams of a service with another build than before are
// reported.
func (b *streamBuilds) recordServers(servers []backends.Server, now time.Time) {
	changed := make(map[string]bool)
	for _, s := range servers {
		if b.history.Saw(streambuild.Origin{Service: s.Service, Build: s.Version}, now) {
			changed[s.Service] = true
		}
	}
	for service := range changed {
		b.reportIfNeeded(service, now)
	}
}

// answer returns what this instance knows of a stream.
func (b *streamBuilds) answer(stream streambuild.StreamID, service string, now time.Time) (a streambuild.Answer) {
	a.Origin, a.Known = b.records.Find(stream)
	a.Builds = b.history.Builds(service, now)
	a.Current = b.current()
	return a
}

// Find implements httproute.StreamBuilds.
func (b *streamBuilds) Find(ctx context.Context, requestID, service string) (streambuild.Origin, error) {
	ctx, cancel := context.WithTimeout(ctx, b.patience)
	defer cancel()
	stream, now := streambuild.IDOf(requestID), time.Now()
	own := b.answer(stream, service, now)
	refused := false
	if own.Known && requestID != "" {
		if !own.Origin.IsRefused() {
			return own.Origin, nil
		}
		refused = true
	}
	candidates, local := b.awaitCandidates(ctx, stream)
	received := b.exchange.Ask(ctx, stream, service, candidates)
	var answers []streambuild.Answer
	for range candidates {
		select {
		case a := <-received:
			if a.Known && requestID != "" {
				if !a.Origin.IsRefused() {
					return a.Origin, nil
				}
				refused = true
			}
			answers = append(answers, a)
		case <-ctx.Done():
		}
		build, agreed := streambuild.Agreed(own.Builds, answers, true)
		if agreed && !refused && len(answers) >= max(local, 1) && streambuild.AnyCurrent(own, answers) {
			return streambuild.Origin{Service: service, Build: build}, nil
		}
	}
	build, agreed := streambuild.Agreed(own.Builds, answers, b.hasPeers())
	heardAll := streambuild.AnyCurrent(own, answers) || len(answers) == len(candidates)
	if agreed && !refused && heardAll {
		return streambuild.Origin{Service: service, Build: build}, nil
	}
	if len(answers) == 0 && b.hasPeers() || agreed && !refused {
		return streambuild.Origin{}, streambuild.ErrNoAnswer
	}
	if requestID != "" {
		b.recordRefused(stream, now)
	}
	return streambuild.Origin{}, streambuild.ErrUnknown
}

// recordRefused records that a stream is refused when it is taken up, here and at its keepers.
func (b *streamBuilds) recordRefused(stream streambuild.StreamID, now time.Time) {
	record := streambuild.Record{Stream: stream}
	b.records.Keep(record, now)
	b.exchange.Report([]streambuild.Record{record}, b.members.Load().Keepers)
}

// awaitCandidates returns the instances that may keep the record of a stream, and how many of them are in the local
// region. An instance that has just started waits until it knows some.
func (b *streamBuilds) awaitCandidates(ctx context.Context, stream streambuild.StreamID) ([]streambuild.Member, int) {
	for {
		members := b.members.Load()
		candidates := members.Candidates(stream)
		if len(candidates) > 0 || !b.starting() || ctx.Err() != nil {
			return candidates, members.CountLocal(candidates)
		}
		sleep(ctx, minBackoff/10)
	}
}

// setMembers sets the instances that keep records.
func (b *streamBuilds) setMembers(region, self string, all []membership.Member) {
	var others []streambuild.Member
	for _, m := range all {
		address, err := netip.ParseAddrPort(m.Entry.GetRelayAddress())
		if err != nil || !m.Reachable || m.Leaving() || m.Entry.GetId() == self {
			continue
		}
		others = append(others, streambuild.Member{ID: m.Entry.GetId(), Region: m.Entry.GetRegion(), Address: address})
	}
	hadNone := b.members.Load().None()
	b.members.Store(streambuild.NewMembers(region, others))
	if hadNone {
		now := time.Now()
		for _, service := range b.history.Services() {
			b.reportIfNeeded(service, now)
		}
	}
}

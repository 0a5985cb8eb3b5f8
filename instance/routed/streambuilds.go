package routed

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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
	// readStore reads from the store which builds have come.
	readStore func(ctx context.Context) error

	reading   sync.Mutex // held during readStore
	readBegan time.Time
	readError error
}

var errNoStore = errors.New("no store to read builds from")

func newStreamBuilds(settings *Settings, started time.Time) *streamBuilds {
	b := &streamBuilds{
		history: streambuild.NewHistory(started), records: streambuild.NewRecords(started),
		patience: 2*settings.Bounds.RegionDelay + answerMargin, current: func() bool { return true },
		readStore: func(context.Context) error { return errNoStore },
	}
	if settings.FirstStart {
		b.history.SetComplete()
	}
	b.exchange = &streamcast.Exchange{Keep: b.keep, Answer: b.answer}
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
	b.history.Saw(origin, now) // the instance of another region may know it first
	b.reportIfNeeded(origin.Service, now)
}

// keep keeps the record of another instance's stream.
func (b *streamBuilds) keep(record streambuild.Record, now time.Time) {
	b.records.Keep(record, now)
	if !record.Origin.IsRefused() && b.history.Saw(record.Origin, now) {
		b.reportIfNeeded(record.Origin.Service, now)
	}
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

// buildSearch is a search for the build of a stream.
type buildSearch struct {
	named   bool // by the request that brought its first event
	refused bool // earlier, as nobody knew its build
	own     streambuild.Answer
	members *streambuild.Members
	asked   []streambuild.Member
	answers []streambuild.Answer
}

// recorded returns the origin that an answer has a record of.
func (s *buildSearch) recorded(a streambuild.Answer) (streambuild.Origin, bool) {
	if !a.Known || !s.named {
		return streambuild.Origin{}, false
	}
	s.refused = s.refused || a.Origin.IsRefused()
	return a.Origin, !a.Origin.IsRefused()
}

// heard reports whether the answers cover the other instances of the fleet, and someone reads the store or all have answered, as while
// the store is away.
func (s *buildSearch) heard() bool {
	return s.members.Heard(s.asked, s.answers) && (len(s.answers) == len(s.asked) || streambuild.AnyCurrent(s.own, s.answers))
}

// agreed returns the one build of a service.
func (s *buildSearch) agreed(hasPeers bool) (string, bool) {
	build, agreed := streambuild.Agreed(s.own.Builds, s.answers, hasPeers)
	return build, agreed && !s.refused
}

// Find implements httproute.StreamBuilds.
func (b *streamBuilds) Find(ctx context.Context, requestID, service string) (streambuild.Origin, error) {
	stream, now := streambuild.IDOf(requestID), time.Now()
	s := &buildSearch{named: requestID != "", own: b.answer(stream, service, now)}
	if origin, ok := s.recorded(s.own); ok {
		return origin, nil
	}
	if origin, ok := b.ask(ctx, s, stream, service); ok {
		return origin, nil
	}
	build, agreed := s.agreed(b.hasPeers())
	if agreed && !s.heard() {
		if err := b.confirm(ctx); err != nil {
			return streambuild.Origin{}, errors.Mark(errors.Wrap(err, "not all regions answer, nor does the store"), streambuild.ErrNoAnswer)
		}
		s.own = b.answer(stream, service, now)
		build, agreed = s.agreed(b.hasPeers())
	}
	switch {
	case agreed:
		return streambuild.Origin{Service: service, Build: build}, nil
	case len(s.answers) == 0 && b.hasPeers():
		return streambuild.Origin{}, streambuild.ErrNoAnswer
	case s.named:
		b.recordRefused(stream, now)
	}
	return streambuild.Origin{}, streambuild.ErrUnknown
}

// ask asks other instances until one has a record of the stream, those that have answered agree on a build, or b.patience has passed.
func (b *streamBuilds) ask(ctx context.Context, s *buildSearch, stream streambuild.StreamID, service string) (streambuild.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, b.patience)
	defer cancel()
	s.members = b.awaitMembers(ctx)
	s.asked = s.members.Candidates(stream)
	local, received := s.members.CountLocal(s.asked), b.exchange.Ask(ctx, stream, service, s.asked)
	for range s.asked {
		select {
		case a := <-received:
			if origin, ok := s.recorded(a); ok {
				return origin, true
			}
			s.answers = append(s.answers, a)
		case <-ctx.Done():
			return streambuild.Origin{}, false
		}
		if _, agreed := s.agreed(true); agreed && len(s.answers) >= local && s.heard() {
			break
		}
	}
	return streambuild.Origin{}, false
}

// confirm reads the builds from the store. A read that began after this call counts for all calls that wait for it.
func (b *streamBuilds) confirm(ctx context.Context) error {
	called := time.Now()
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.readBegan.After(called) {
		return b.readError
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.patience)
	defer cancel()
	b.readBegan = time.Now()
	b.readError = b.readStore(ctx)
	return b.readError
}

// recordRefused records that a stream is refused when it is taken up, here and at its keepers.
func (b *streamBuilds) recordRefused(stream streambuild.StreamID, now time.Time) {
	record := streambuild.Record{Stream: stream}
	b.records.Keep(record, now)
	b.exchange.Report([]streambuild.Record{record}, b.members.Load().Keepers)
}

// awaitMembers returns the other instances. An instance that has just started waits until it knows some.
func (b *streamBuilds) awaitMembers(ctx context.Context) *streambuild.Members {
	for {
		members := b.members.Load()
		if !members.None() || !b.starting() || ctx.Err() != nil {
			return members
		}
		sleep(ctx, minBackoff/10)
	}
}

// setMembers sets the instances that keep records.
func (b *streamBuilds) setMembers(region, self string, all []membership.Member) {
	var others []streambuild.Member
	var unreachable []string // regions
	for _, m := range all {
		address, err := netip.ParseAddrPort(m.Entry.GetRelayAddress())
		if err != nil || m.Leaving() || m.Entry.GetId() == self {
			continue
		}
		if !m.Reachable {
			unreachable = append(unreachable, m.Entry.GetRegion())
			continue
		}
		others = append(others, streambuild.Member{ID: m.Entry.GetId(), Region: m.Entry.GetRegion(), Address: address})
	}
	hadNone := b.members.Load().None()
	b.members.Store(streambuild.NewMembers(region, others, unreachable...))
	if hadNone {
		now := time.Now()
		for _, service := range b.history.Services() {
			b.reportIfNeeded(service, now)
		}
	}
}

package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/admission"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
	"github.com/basilroute/basilroute/transport/claim"
	"github.com/basilroute/basilroute/transport/metrics"
)

const (
	maxConsecutiveFailures = 3 // consecutive failures after which a server gets no new work
	noServerRetry          = time.Second
	// suspectDelay is how long a suspect request waits before it runs again. By then
	// copies of it that other instances dispatched at the same moment have crashed their
	// servers, and this instance has received the crash reports.
	suspectDelay = 300 * time.Millisecond
	// suspectRetryInterval is how often a suspect request looks for a server that takes it.
	suspectRetryInterval = 100 * time.Millisecond
	// firstPollWait is how long a request waits at most for the first poll of a listed server.
	firstPollWait     = 300 * time.Millisecond
	firstPollInterval = 10 * time.Millisecond
)

// LocalDispatcher runs work on the backend servers of the local failure domain.
type LocalDispatcher struct {
	Catalog    *catalog.Catalog
	Servers    *servers.Table
	Backend    *backend.Client
	Quarantine *quarantine.List  // of suspects
	Parts      *quarantine.Parts // may be nil
	Admission  *Admission
	Prefixes   *PrefixIndexes
	Isolation  *quarantine.Isolation
	Metrics    *metrics.Recorder // may be nil
	Claims     *claim.Claimer    // for operations that may run at most once
}

// Run waits for a slot and sends the work to one server. The error is a *refusal.Refusal
// or the error of the sink.
func (l *LocalDispatcher) Run(ctx context.Context, w *Work, sink Sink) error {
	if server, refused, ok := l.pinnedServer(w); ok {
		if refused != nil {
			return refused
		}
		return l.resume(ctx, w, server, sink)
	}
	svc := l.Catalog.Service(w.Service)
	if svc == nil {
		return refusal.New(refusal.CodeNotFound, "service %q is not known here", w.Service)
	}
	if !l.awaitServer(ctx, svc) {
		return noServer(w.Service)
	}
	submitted := time.Now()
	release, refused := l.Admission.acquire(ctx, w, svc, l.weight(w.Account))
	l.Metrics.RecordQueueTime(w.Service, w.Class, time.Since(submitted))
	if refused != nil {
		return refused
	}
	defer release()
	p, refused := l.place(ctx, w, svc)
	if refused != nil {
		return refused
	}
	defer l.Isolation.End(p.run)
	if refused := l.Admission.Ending.check(w); refused != nil { // a suspect request waits for a server of its own
		return refused
	}
	return l.dispatch(ctx, w, p, sink)
}

func noServer(name string) *refusal.Refusal {
	return refusal.New(refusal.CodeNoServer, "no backend server of %s can take the request", name).WithRetryAfter(noServerRetry)
}

func (l *LocalDispatcher) hasServer(svc *service.Service) bool {
	for _, e := range l.Servers.Entries(svc.Name) {
		if v := e.View(); v.Usable() && svc.AllowsVersion(v.Version) {
			return true
		}
	}
	return false
}

// awaitServer reports whether a server can take work of the service. While one is listed and its first poll has no result, it waits
// for that: an instance that has just started gets requests of peers that know of the server through another instance.
func (l *LocalDispatcher) awaitServer(ctx context.Context, svc *service.Service) bool {
	for end := time.Now().Add(firstPollWait); !l.hasServer(svc); {
		if !l.hasUnpolled(svc) || !time.Now().Before(end) || !sleep(ctx, firstPollInterval) {
			return false
		}
	}
	return true
}

func (l *LocalDispatcher) hasUnpolled(svc *service.Service) bool {
	return slices.ContainsFunc(l.Servers.Entries(svc.Name), func(e *servers.Entry) bool {
		v := e.View()
		return v.Listed && !v.Leaving && !v.Polled && v.Failures == 0 && svc.AllowsVersion(v.Version)
	})
}

// weight is the account's weight in the queue.
func (l *LocalDispatcher) weight(account string) float64 {
	if a := l.Catalog.Account(account); a != nil {
		return a.Rate
	}
	return 0
}

// placement is the server chosen for work, with the state needed to run it there.
type placement struct {
	service *service.Service
	entry   *servers.Entry
	server  servers.Server
	request *routing.Request
	run     quarantine.Run
	prompt  int // tokens to compute
}

// place chooses the server. A suspect request waits for a server without other suspects.
// Crash reports that arrive while it waits are taken into account.
func (l *LocalDispatcher) place(ctx context.Context, w *Work, svc *service.Service) (*placement, *refusal.Refusal) {
	fingerprint := w.quarantineKey()
	request := l.request(w, svc)
	delayed, crashChecked := false, false
	for {
		now := time.Now()
		if !w.Trial && (l.Parts.Banned(w.suspects(), now) || l.Quarantine.CrashedLately(fingerprint, now)) {
			return nil, quarantined(quarantine.TrialInterval)
		}
		if !l.Quarantine.Suspected(fingerprint, now) {
			if !crashChecked {
				crashChecked = true
				l.awaitCrashCheck(ctx, w)
				continue
			}
			request.Exclude = excluding(nil, w.triedServers)
			p, refused := l.reserveServer(w, request, fingerprint, false, now)
			if p == nil && refused == nil {
				continue // a copy was placed first: this one goes to the same server
			}
			if p != nil && l.Quarantine.Suspected(fingerprint, now) {
				// A copy crashed its server after the check above, so that server was not
				// chosen. This request would crash the next one.
				l.Isolation.End(p.run)
				continue
			}
			return p, refused
		}
		if w.Hop == 0 && !w.designated {
			// It was not suspect when Front chose this instance. If it ran here, it
			// could crash one more server at the same moment.
			return nil, noServer(w.Service)
		}
		if !delayed {
			delayed = true
			if !sleep(ctx, suspectDelay) {
				return nil, refusal.New(refusal.CodeDeadline, "the request ended while it waited")
			}
			continue
		}
		busy, alone, changed := l.Isolation.Busy(fingerprint)
		request.Exclude = excluding(busy, w.triedServers)
		if alone {
			if p, _ := l.reserveServer(w, request, fingerprint, true, now); p != nil {
				return p, nil
			}
		}
		select {
		case <-changed:
		case <-time.After(suspectRetryInterval): // a server may have started
		case <-ctx.Done():
			return nil, refusal.New(refusal.CodeDeadline, "the request ended while it waited")
		}
	}
}

// awaitCrashCheck waits until it is known whether a copy crashed the server, if that
// server failed this request while the copy was running there. A copy that arrives a
// moment after the crash finds its connection refused, and would go on to crash the next
// server before the first copy's instance has checked the server.
func (l *LocalDispatcher) awaitCrashCheck(ctx context.Context, w *Work) {
	_, _, changed := l.Isolation.Busy(w.quarantineKey())
	if copyServer := l.Isolation.ServerOf(w.quarantineKey()); copyServer == "" || !slices.Contains(w.triedServers, copyServer) {
		return
	}
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C: // the copy is still running, so the server is alive
	case <-ctx.Done():
	}
}

func excluding(servers map[string]bool, tried []string) map[string]bool {
	if servers == nil && len(tried) > 0 {
		servers = make(map[string]bool, len(tried))
	}
	for _, id := range tried {
		servers[id] = true
	}
	return servers
}

func (l *LocalDispatcher) request(w *Work, svc *service.Service) *routing.Request {
	r := &routing.Request{Service: svc, Account: xxhash.Sum64String(w.Account), HomeRegion: w.Home, Hop: w.Hop, Bulk: w.Class == service.ClassBulk}
	if w.Generation != nil {
		r.PromptTokens, r.CachedBlocks = l.Prefixes.match(w)
	}
	return r
}

func (l *LocalDispatcher) reserveServer(w *Work, request *routing.Request, fingerprint string, suspect bool, now time.Time) (*placement, *refusal.Refusal) {
	entry, copyElsewhere := l.choose(w, request, fingerprint, now)
	if entry == nil && !suspect && len(w.triedServers) > 0 {
		request.Exclude = nil // every server has failed it once
		entry, copyElsewhere = l.choose(w, request, fingerprint, now)
	}
	if entry == nil {
		return nil, noServer(w.Service)
	}
	server := entry.Copy()
	run, ok := l.Isolation.Begin(fingerprint, server.ID, suspect, copyElsewhere)
	if !ok {
		return nil, nil
	}
	return &placement{
		service: request.Service, entry: entry, server: server, request: request, run: run,
		prompt: request.UncachedTokens(entry),
	}, nil
}

// choose returns the server that runs a copy of the work, else the best one, or nil.
// copyElsewhere reports that the server of a copy cannot accept the work.
func (l *LocalDispatcher) choose(w *Work, request *routing.Request, fingerprint string, now time.Time) (entry *servers.Entry, copyElsewhere bool) {
	list := l.Servers.Entries(w.Service)
	if copyServer := l.Isolation.ServerOf(fingerprint); copyServer != "" {
		e := l.Servers.Entry(w.Service, copyServer)
		if e != nil && e.InFlight() < e.Limit() && routing.Permitted(request, e, now) {
			return e, false
		}
		copyElsewhere = true
	}
	i := routing.ChooseServer(request, list, now, newRand())
	if i < 0 {
		return nil, copyElsewhere
	}
	return list[i], copyElsewhere
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// dispatch runs the work on its server and records the outcome.
func (l *LocalDispatcher) dispatch(ctx context.Context, w *Work, p *placement, sink Sink) error {
	bulk := w.Class == service.ClassBulk
	var m *latencySink
	m = newLatencySink(sink, p, func() {
		l.Parts.RecordAnswer(w.parts(), time.Now())
		l.recordFirstToken(p, m, bulk)
	})
	p.entry.Begin(p.prompt, bulk)
	if w.Generation != nil {
		l.Prefixes.recordDispatch(w, p.entry.Slot())
	}
	err := l.send(ctx, w, p, m)
	m.endPrefill()
	p.entry.End(bulk)
	l.recordOutcome(ctx, w, p, m, err)
	return err
}

// recordFirstToken adds the time to the first token to the samples of the server's
// limiter. It does so at the first token and not at the end: a limit that learned from
// complete answers stayed at its initial value while long answers ran, and callers queued
// for over a minute although the server had free slots for all of them.
func (l *LocalDispatcher) recordFirstToken(p *placement, m *latencySink, bulk bool) {
	now := time.Now()
	l.Admission.addSample(p.entry, p.service, admission.Sample{
		Bulk: bulk, Latency: m.latency, Expected: m.unloaded, InFlight: p.entry.InFlight(), BulkInFlight: p.entry.Bulk(),
	}, now)
	l.Admission.Refresh(p.service, now)
}

func (l *LocalDispatcher) send(ctx context.Context, w *Work, p *placement, sink Sink) error {
	if w.Generation != nil {
		return l.generate(ctx, w, p.server, sink)
	}
	return l.operate(ctx, w, p.server, sink)
}

func (l *LocalDispatcher) recordOutcome(ctx context.Context, w *Work, p *placement, m *latencySink, err error) {
	now := time.Now()
	switch {
	case err == nil:
		duration := now.Sub(m.sent)
		routing.RecordResponse(p.entry, m.latency, m.expected, duration)
		l.Quarantine.RecordAnswer(w.quarantineKey())
		l.Parts.RecordWholeAnswer(w.quarantineKey(), now)
	case ctx.Err() == nil && refusal.FromError(err).Code == refusal.CodeBackendFailed:
		l.Admission.addSample(p.entry, p.service, admission.Sample{Failed: true}, now)
		routing.RecordFailure(l.Servers, p.entry, now)
		w.triedServers = append(w.triedServers, p.server.ID)
	}
}

func (l *LocalDispatcher) countDropped(stats *backend.StreamStats) {
	l.Metrics.RecordDroppedFrames(metrics.DropForeign, stats.Foreign)
	l.Metrics.RecordDroppedFrames(metrics.DropRepeated, stats.Repeated)
}

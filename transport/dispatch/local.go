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
	failureLimit  = 3 // failures in a row after which a server gets no new work
	noServerRetry = time.Second
	// suspectPause is how long a suspect waits before it runs again: copies of it
	// that other instances dispatched at the same moment have crashed their
	// servers by then, and the news is here.
	suspectPause = 300 * time.Millisecond
)

// LocalDispatcher runs work on the backend servers of the own failure domain.
type LocalDispatcher struct {
	Catalog    *catalog.Catalog
	Servers    *servers.Table
	Backend    *backend.Client
	Quarantine *quarantine.List
	Admission  *Admission
	Prefixes   *PrefixIndexes
	Isolation  *quarantine.Isolation
	Metrics    *metrics.Recorder // may be nil
	Claims     *claim.Claimer    // of operations that may run at most once
}

// Run waits for a slot and sends the work to one server. The error is a
// *refusal.Refusal, or the sink's own error.
func (l *LocalDispatcher) Run(ctx context.Context, w *Work, sink Sink) error {
	svc := l.Catalog.Service(w.Service)
	if svc == nil {
		return refusal.New(refusal.CodeNotFound, "service %q is not known here", w.Service)
	}
	if server, refused, ok := l.pinned(w); ok {
		if refused != nil {
			return refused
		}
		return l.resume(ctx, w, server, sink)
	}
	if !l.serves(svc) {
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
	return l.dispatch(ctx, w, p, sink)
}

func noServer(name string) *refusal.Refusal {
	return refusal.New(refusal.CodeNoServer, "no backend server of %s can take the request", name).After(noServerRetry)
}

func (l *LocalDispatcher) serves(svc *service.Service) bool {
	for _, e := range l.Servers.Entries(svc.Name) {
		if v := e.View(); v.Usable() && svc.AllowsVersion(v.Version) {
			return true
		}
	}
	return false
}

// weight is the account's share in the queue.
func (l *LocalDispatcher) weight(account string) float64 {
	if a := l.Catalog.Account(account); a != nil {
		return a.Rate
	}
	return 0
}

// placed is work that has its server.
type placed struct {
	service *service.Service
	entry   *servers.Entry
	server  servers.Server
	request *routing.Request
	run     quarantine.Run
	prompt  int // tokens to compute
}

// place chooses the server. A suspected request waits for one without other
// suspects; what became known of it while it waited counts.
func (l *LocalDispatcher) place(ctx context.Context, w *Work, svc *service.Service) (*placed, *refusal.Refusal) {
	fingerprint := w.identity()
	request := l.request(w, svc)
	settled, judged := false, false
	for {
		now := time.Now()
		if until, refused := l.Quarantine.Quarantined(fingerprint, now); refused {
			return nil, quarantined(until)
		}
		if !l.Quarantine.Suspected(fingerprint, now) {
			if !judged {
				judged = true
				l.awaitJudgement(ctx, w)
				continue
			}
			request.Exclude = excluding(nil, w.tried)
			p, refused := l.put(w, request, fingerprint, false, now)
			if p == nil && refused == nil {
				continue // a copy was faster: this one goes where it went
			}
			if p != nil && l.Quarantine.Suspected(fingerprint, now) {
				// A copy crashed its server since the question above, and that server was
				// passed over for it: this one would crash the next.
				l.Isolation.End(p.run)
				continue
			}
			return p, refused
		}
		if w.Hop == 0 && !w.designated {
			// It was not suspected when the front chose this instance. Run here,
			// it would be one more that crashes a server at the same moment.
			return nil, noServer(w.Service)
		}
		if !settled {
			settled = true
			if !pause(ctx, suspectPause) {
				return nil, refusal.New(refusal.CodeDeadline, "the request ended while it waited")
			}
			continue
		}
		busy, alone, changed := l.Isolation.Busy(fingerprint)
		request.Exclude = excluding(busy, w.tried)
		if alone {
			if p, _ := l.put(w, request, fingerprint, true, now); p != nil {
				return p, nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, refusal.New(refusal.CodeDeadline, "the request ended while it waited")
		}
	}
}

// awaitJudgement waits, for a request that a server failed while a copy of it was there,
// until it is known whether the copy crashed the server. A copy that comes a moment after
// the crash finds nothing that listens, and would go on to crash the next server before
// the first copy's instance has asked what became of the server.
func (l *LocalDispatcher) awaitJudgement(ctx context.Context, w *Work) {
	_, _, changed := l.Isolation.Busy(w.identity())
	if beside := l.Isolation.ServerOf(w.identity()); beside == "" || !slices.Contains(w.tried, beside) {
		return
	}
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C: // the copy goes on running: the server lives
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

func quarantined(until time.Time) *refusal.Refusal {
	return refusal.New(refusal.CodeQuarantined, "this request crashed backend servers").After(time.Until(until))
}

func (l *LocalDispatcher) request(w *Work, svc *service.Service) *routing.Request {
	r := &routing.Request{Service: svc, Account: xxhash.Sum64String(w.Account), HomeRegion: w.Home, Hop: w.Hop, Bulk: w.Class == service.ClassBulk}
	if w.Generation != nil {
		r.PromptTokens, r.CachedBlocks = l.Prefixes.match(w)
	}
	return r
}

func (l *LocalDispatcher) put(w *Work, request *routing.Request, fingerprint string, suspect bool, now time.Time) (*placed, *refusal.Refusal) {
	entry, elsewhere := l.choose(w, request, fingerprint, now)
	if entry == nil && !suspect && len(w.tried) > 0 {
		request.Exclude = nil // every server failed it once
		entry, elsewhere = l.choose(w, request, fingerprint, now)
	}
	if entry == nil {
		return nil, noServer(w.Service)
	}
	server := entry.Copy()
	run, ok := l.Isolation.Begin(fingerprint, server.ID, suspect, elsewhere)
	if !ok {
		return nil, nil
	}
	return &placed{
		service: request.Service, entry: entry, server: server, request: request, run: run,
		prompt: request.UncachedTokens(entry),
	}, nil
}

// choose returns the server that runs a copy of the work, or the best one, or
// nil. elsewhere tells that a copy's server cannot take it.
func (l *LocalDispatcher) choose(w *Work, request *routing.Request, fingerprint string, now time.Time) (entry *servers.Entry, elsewhere bool) {
	list := l.Servers.Entries(w.Service)
	if beside := l.Isolation.ServerOf(fingerprint); beside != "" {
		e := l.Servers.Entry(w.Service, beside)
		if e != nil && e.InFlight() < e.Limit() && routing.Permitted(request, e, now) {
			return e, false
		}
		elsewhere = true
	}
	i := routing.ChooseServer(request, list, now, newRand())
	if i < 0 {
		return nil, elsewhere
	}
	return list[i], elsewhere
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// dispatch runs the work on its server and takes in what that showed.
func (l *LocalDispatcher) dispatch(ctx context.Context, w *Work, p *placed, sink Sink) error {
	bulk := w.Class == service.ClassBulk
	var m *measured
	m = newMeasured(sink, p, func() { l.sample(p, m, bulk) })
	p.entry.Begin(p.prompt, bulk)
	if w.Generation != nil {
		l.Prefixes.dispatched(w, p.entry.Slot())
	}
	err := l.send(ctx, w, p, m)
	m.begin()
	p.entry.End(bulk)
	l.observe(ctx, w, p, m, err)
	return err
}

// sample tells the server's limit how long the first token took. It does so at
// the first token and not at the end: a limit that learned from whole answers
// stayed at its start for as long as they run, and callers queued for a minute
// and more before a server with room for all of them.
func (l *LocalDispatcher) sample(p *placed, m *measured, bulk bool) {
	now := time.Now()
	l.Admission.answered(p.entry, p.service, admission.Sample{
		Bulk: bulk, Latency: m.latency, Expected: m.alone, InFlight: p.entry.InFlight(), BulkInFlight: p.entry.Bulk(),
	}, now)
	l.Admission.Refresh(p.service, now)
}

func (l *LocalDispatcher) send(ctx context.Context, w *Work, p *placed, sink Sink) error {
	if w.Generation != nil {
		return l.generate(ctx, w, p.server, sink)
	}
	return l.operate(ctx, w, p.server, sink)
}

func (l *LocalDispatcher) observe(ctx context.Context, w *Work, p *placed, m *measured, err error) {
	now := time.Now()
	switch {
	case err == nil:
		duration := now.Sub(m.sent)
		routing.RecordResponse(p.entry, m.latency, m.expected, duration)
	case ctx.Err() == nil && refusal.From(err).Code == refusal.CodeBackendFailed:
		l.Admission.answered(p.entry, p.service, admission.Sample{Failed: true}, now)
		routing.RecordFailure(l.Servers, p.entry, now)
		w.tried = append(w.tried, p.server.ID)
	}
}

func (l *LocalDispatcher) countDropped(stats *backend.StreamStats) {
	l.Metrics.RecordDroppedFrames(metrics.DropForeign, stats.Foreign)
	l.Metrics.RecordDroppedFrames(metrics.DropRepeated, stats.Repeated)
}

package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
)

// The precedence replay is one region in a burst of patient requests that hold their slots for
// seconds, beside urgent ones that hold theirs for some tenths of a second. Three instances place
// them and report to each other every 60 ms.
const (
	precedenceServers   = 6
	precedenceSlots     = 12 // per server
	precedenceInstances = 3
	precedenceTick      = 10 * time.Millisecond
	precedenceLength    = 16 * time.Second
	precedenceBurstFrom = 4 * time.Second
	precedenceBurstTo   = 12 * time.Second
	urgentHold          = 400 * time.Millisecond
	patientHold         = 2 * time.Second // and up to half as much again
	urgentRank          = 0
	patientRank         = 5
	// precedenceInUse is the fraction of what a class may have that it uses at least: a freed slot
	// is idle until the next request or the next report.
	precedenceInUse = 0.9
)

// precedenceLoad is what arrives in the burst, as a fraction of what the slots bear. Outside of it
// the patient requests ask for half of the slots.
type precedenceLoad struct{ urgent, patient float64 }

var patientBurst = precedenceLoad{urgent: 0.25, patient: 2.4}

// precedenceOutcome counts the urgent requests, and the use of the slots in the burst.
type precedenceOutcome struct {
	urgent, atOnce            int      // of the urgent requests, those that got a slot at once
	urgentTicks, patientTicks int      // in slots
	choices                   []string // servers and refusals, and the occupancy by which requests spill
}

func (o precedenceOutcome) atOnceFraction() float64 { return float64(o.atOnce) / float64(o.urgent) }

// patientFraction returns the fraction of the slots in the burst that patient requests had.
func (o precedenceOutcome) patientFraction() float64 { return float64(o.patientTicks) / burstTicks }

// leftFraction returns the fraction of the slots in the burst that urgent requests left.
func (o precedenceOutcome) leftFraction() float64 { return 1 - float64(o.urgentTicks)/burstTicks }

const burstTicks = float64(precedenceServers * precedenceSlots * (precedenceBurstTo - precedenceBurstFrom) / precedenceTick)

// precedenceEngine holds the requests of a server, urgent ones first, then in the order of their
// arrival. As many as it has slots are running, the others are suspended or have not begun.
type precedenceEngine []*precedenceJob

type precedenceJob struct {
	pool      *Pool
	placement *Placement
	urgent    bool
	left      time.Duration
}

func (e *precedenceEngine) add(job *precedenceJob) {
	at := slices.IndexFunc(*e, func(other *precedenceJob) bool { return job.urgent && !other.urgent })
	if at < 0 {
		at = len(*e)
	}
	*e = slices.Insert(*e, at, job)
}

func (e *precedenceEngine) running() []*precedenceJob { return (*e)[:min(len(*e), precedenceSlots)] }

func (e *precedenceEngine) advance(now time.Time) {
	for _, job := range e.running() {
		job.pool.RecordFirstByte(job.placement, now)
		if job.left -= precedenceTick; job.left <= 0 {
			job.pool.Done(job.placement, OutcomeServed, now)
		}
	}
	*e = slices.DeleteFunc(*e, func(job *precedenceJob) bool { return job.left <= 0 })
}

type precedenceReplay struct {
	rng     *rand.Rand
	pools   []*Pool
	engines [precedenceServers]precedenceEngine
	out     precedenceOutcome
}

func newPrecedenceReplay(seed uint64, settings Settings) *precedenceReplay {
	r := &precedenceReplay{rng: rand.New(rand.NewPCG(seed, 5))}
	var entries []backends.Entry
	for i := range precedenceServers {
		entries = append(entries, backends.Entry{Server: backends.Server{ID: fmt.Sprint("s", i), Slots: precedenceSlots}, Incarnation: 1})
	}
	settings.Slots, settings.CacheTokens, settings.Instances = precedenceSlots, 200_000, precedenceInstances
	for i := range precedenceInstances {
		p := New()
		settings.Seed = uint64(i) + 1
		p.Update(settings, entries)
		r.pools = append(r.pools, p)
	}
	return r
}

func playPrecedence(seed uint64, load precedenceLoad, settings Settings) precedenceOutcome {
	r := newPrecedenceReplay(seed, settings)
	const slots = precedenceServers * precedenceSlots
	for at := time.Duration(0); at < precedenceLength; at += precedenceTick {
		now, patient, burst := replayStart.Add(at), 0.5, at >= precedenceBurstFrom && at < precedenceBurstTo
		if burst {
			patient = load.patient
		}
		for i := range r.engines {
			r.engines[i].advance(now)
		}
		if at%reportInterval == 0 {
			r.exchangeReports(now)
		}
		for range r.poisson(load.urgent * slots * float64(precedenceTick) / float64(urgentHold)) {
			r.place(true, urgentHold, now)
		}
		for range r.poisson(patient * slots * float64(precedenceTick) / float64(patientHold) / 1.25) {
			r.place(false, patientHold+time.Duration(r.rng.Int64N(int64(patientHold/2))), now)
		}
		if burst {
			r.countSlots()
		}
	}
	return r.out
}

func (r *precedenceReplay) poisson(mean float64) int {
	n := 0
	for sum := r.rng.ExpFloat64(); sum < mean; sum += r.rng.ExpFloat64() {
		n++
	}
	return n
}

func (r *precedenceReplay) place(urgent bool, hold time.Duration, now time.Time) {
	request := &Request{Tokens: 300, Urgency: patientRank, Objective: 2500 * time.Millisecond, Arrived: now, Deadline: now.Add(15 * time.Second), RejectIfLate: true}
	if urgent {
		request.Urgency, request.Objective = urgentRank, 500*time.Millisecond
		r.out.urgent++
	}
	pool := r.pools[r.rng.IntN(len(r.pools))]
	choice := pool.Place(request, now)
	if choice.Placement == nil {
		r.out.choices = append(r.out.choices, string(choice.Reason))
		return
	}
	id := choice.Placement.Server.ID
	r.out.choices = append(r.out.choices, id)
	job, engine := &precedenceJob{pool, choice.Placement, urgent, hold}, &r.engines[id[1]-'0']
	engine.add(job)
	if urgent && slices.Contains(engine.running(), job) {
		r.out.atOnce++
	}
}

func (r *precedenceReplay) countSlots() {
	for _, e := range r.engines {
		for _, job := range e.running() {
			if job.urgent {
				r.out.urgentTicks++
			} else {
				r.out.patientTicks++
			}
		}
	}
}

func (r *precedenceReplay) exchangeReports(now time.Time) {
	for from, p := range r.pools {
		report := p.LoadReport()
		for to, other := range r.pools {
			if to != from {
				other.ApplyReport(fmt.Sprint(from), &report, now)
			}
		}
	}
	for _, rank := range []int{urgentRank, patientRank} {
		running, slots := r.pools[0].Occupancy(rank, now)
		r.out.choices = append(r.out.choices, fmt.Sprint(running, slots))
	}
}

var (
	withPrecedence    = Settings{Engine: true, Precedence: routes.Precedence{Enforced: true}}
	withoutPrecedence = Settings{
		Engine: true, Precedence: routes.Precedence{Enforced: true}, Features: features.NewSet(map[features.Name]bool{features.UrgentFirst: false}),
	}
)

// Guards against urgent requests that are refused because patient ones came first and hold the slots for seconds.
func TestUrgentRequestsGetSlotsInABurst(t *testing.T) {
	for seed := range uint64(4) {
		got, without := playPrecedence(seed, patientBurst, withPrecedence), playPrecedence(seed, patientBurst, withoutPrecedence)
		t.Logf("seed %d: urgent at once %.3f, patient %.3f of the slots where %.3f are left; off: urgent at once %.3f, patient %.3f", seed,
			got.atOnceFraction(), got.patientFraction(), got.leftFraction(), without.atOnceFraction(), without.patientFraction())
		if got.atOnceFraction() < 0.95 {
			t.Errorf("seed %d: %.3f of the urgent requests got a slot at once", seed, got.atOnceFraction())
		}
		if got.patientFraction() < precedenceInUse*got.leftFraction() {
			t.Errorf("seed %d: patient requests have %.3f of the slots, %.3f are left", seed, got.patientFraction(), got.leftFraction())
		}
		if without.atOnceFraction() > 0.8 {
			t.Errorf("seed %d: no burst: %.3f of the urgent requests got a slot at once without precedence", seed, without.atOnceFraction())
		}
	}
}

// Guards against patient requests that starve while urgent ones ask for more than all slots.
func TestPatientRequestsKeepAQuarterOfTheSlots(t *testing.T) {
	for seed := range uint64(4) {
		got := playPrecedence(seed, precedenceLoad{urgent: 2, patient: 2}, withPrecedence)
		t.Logf("seed %d: patient %.3f of the slots, urgent %.3f", seed, got.patientFraction(), 1-got.leftFraction())
		if got.patientFraction() < precedenceInUse*patientFloor {
			t.Errorf("seed %d: patient requests have %.3f of the slots", seed, got.patientFraction())
		}
	}
}

// Guards against a mechanism that changes choices where it is off.
func TestChoicesWithoutPrecedenceAreAsBefore(t *testing.T) {
	var table routes.Table
	table.Offer(&routes.Config{
		Version: 1, Services: map[string]*routes.Service{"svc": {Engine: &routes.Engine{}}},
		Routes: []routes.Route{{Kind: routes.KindStreaming, Objective: time.Second, Targets: []routes.Target{{Service: "svc", Weight: 1}}}},
	})
	notEnforced, plain := Settings{Engine: true, Precedence: table.Current().Precedence("svc")}, Settings{Precedence: routes.Precedence{Enforced: true}}
	for seed := range uint64(3) {
		want, wantPlain := playPrecedence(seed, patientBurst, Settings{Engine: true}), playPrecedence(seed, patientBurst, Settings{})
		for name, c := range map[string]struct {
			settings Settings
			want     precedenceOutcome
		}{"not enforced": {notEnforced, want}, "feature off": {withoutPrecedence, want}, "plain service": {plain, wantPlain}} {
			if got := playPrecedence(seed, patientBurst, c.settings); !slices.Equal(got.choices, c.want.choices) {
				t.Errorf("seed %d, %s: other choices", seed, name)
			}
		}
		if got := playPrecedence(seed, patientBurst, withPrecedence); slices.Equal(got.choices, want.choices) {
			t.Errorf("seed %d: precedence changes no choice", seed)
		}
	}
}

// newPrecedencePool returns a pool of one server with precedence.
func newPrecedencePool(slots int) *Pool {
	p, entries := New(), newEntries(1)
	entries[0].Slots = slots
	p.Update(Settings{Engine: true, Slots: slots, CacheTokens: 200_000, Precedence: routes.Precedence{Enforced: true}}, entries)
	return p
}

func ranked(rank int, now time.Time) *Request {
	return &Request{Tokens: 10, Urgency: rank, Objective: time.Second, Arrived: now, Deadline: now.Add(5 * time.Second), RejectIfLate: true}
}

// placeAll places requests of a rank until one is refused.
func placeAll(p *Pool, rank int, now time.Time) (placed []*Placement) {
	for {
		choice := p.Place(ranked(rank, now), now)
		if choice.Placement == nil {
			return placed
		}
		placed = append(placed, choice.Placement)
	}
}

// Guards against slots that are kept free for urgent requests long after the last of them.
func TestNoSlotIsKeptFreeWithoutUrgentRequests(t *testing.T) {
	for _, slots := range []int{1, 2, 3, 4, 8, 48} {
		p, now := newPrecedencePool(slots), start
		placed := placeAll(p, urgentRank, now)
		for now.Sub(start) < 10*time.Second {
			now = now.Add(urgentHold)
			p.Summarize(now)
			for _, pl := range placed {
				p.Done(pl, OutcomeServed, now)
			}
		}
		if got := len(placeAll(p, patientRank, now)); got != slots {
			t.Errorf("%d of %d slots for patient requests", got, slots)
		}
	}
}

// Guards against servers with few slots where rounding leaves the patient or the urgent requests none.
func TestBothClassesHaveASlotAtSmallServers(t *testing.T) {
	for _, slots := range []int{1, 2, 3, 4, 5, 8} {
		p := newPrecedencePool(slots)
		floor := max((slots+3)/4, 1)
		if got := len(placeAll(p, urgentRank, start)); got != slots {
			t.Errorf("%d of %d idle slots for urgent requests", got, slots)
		}
		if got := len(placeAll(p, patientRank, start)); got != floor {
			t.Errorf("%d of %d slots for patient requests beside urgent ones, want %d", got, slots, floor)
		}
		p = newPrecedencePool(slots)
		if got := len(placeAll(p, patientRank, start)); got != slots {
			t.Errorf("%d of %d idle slots for patient requests", got, slots)
		}
		if got := len(placeAll(p, urgentRank, start)); got != slots-floor {
			t.Errorf("%d of %d slots for urgent requests beside patient ones, want %d", got, slots, slots-floor)
		}
	}
}

// Guards against urgent requests that are still counted, or counted off twice, when the setting or the server has changed under them.
func TestUrgentCountsSurviveChanges(t *testing.T) {
	for name, change := range map[string]func(p *Pool, s *Settings){
		"nothing":            func(*Pool, *Settings) {},
		"no longer enforced": func(_ *Pool, s *Settings) { s.Precedence = routes.Precedence{} },
		"feature off":        func(_ *Pool, s *Settings) { s.Features = withoutPrecedence.Features },
		"other server": func(p *Pool, _ *Settings) {
			p.Change([]backends.Entry{{Server: p.servers[0].Server, Incarnation: 2}}, nil)
		},
		"server gone":         func(p *Pool, _ *Settings) { p.Change(nil, []string{"s0"}) },
		"enforced from now":   func(_ *Pool, s *Settings) { s.Precedence = routes.Precedence{Enforced: true} },
		"feature back on now": func(_ *Pool, s *Settings) { s.Features = features.Set{} },
	} {
		p := newPrecedencePool(8)
		settings := p.settings
		switch name {
		case "enforced from now":
			settings.Precedence = routes.Precedence{}
		case "feature back on now":
			settings.Features = withoutPrecedence.Features
		}
		p.Configure(settings)
		s := p.servers[0]
		placed := append(placeAll(p, urgentRank, start), placeAll(p, patientRank, start)...)
		change(p, &settings)
		p.Configure(settings)
		for _, pl := range append(placed, placed...) {
			p.Done(pl, OutcomeServed, start.Add(time.Second))
		}
		if len(placed) < 8 || s.urgentInFlight != 0 || s.inFlight != 0 {
			t.Errorf("%s: %d urgent of %d requests left of %d", name, s.urgentInFlight, s.inFlight, len(placed))
		}
		if len(p.servers) > 0 && p.servers[0].urgentInFlight != 0 {
			t.Errorf("%s: %d urgent requests at the new server", name, p.servers[0].urgentInFlight)
		}
	}
}

// Guards against reported urgent requests that add up when a report is doubled, partial, lost, or of an earlier build.
func TestReportedUrgentRequestsReplaceEachOther(t *testing.T) {
	p := newPrecedencePool(8)
	s, now := p.servers[0], start
	steps := []struct {
		name             string
		after            time.Duration
		partial, listed  bool
		inFlight, urgent int
		want             float64
	}{
		{"first", 0, false, true, 5, 3, 3},
		{"doubled", 0, false, true, 5, 3, 3},
		{"fewer", 60 * time.Millisecond, false, true, 5, 1, 1},
		{"partial, changed", 60 * time.Millisecond, true, true, 6, 4, 4},
		{"partial, unchanged", 60 * time.Millisecond, true, false, 0, 0, 4},
		{"earlier build", 60 * time.Millisecond, false, true, 6, 0, 0},
		{"urgent again", 60 * time.Millisecond, false, true, 6, 2, 2},
		{"partial, ended", 60 * time.Millisecond, true, true, 0, 0, 0},
		{"once more", 60 * time.Millisecond, true, true, 2, 2, 2},
		{"without the server", 60 * time.Millisecond, false, false, 0, 0, 0},
		{"last", 60 * time.Millisecond, false, true, 4, 4, 4},
	}
	for _, step := range steps {
		now = now.Add(step.after)
		report := LoadReport{Partial: step.partial}
		if step.listed {
			report.Servers = []ServerLoad{{Server: uint32(s.hash), InFlight: step.inFlight, UrgentInFlight: step.urgent}}
		}
		p.ApplyReport("peer", &report, now)
		if got := s.urgentRunning(); got != step.want {
			t.Errorf("%s: %v urgent requests, want %v", step.name, got, step.want)
		}
	}
	now = now.Add(peerReportTTL + time.Millisecond)
	p.Occupancy(urgentRank, now)
	if got := s.urgentRunning(); got != 0 {
		t.Errorf("%v urgent requests of an unresponsive instance", got)
	}
}

// Guards against urgent requests that are refused as late because suspended patient ones wait at the server.
func TestWaitingPatientRequestsDelayNoUrgentOnes(t *testing.T) {
	p := newPrecedencePool(8)
	placed := placeAll(p, patientRank, start)
	p.meanUncached = 8000
	p.RecordLoad(placed[0], ReportedLoad{Running: 8, Waiting: 6, Slots: 8}, start)
	if choice := p.Place(ranked(urgentRank, start), start); choice.Placement == nil {
		t.Errorf("refused: %s, %s expected", choice.Reason, choice.ExpectedFirstByte)
	}
}

// Guards against a region that looks faster to patient requests of others than it is.
func TestSummaryIsThatOfPatientRequests(t *testing.T) {
	p := newPrecedencePool(8)
	p.ApplyReport("peer", &LoadReport{Servers: []ServerLoad{{Server: uint32(p.servers[0].hash), PendingTokens: 60_000, InFlight: 4}}}, start)
	if got := p.Summarize(start).ExpectedFirstByte; got < time.Second {
		t.Errorf("%s until the first byte behind 60,000 tokens", got)
	}
	p = newPrecedencePool(8)
	placeAll(p, patientRank, start)
	if got := p.Summarize(start); got.FreeSlots != 0 || got.ExpectedFirstByte == 0 {
		t.Errorf("full: %+v", got)
	}
}

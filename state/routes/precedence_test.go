package routes

import (
	"testing"
	"time"
)

func stream(priority int, objective time.Duration, service string) Route {
	return Route{Kind: KindStreaming, Priority: priority, Objective: objective, Targets: []Target{{service, 1}}}
}

func precedenceOf(service string, list ...Route) Precedence {
	c := &Config{Routes: list, Services: map[string]*Service{"llm": {Engine: &Engine{}}, "other": {Engine: &Engine{}}, "plain": {}}}
	c.index()
	return c.Precedence(service)
}

// Guards against precedence where the less urgent requests cannot wait, or where nothing is urgent.
func TestPrecedenceNeedsPatientStreams(t *testing.T) {
	urgent, patient := stream(0, 500*time.Millisecond, "llm"), stream(2, 2500*time.Millisecond, "llm")
	change := func(r Route, change func(*Route)) Route {
		change(&r)
		return r
	}
	for name, c := range map[string]struct {
		list []Route
		want bool
	}{
		"urgent and patient":       {[]Route{urgent, patient}, true},
		"in the other order":       {[]Route{patient, urgent}, true},
		"exactly twice":            {[]Route{urgent, stream(1, time.Second, "llm")}, true},
		"less than twice":          {[]Route{urgent, stream(1, 999*time.Millisecond, "llm")}, false},
		"one route":                {[]Route{urgent}, false},
		"no routes":                {nil, false},
		"same priority":            {[]Route{urgent, stream(0, 2500*time.Millisecond, "llm")}, false},
		"urgent one waits longer":  {[]Route{stream(0, 2500*time.Millisecond, "llm"), stream(2, 500*time.Millisecond, "llm")}, false},
		"urgent ones differ":       {[]Route{urgent, stream(0, 1500*time.Millisecond, "llm"), patient}, false},
		"the middle one waits":     {[]Route{stream(1, 2500*time.Millisecond, "llm"), urgent, stream(2, 600*time.Millisecond, "llm")}, true},
		"patient, then urgent two": {[]Route{patient, stream(1, time.Second, "llm"), urgent}, true},
		"patient of other service": {[]Route{urgent, stream(2, 2500*time.Millisecond, "other")}, false},
		"patient without limit":    {[]Route{urgent, stream(2, 0, "llm")}, false},
		"urgent without limit":     {[]Route{stream(0, 0, "llm"), patient}, false},
		"patient is idempotent":    {[]Route{urgent, change(patient, func(r *Route) { r.Kind = KindIdempotent })}, false},
		"urgent is idempotent":     {[]Route{change(urgent, func(r *Route) { r.Kind, r.Public = KindIdempotent, true }), patient}, false},
		"patient runs once":        {[]Route{urgent, change(patient, func(r *Route) { r.Kind = KindNonIdempotent })}, false},
		"public streams":           {[]Route{change(urgent, func(r *Route) { r.Public = true }), patient}, true},
		"patient is split":         {[]Route{urgent, change(patient, func(r *Route) { r.Targets = []Target{{"other", 9}, {"llm", 1}} })}, true},
		"patient gets no share":    {[]Route{urgent, change(patient, func(r *Route) { r.Targets = []Target{{"other", 9}, {"llm", 0}} })}, false},
		"urgent gets no share":     {[]Route{change(urgent, func(r *Route) { r.Targets = []Target{{"llm", 0}} }), patient}, false},
	} {
		if got := precedenceOf("llm", c.list...).Enforced; got != c.want {
			t.Errorf("%s: enforced: %t", name, got)
		}
	}
}

// Guards against ranks at servers that suspend no request for a more urgent one.
func TestPlainServicesHaveNoPrecedence(t *testing.T) {
	for _, service := range []string{"plain", "unknown"} {
		list := []Route{stream(0, 500*time.Millisecond, service), stream(2, 2500*time.Millisecond, service)}
		if precedenceOf(service, list...).Enforced {
			t.Errorf("%s: enforced", service)
		}
	}
}

// Guards against a route that comes before the priority of its account, and ranks that collide.
func TestRankFollowsTheAccountFirst(t *testing.T) {
	urgent, middle, patient := stream(0, 500*time.Millisecond, "llm"), stream(1, time.Second, "llm"), stream(2, 2500*time.Millisecond, "llm")
	enforced, off := precedenceOf("llm", urgent, middle, patient), precedenceOf("llm", urgent)
	account := func(priority int) *Account { return &Account{Priority: priority} }
	for name, c := range map[string]struct {
		route   *Route
		account *Account
		rank    int
		urgent  bool
		offRank int
	}{
		"urgent, no account":           {&urgent, nil, 0, true, 0},
		"middle, no account":           {&middle, nil, 3, false, 1},
		"patient, no account":          {&patient, nil, 5, false, 2},
		"urgent, account without":      {&urgent, account(-1), 0, true, 0},
		"patient, account without":     {&patient, account(-1), 5, false, 2},
		"urgent, first account":        {&urgent, account(0), 0, true, 0},
		"patient, first account":       {&patient, account(0), 1, false, 0},
		"urgent, lower account":        {&urgent, account(1), 2, true, 1},
		"patient, lower account":       {&patient, account(1), 3, false, 1},
		"urgent of the lowest account": {&urgent, account(4), 8, true, 4},
	} {
		if rank := enforced.Rank(c.route, c.account); rank != c.rank || enforced.Urgent(rank) != c.urgent {
			t.Errorf("%s: rank %d, urgent: %t", name, rank, enforced.Urgent(rank))
		}
		if rank := off.Rank(c.route, c.account); rank != c.offRank || off.Urgent(rank) {
			t.Errorf("%s: rank %d where precedence is not enforced", name, rank)
		}
	}
}

// Guards against priorities of an instance with another build or configuration that are taken for ranks, and ranks for priorities.
func TestUrgencyFromPeer(t *testing.T) {
	for _, c := range []struct {
		enforced, ranked bool
		urgency, want    int
		urgent           bool
	}{
		{true, true, 4, 4, true},
		{true, true, 5, 5, false},
		{false, false, 2, 2, false},
		{true, false, 0, 1, false},
		{true, false, 2, 5, false},
		{false, true, 0, 0, false},
		{false, true, 1, 0, false},
		{false, true, 5, 2, false},
	} {
		p := Precedence{Enforced: c.enforced}
		if got := p.FromPeer(c.urgency, c.ranked); got != c.want || p.Urgent(got) != c.urgent {
			t.Errorf("%+v: %d, urgent: %t", c, got, p.Urgent(got))
		}
	}
}

// Guards against a configuration that keeps the precedence of the one before.
func TestPrecedenceChangesWithTheConfiguration(t *testing.T) {
	var table Table
	services := map[string]*Service{"llm": {Engine: &Engine{}}}
	for i, patience := range []time.Duration{2 * time.Second, 600 * time.Millisecond, 3 * time.Second} {
		table.Offer(&Config{
			Version: int64(i + 1), Services: services,
			Routes: []Route{stream(0, 500*time.Millisecond, "llm"), stream(1, patience, "llm")},
		})
		if got, want := table.Current().Precedence("llm").Enforced, patience >= time.Second; got != want {
			t.Errorf("patience %s: enforced: %t", patience, got)
		}
	}
}

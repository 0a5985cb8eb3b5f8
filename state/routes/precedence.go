package routes

import "time"

// Precedence says which requests of a service come first where its slots do not suffice for all.
//
// Load pattern: callers of one route need the first event within half a second, those of another
// one wait for seconds, and each of their streams holds its slot several times as long. In a
// traffic spike the patient ones would hold every slot.
type Precedence struct {
	Enforced    bool
	urgentLevel int // priority of the most urgent routes
}

// ranksPerPriority is the number of ranks of one priority where precedence is enforced.
const ranksPerPriority = 2

// Rank returns the urgency of a request, 0 for the most urgent. The priority of its account, or of its
// route if the account has none, comes first. Among requests of the same priority those of urgent
// routes come first.
func (p Precedence) Rank(r *Route, a *Account) int {
	priority := r.Priority
	if a != nil && a.Priority >= 0 {
		priority = a.Priority
	}
	switch {
	case !p.Enforced:
		return priority
	case r.Priority <= p.urgentLevel:
		return ranksPerPriority * priority
	}
	return ranksPerPriority*priority + 1
}

// FromPeer returns the urgency of a request that another instance forwards, by whether the other one
// sent a rank or, with an earlier version or another configuration, a priority. A priority does not
// tell whether the route is urgent.
func (p Precedence) FromPeer(urgency int, ranked bool) int {
	switch {
	case ranked == p.Enforced:
		return urgency
	case ranked:
		return urgency / ranksPerPriority
	}
	return ranksPerPriority*urgency + 1
}

// Urgent reports whether requests of the rank take precedence over others.
func (p Precedence) Urgent(rank int) bool { return p.Enforced && rank%ranksPerPriority == 0 }

// patienceFactor is how many times the objective of the urgent routes a less urgent one has to
// allow: with less it cannot wait for a slot and still be on time.
const patienceFactor = 2

// Precedence returns the precedence among the streaming routes of a service of model engines. It is
// enforced if a less urgent route can wait much longer than the most urgent ones.
func (c *Config) Precedence(service string) Precedence { return c.precedence[service] }

// competition is what the streaming routes of a service ask for.
type competition struct {
	urgentLevel     int
	urgentObjective time.Duration // longest of the most urgent routes
	patience        time.Duration // longest objective of the less urgent routes
	known           bool
}

// precedences derives the precedence of each service from its routes.
func (c *Config) precedences() map[string]Precedence {
	byService := make(map[string]*competition)
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Kind != KindStreaming || route.Objective <= 0 {
			continue
		}
		for _, target := range route.Targets {
			if target.Weight <= 0 || !c.hasEngines(target.Service) {
				continue
			}
			entry := byService[target.Service]
			if entry == nil {
				entry = &competition{}
				byService[target.Service] = entry
			}
			entry.add(route)
		}
	}
	out := make(map[string]Precedence)
	for service, entry := range byService {
		if entry.patience >= patienceFactor*entry.urgentObjective {
			out[service] = Precedence{Enforced: true, urgentLevel: entry.urgentLevel}
		}
	}
	return out
}

// hasEngines reports whether the servers of a service are model engines: others suspend no request
// for a more urgent one.
func (c *Config) hasEngines(service string) bool {
	svc := c.Services[service]
	return svc != nil && svc.Engine != nil
}

// add takes a route into account. A route that is more urgent than all before makes those less
// urgent.
func (e *competition) add(route *Route) {
	switch {
	case !e.known || route.Priority < e.urgentLevel:
		if e.known {
			e.patience = max(e.patience, e.urgentObjective)
		}
		e.known, e.urgentLevel, e.urgentObjective = true, route.Priority, route.Objective
	case route.Priority == e.urgentLevel:
		e.urgentObjective = max(e.urgentObjective, route.Objective)
	default:
		e.patience = max(e.patience, route.Objective)
	}
}

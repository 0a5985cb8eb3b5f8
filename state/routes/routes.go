// Package routes holds the HTTP routes, services and client accounts in force, as one
// immutable snapshot that a newer version replaces.
package routes

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says which requests of a route may be retried.
type Kind int

// Kinds of routes.
const (
	KindIdempotent    Kind = iota // may run more than once
	KindNonIdempotent             // runs at most once per attempt of the caller
	KindStreaming                 // responds with server-sent events
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name              string
	Host              string
	PathPrefix        string // begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // longest time that a caller waits; 0 for none
	Objective         time.Duration // latency objective, for streams until the first event; 0 for none
	GapObjective      time.Duration // longest gap between events of a stream; 0 for none
	Priority          int           // 0 is the most urgent
	Targets           []Target
	MaxAttempts       int // backend servers that one attempt of the caller may be sent to
	Public            bool
	HasPromptSegments bool // requests name the segments of their prompt
	Resumable         bool // a stream may be resumed on another server
	HomeRegions       []string
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// PickService returns the service for a request, chosen by weight. A request id always
// gives the same service. It returns "" when the weights are zero.
func (r *Route) PickService(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Service is a group of backend servers.
type Service struct {
	Name      string
	MaxConns  int           // connections that a server accepts from all callers together; 0 when not known
	ColdStart time.Duration // how long a server is cold after its start
	ColdRate  float64       // requests per second that a cold server is sent by all instances together; 0 for no limit
	Engine    *Engine       // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int // max requests in a batch
	CacheTokens int // cache capacity for running requests and cached prompts
	// TokenBytes is the size of a cached token and LinkRate the bytes per second at
	// which servers transfer cached segments to each other; 0 when they transfer none.
	TokenBytes float64
	LinkRate   float64
}

// Limits bounds callers' requests. 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account.
type Account struct {
	Name        string
	Priority    int // overrides the route's; below 0 when not set
	Rate        float64
	Burst       float64
	CountTokens bool // rate and burst count tokens instead of requests
	PlainTokens float64
	HomeRegions []string
}

// KeyHash is the SHA-256 of a caller's key.
type KeyHash = [sha256.Size]byte

// Config is one version of the configuration. It must not be changed after Offer.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Accounts map[string]*Account
	Keys     map[KeyHash]string // account by key
	Limits   Limits

	byHost     map[string][]*Route // longest prefix first
	precedence map[string]Precedence
}

func (c *Config) index() {
	c.byHost = make(map[string][]*Route)
	for n := range c.Routes {
		r := &c.Routes[n]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.precedence = c.precedences()
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HostHomeRegions returns the home regions that are common to all routes of the host with
// home regions; nil when no route has any.
func (c *Config) HostHomeRegions(host string) []string {
	var homes []string
	for _, r := range c.byHost[host] {
		switch {
		case len(r.HomeRegions) == 0:
		case homes == nil:
			homes = r.HomeRegions
		default:
			homes = intersect(homes, r.HomeRegions)
		}
	}
	return homes
}

// Authenticate returns the account that a key belongs to, or nil.
func (c *Config) Authenticate(key string) *Account {
	name, ok := c.Keys[sha256.Sum256([]byte(key))]
	if !ok {
		return nil
	}
	return c.Accounts[name]
}

// AllowedRegions returns the regions in which a request may run: the home regions of its
// route and of its account, or those common to both if both have some. anywhere is true
// when neither has any.
func AllowedRegions(r *Route, a *Account) (homes []string, anywhere bool) {
	var accountHomes []string
	if a != nil {
		accountHomes = a.HomeRegions
	}
	switch {
	case len(r.HomeRegions) == 0 && len(accountHomes) == 0:
		return nil, true
	case len(accountHomes) == 0:
		return r.HomeRegions, false
	case len(r.HomeRegions) == 0:
		return accountHomes, false
	}
	return intersect(r.HomeRegions, accountHomes), false
}

// Exclusion is a route that an account's requests cannot use: the two have home regions, and
// none in common.
type Exclusion struct{ Route, Account string }

// Exclusions returns the exclusions of the configuration, ordered by route and account, and at
// most limit of them. Many accounts have the same home regions, so that these are compared with
// those of a route once.
func (c *Config) Exclusions(limit int) []Exclusion {
	accounts := c.accountsByHomes()
	var out []Exclusion
	for i := range c.Routes {
		route := &c.Routes[i]
		if len(route.HomeRegions) == 0 || route.Public {
			continue
		}
		var excluded []Exclusion
		for _, group := range accounts {
			if len(intersect(route.HomeRegions, group[0].HomeRegions)) > 0 {
				continue
			}
			for _, a := range group {
				excluded = append(excluded, Exclusion{route.Name, a.Name})
			}
		}
		slices.SortFunc(excluded, func(a, b Exclusion) int { return cmp.Compare(a.Account, b.Account) })
		out = append(out, excluded[:min(len(excluded), limit-len(out))]...)
		if len(out) == limit {
			break
		}
	}
	return out
}

// accountsByHomes returns the accounts that have home regions, grouped by these.
func (c *Config) accountsByHomes() map[string][]*Account {
	groups := make(map[string][]*Account)
	for _, a := range c.Accounts {
		if len(a.HomeRegions) > 0 {
			key := strings.Join(a.HomeRegions, "\x00")
			groups[key] = append(groups[key], a)
		}
	}
	return groups
}

func intersect(a, b []string) []string {
	both := []string{}
	for _, item := range a {
		if slices.Contains(b, item) {
			both = append(both, item)
		}
	}
	return both
}

// Table holds the configuration in force.
type Table struct{ current atomic.Pointer[Config] }

// Current returns the configuration in force, or nil before the first one.
func (t *Table) Current() *Config { return t.current.Load() }

// Offer puts a configuration in force if it is newer than the current one. An older one,
// from a late read or a peer that lags, changes nothing.
func (t *Table) Offer(c *Config) bool {
	c.index()
	for {
		current := t.current.Load()
		if current != nil && c.Version <= current.Version {
			return false
		}
		if t.current.CompareAndSwap(current, c) {
			return true
		}
	}
}

// Package routes holds the HTTP routes, services and client accounts that are in
// force: one immutable snapshot, which a newer version replaces as a whole.
package routes

import (
	"crypto/sha256"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	KindIdempotent    Kind = iota // may run more than once
	KindNonIdempotent             // runs at most once for each attempt of the caller
	KindStreaming                 // answers with server-sent events
)

// Route brings the requests of a host and path prefix to a service.
type Route struct {
	Name              string
	Host              string
	PathPrefix        string // begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // longest time a caller is kept waiting; 0 for none
	Objective         time.Duration // latency objective, of streams to the first event; 0 for none
	GapObjective      time.Duration // longest pause between events; 0 for none
	Priority          int           // 0 is the most urgent
	Targets           []Target
	MaxAttempts       int // backend servers that one attempt of a caller may be sent to
	Public            bool
	HasPromptSegments bool // requests name the parts of a prompt
	Resumable         bool // a stream may go on at another server
	HomeRegions       []string
}

// Target is a service with the weight of its part of the route's requests.
type Target struct {
	Service string
	Weight  int
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStreaming && r.Resumable
}

// PickService returns the service for a request. The same request id gives the same one.
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
	MaxConns  int           // connections that a server takes from all callers; 0 when not known
	ColdStart time.Duration // how long a server is cold after its start
	ColdRate  float64       // requests per second that a cold server takes, over all instances; 0 for no limit
	Engine    *Engine       // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int // requests in a batch
	CacheTokens int // capacity for running requests and cached prompts
	// TokenBytes is the size of a cached token and LinkRate the bytes per second at
	// which servers move cached parts to each other; 0 when they move none.
	TokenBytes float64
	LinkRate   float64
}

// Limits bound what callers may send. 0 stands for no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account.
type Account struct {
	Name        string
	Priority    int // takes precedence over the route's; below 0 when not set
	Rate        float64
	Burst       float64
	CountTokens bool // rate and burst count tokens, and not requests
	PlainTokens float64
	HomeRegions []string
}

// KeyHash is the SHA-256 of a caller's key.
type KeyHash = [sha256.Size]byte

// Config is one version of everything. It is not changed once it is offered.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Accounts map[string]*Account
	Keys     map[KeyHash]string // account by key
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
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
}

// Match returns the route of a host with the longest prefix that begins the path,
// or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// HostHomeRegions returns the regions that are homes of every route of the host that has
// homes; nil when none has.
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

// Authenticate returns the account that holds a key, or nil.
func (c *Config) Authenticate(key string) *Account {
	name, ok := c.Keys[sha256.Sum256([]byte(key))]
	if !ok {
		return nil
	}
	return c.Accounts[name]
}

// AllowedRegions returns the homes of a request: those of the route and of the
// account, both where both have some. anywhere is true when neither has.
func AllowedRegions(r *Route, a *Account) (homes []string, anywhere bool) {
	var own []string
	if a != nil {
		own = a.HomeRegions
	}
	switch {
	case len(r.HomeRegions) == 0 && len(own) == 0:
		return nil, true
	case len(own) == 0:
		return r.HomeRegions, false
	case len(r.HomeRegions) == 0:
		return own, false
	}
	return intersect(r.HomeRegions, own), false
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

// Offer puts a configuration in force if it is newer. An older one, from a late
// read or a peer that lags, changes nothing.
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

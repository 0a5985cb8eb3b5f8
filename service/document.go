package service

import (
	"strings"
	"time"

	"github.com/basilroute/basilroute/yamldoc"
)

// Kind names the type of a document.
type Kind string

// Kinds of documents.
const (
	KindService Kind = "service"
	KindAccount Kind = "account"
	KindFleet   Kind = "fleet"
)

// KeyPrefix is the prefix of the documents' store keys.
const KeyPrefix = "config/"

// FleetName is the name of the only fleet document.
const FleetName = "fleet"

// Document is a decoded and checked document. Exactly one of the pointers is set.
type Document struct {
	Kind    Kind
	Name    string
	Service *Service
	Account *Account
	Fleet   *Fleet
}

// Key returns the store key of the document.
func (d *Document) Key() string { return StoreKey(d.Kind, d.Name) }

// StoreKey returns the store key of the document of a kind and name.
func StoreKey(kind Kind, name string) string {
	return KeyPrefix + string(kind) + "/" + name
}

// SplitKey returns the kind and name of the document with a store key.
func SplitKey(key string) (Kind, string, bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", "", false
	}
	kind, name, ok := strings.Cut(rest, "/")
	return Kind(kind), name, ok
}

// Type distinguishes model services from plain services.
type Type string

// Types of services.
const (
	TypeModel Type = "model"
	TypePlain Type = "plain"
)

// Class is the urgency class of a request.
type Class string

// Classes of requests.
const (
	ClassInteractive Class = "interactive"
	ClassBulk        Class = "bulk"
)

// Policy is the optimization goal of a service's routing.
type Policy string

// Routing policies.
const (
	PolicyLatency Policy = "latency" // expected time to first token has the highest weight
	PolicyCost    Policy = "cost"    // engine seconds and recomputed prompt tokens have the highest weight
)

// Service is the document by which a team configures its service.
type Service struct {
	Kind       Kind                 `yaml:"kind"`
	Name       string               `yaml:"name"`
	Type       Type                 `yaml:"type"`
	Regions    []string             `yaml:"regions"`  // where it may run; in all when empty
	Domains    []string             `yaml:"domains"`  // narrows the regions; all of their domains when empty
	Versions   []string             `yaml:"versions"` // versions that may serve; any when empty
	Policy     Policy               `yaml:"policy"`
	Classes    Classes              `yaml:"classes"`
	Retry      Retry                `yaml:"retry"`
	Spill      Spill                `yaml:"spill"`
	Operations map[string]Operation `yaml:"operations"`
	Limits     Limits               `yaml:"limits"`
	Orders     Orders               `yaml:"orders"`
	Fencing    bool                 `yaml:"fencing"` // engines reject an order with an old fencing number
}

// Orders is the desired state of the service's engines.
type Orders struct {
	Version  string   `yaml:"version"`  // to load; unchanged when empty
	Draining []string `yaml:"draining"` // ids of servers that get no new work
}

// Classes holds the settings of each class.
type Classes struct {
	Interactive ClassSettings `yaml:"interactive"`
	Bulk        ClassSettings `yaml:"bulk"`
}

// ClassSettings bounds how long a request waits and runs.
type ClassSettings struct {
	MaxWait  time.Duration `yaml:"max_wait"` // in the queue and for tokens
	Deadline time.Duration `yaml:"deadline"` // for the complete response
	Floor    float64       `yaml:"floor"`    // fraction of slots reserved for the class, 0 to 0.5
}

// Retry bounds the load that retries add.
type Retry struct {
	Budget   float64 `yaml:"budget"`   // retries as a fraction of requests
	Attempts int64   `yaml:"attempts"` // in total, including the first
}

// Spill bounds the requests that are sent to other regions.
type Spill struct {
	Disabled bool          `yaml:"disabled"`
	Gain     time.Duration `yaml:"gain"` // min expected time saved for a request to be sent to another region
}

// Operation is an operation of a plain service.
type Operation struct {
	Repeatable bool  `yaml:"repeatable"` // idempotent: it may run more than once
	Cost       int64 `yaml:"cost"`       // tokens charged to the account
}

// Limits bounds the requests of the service.
type Limits struct {
	BodyBytes    int64 `yaml:"body_bytes"`
	PromptTokens int64 `yaml:"prompt_tokens"`
	OutputTokens int64 `yaml:"output_tokens"`
	Queue        int64 `yaml:"queue"`       // requests waiting per instance
	Concurrency  int64 `yaml:"concurrency"` // requests in flight per backend server, upper bound
}

// Account is the document of a client account.
type Account struct {
	Kind   Kind             `yaml:"kind"`
	Name   string           `yaml:"name"`
	Home   string           `yaml:"home"`   // region its data must stay in; anywhere when empty
	Rate   float64          `yaml:"rate"`   // tokens per second over the fleet
	Burst  float64          `yaml:"burst"`  // tokens
	Shares map[string]int64 `yaml:"shares"` // weight of each failure domain; equal when empty
	Keys   []Key            `yaml:"keys"`
}

// Key is a caller's key, stored only as a hash.
type Key struct {
	ID     string `yaml:"id"`
	SHA256 string `yaml:"sha256"` // of the complete key, in hexadecimal
}

// Fleet is the document that describes the fleet.
type Fleet struct {
	Kind    Kind              `yaml:"kind"`
	Name    string            `yaml:"name"`
	Regions map[string]Region `yaml:"regions"`
	Slots   Slots             `yaml:"slots"`
}

// Region is a region and its failure domains.
type Region struct {
	Domains []string `yaml:"domains"`
}

// Slots configures how the allocation of the quota to each failure domain is held.
type Slots struct {
	PerDomain int64         `yaml:"per_domain"`
	Lease     time.Duration `yaml:"lease"`
	Promise   time.Duration `yaml:"promise"`
	Peers     int64         `yaml:"peers"`    // holders asked for promises, listed in each renewal
	Promises  int64         `yaml:"promises"` // fresh promises needed to keep minting without the store
	Release   time.Duration `yaml:"release"`  // after the lease, when no remaining holder may take the slot
}

// RegionOfDomain returns the region of a failure domain, and whether the fleet has the domain.
func (f *Fleet) RegionOfDomain(name string) (region string, ok bool) {
	for region, r := range f.Regions {
		for _, domain := range r.Domains {
			if domain == name {
				return region, true
			}
		}
	}
	return "", false
}

// Class returns the settings of a class.
func (s *Service) Class(c Class) ClassSettings {
	if c == ClassBulk {
		return s.Classes.Bulk
	}
	return s.Classes.Interactive
}

// AllowsRegion reports whether the service may run in a region.
func (s *Service) AllowsRegion(region string) bool {
	return allows(s.Regions, region)
}

// AllowsDomain reports whether the service may run in a failure domain.
func (s *Service) AllowsDomain(region, domain string) bool {
	return allows(s.Regions, region) && allows(s.Domains, domain)
}

// AllowsVersion reports whether servers of the version may serve.
func (s *Service) AllowsVersion(version string) bool {
	return allows(s.Versions, version)
}

func allows(list []string, item string) bool {
	if len(list) == 0 {
		return true
	}
	for _, allowed := range list {
		if allowed == item {
			return true
		}
	}
	return false
}

// Parse decodes and checks a document of any kind. The error is yamldoc.Findings.
func Parse(file string, data []byte) (*Document, error) {
	var head header
	source := yamldoc.Read(file, data)
	r := source.DecodeLenient(&head)
	if err := r.Err(); err != nil {
		return nil, err
	}
	switch head.Kind {
	case KindService:
		return parseService(source)
	case KindAccount:
		return parseAccount(source)
	case KindFleet:
		return parseFleet(source)
	}
	r.Addf("kind", "want service, account or fleet, have %q", head.Kind)
	return nil, r.Err()
}

type header struct {
	Kind Kind `yaml:"kind"`
}

package service

import (
	"encoding/hex"
	"regexp"
	"strconv"
	"time"

	"github.com/basilroute/basilroute/yamldoc"
)

// Defaults of documents.
const (
	DefaultInteractiveWait     = 2 * time.Second
	DefaultInteractiveDeadline = time.Minute
	DefaultBulkWait            = 2 * time.Minute
	DefaultBulkDeadline        = 15 * time.Minute
	DefaultBulkFloor           = 0.1
	DefaultRetryBudget         = 0.1
	DefaultRetryAttempts       = 3
	DefaultSpillGain           = 250 * time.Millisecond
	DefaultBodyBytes           = 1 << 20
	DefaultPromptTokens        = 32768
	DefaultOutputTokens        = 4096
	DefaultQueue               = 1024
	DefaultConcurrency         = 64
	DefaultSlots               = 3
	DefaultSlotLease           = 10 * time.Second
	DefaultPromise             = 3 * time.Second
	DefaultSlotPeers           = 2
	DefaultPromises            = 1
	DefaultSlotRelease         = 10 * time.Minute
)

// Upper bounds of settings.
const (
	maxDeadline  = 24 * time.Hour
	maxFloor     = 0.5
	maxSlots     = 64
	maxNameBytes = 63
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

func parseService(source *yamldoc.Source) (*Document, error) {
	s := &Service{
		Type:   TypeModel,
		Policy: PolicyLatency,
		Classes: Classes{
			Interactive: ClassSettings{MaxWait: DefaultInteractiveWait, Deadline: DefaultInteractiveDeadline},
			Bulk:        ClassSettings{MaxWait: DefaultBulkWait, Deadline: DefaultBulkDeadline, Floor: DefaultBulkFloor},
		},
		Retry: Retry{Budget: DefaultRetryBudget, Attempts: DefaultRetryAttempts},
		Spill: Spill{Gain: DefaultSpillGain},
		Limits: Limits{
			BodyBytes: DefaultBodyBytes, PromptTokens: DefaultPromptTokens, OutputTokens: DefaultOutputTokens,
			Queue: DefaultQueue, Concurrency: DefaultConcurrency,
		},
	}
	r := source.Decode(s)
	checkName(r, s.Name)
	checkOneOf(r, "type", string(s.Type), string(TypeModel), string(TypePlain))
	checkOneOf(r, "policy", string(s.Policy), string(PolicyLatency), string(PolicyCost))
	checkClass(r, "classes.interactive", s.Classes.Interactive)
	checkClass(r, "classes.bulk", s.Classes.Bulk)
	checkRange(r, "retry.budget", s.Retry.Budget, 0, 1)
	checkRange(r, "retry.attempts", float64(s.Retry.Attempts), 1, 10)
	checkRange(r, "spill.gain", s.Spill.Gain.Seconds(), 0, maxDeadline.Seconds())
	checkLimits(r, s.Limits)
	checkOperations(r, s)
	checkOrders(r, s)
	return documentOrFindings(r, &Document{Kind: KindService, Name: s.Name, Service: s})
}

func parseAccount(source *yamldoc.Source) (*Document, error) {
	a := &Account{}
	r := source.Decode(a)
	checkName(r, a.Name)
	checkRange(r, "rate", a.Rate, 0, 1e9)
	checkRange(r, "burst", a.Burst, 1, 1e12)
	for domain, weight := range a.Shares {
		checkRange(r, "shares."+domain, float64(weight), 0, 1e6)
	}
	checkKeys(r, a.Keys)
	return documentOrFindings(r, &Document{Kind: KindAccount, Name: a.Name, Account: a})
}

func parseFleet(source *yamldoc.Source) (*Document, error) {
	f := &Fleet{Slots: Slots{
		PerDomain: DefaultSlots, Lease: DefaultSlotLease, Promise: DefaultPromise,
		Peers: DefaultSlotPeers, Promises: DefaultPromises, Release: DefaultSlotRelease,
	}}
	r := source.Decode(f)
	if f.Name != FleetName {
		r.Addf("name", "the fleet document is named %q, have %q", FleetName, f.Name)
	}
	checkRegions(r, f.Regions)
	checkSlots(r, f.Slots)
	return documentOrFindings(r, &Document{Kind: KindFleet, Name: f.Name, Fleet: f})
}

func documentOrFindings(r *yamldoc.Report, d *Document) (*Document, error) {
	if err := r.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// ValidName reports whether the name of a document, a key or an operation is well formed.
func ValidName(name string) bool {
	return len(name) <= maxNameBytes && namePattern.MatchString(name)
}

func checkName(r *yamldoc.Report, name string) {
	if !ValidName(name) {
		r.Addf("name", "want 1 to %d lower-case letters, digits and dashes, have %q", maxNameBytes, name)
	}
}

func checkOneOf(r *yamldoc.Report, path, have string, want ...string) {
	for _, w := range want {
		if have == w {
			return
		}
	}
	r.Addf(path, "want one of %v, have %q", want, have)
}

func checkRange(r *yamldoc.Report, path string, have, low, high float64) {
	if !(have >= low && have <= high) { // this form also rejects NaN
		r.Addf(path, "want %s to %s, have %s", formatNumber(low), formatNumber(high), formatNumber(have))
	}
}

// formatNumber formats a number the way teams write it in documents, without an exponent.
func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

func checkClass(r *yamldoc.Report, path string, c ClassSettings) {
	if c.Deadline <= 0 || c.Deadline > maxDeadline {
		r.Addf(path+".deadline", "want above 0 and at most %s, have %s", maxDeadline, c.Deadline)
	}
	if c.MaxWait < 0 || c.MaxWait > c.Deadline {
		r.Addf(path+".max_wait", "want 0 to the deadline %s, have %s", c.Deadline, c.MaxWait)
	}
	checkRange(r, path+".floor", c.Floor, 0, maxFloor)
}

func checkLimits(r *yamldoc.Report, l Limits) {
	checkRange(r, "limits.body_bytes", float64(l.BodyBytes), 1, 64<<20)
	checkRange(r, "limits.prompt_tokens", float64(l.PromptTokens), 1, 1<<24)
	checkRange(r, "limits.output_tokens", float64(l.OutputTokens), 1, 1<<24)
	checkRange(r, "limits.queue", float64(l.Queue), 0, 1<<20)
	checkRange(r, "limits.concurrency", float64(l.Concurrency), 1, 1<<16)
}

func checkOperations(r *yamldoc.Report, s *Service) {
	if s.Type == TypeModel && len(s.Operations) > 0 {
		r.Addf("operations", "only plain services have operations")
	}
	if s.Type == TypePlain && len(s.Operations) == 0 {
		r.Addf("operations", "a plain service needs at least one operation")
	}
	for name, op := range s.Operations {
		if !namePattern.MatchString(name) {
			r.Addf("operations."+name, "want lower-case letters, digits and dashes")
		}
		checkRange(r, "operations."+name+".cost", float64(op.Cost), 0, 1e9)
	}
}

func checkOrders(r *yamldoc.Report, s *Service) {
	if s.Type != TypeModel && (s.Orders.Version != "" || len(s.Orders.Draining) > 0) {
		r.Addf("orders", "only model services take orders")
	}
	if s.Orders.Version != "" && !s.AllowsVersion(s.Orders.Version) {
		r.Addf("orders.version", "%q is not among the versions that may serve", s.Orders.Version)
	}
	for n, id := range s.Orders.Draining {
		if id == "" {
			r.Addf("orders.draining."+strconv.Itoa(n), "is empty")
		}
	}
}

func checkKeys(r *yamldoc.Report, keys []Key) {
	seen := make(map[string]bool, len(keys))
	for i, key := range keys {
		path := "keys." + strconv.Itoa(i)
		if !namePattern.MatchString(key.ID) {
			r.Addf(path+".id", "want lower-case letters, digits and dashes, have %q", key.ID)
		}
		if seen[key.ID] {
			r.Addf(path+".id", "%q is given twice", key.ID)
		}
		seen[key.ID] = true
		if sum, err := hex.DecodeString(key.SHA256); err != nil || len(sum) != 32 {
			r.Addf(path+".sha256", "want 64 hexadecimal digits")
		}
	}
}

func checkRegions(r *yamldoc.Report, regions map[string]Region) {
	if len(regions) == 0 {
		r.Addf("regions", "a fleet needs at least one region")
	}
	regionOf := make(map[string]string)
	for name, region := range regions {
		path := "regions." + name
		if len(region.Domains) == 0 {
			r.Addf(path+".domains", "a region needs at least one failure domain")
		}
		for i, domain := range region.Domains {
			if !namePattern.MatchString(domain) {
				r.Addf(path+".domains."+strconv.Itoa(i), "want lower-case letters, digits and dashes, have %q", domain)
			}
			if other, ok := regionOf[domain]; ok {
				r.Addf(path+".domains."+strconv.Itoa(i), "%q is already in region %s", domain, other)
			}
			regionOf[domain] = name
		}
	}
}

func checkSlots(r *yamldoc.Report, s Slots) {
	checkRange(r, "slots.per_domain", float64(s.PerDomain), 1, maxSlots)
	checkRange(r, "slots.peers", float64(s.Peers), 0, 16)
	checkRange(r, "slots.promises", float64(s.Promises), 1, max(1, float64(s.Peers)))
	if s.Lease < time.Second || s.Lease > time.Hour {
		r.Addf("slots.lease", "want 1s to 1h, have %s", s.Lease)
	}
	if s.Promise < time.Second || s.Promise > s.Lease {
		r.Addf("slots.promise", "want 1s to the lease %s, have %s", s.Lease, s.Promise)
	}
	if s.Release < s.Lease {
		r.Addf("slots.release", "want at least the lease %s, have %s", s.Lease, s.Release)
	}
}

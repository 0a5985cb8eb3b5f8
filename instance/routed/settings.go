// Package routed wires an entry instance that serves HTTP routes. Its configuration
// is one versioned document in the store, its backend servers register themselves
// there, and it finds the other instances there.
//
// The names and formats of a deployment are kept out of this package: a Source decodes
// the store's items, a Codec the headers.
package routed

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/yamldoc"
)

// Settings are the static settings of an instance, read once at its start.
type Settings struct {
	ID       string            `yaml:"id"`
	Region   string            `yaml:"region"`
	Domain   string            `yaml:"domain"`
	Domains  map[string]string `yaml:"domains"` // region of each failure domain
	Listen   Listen            `yaml:"listen"`
	Seeds    []string          `yaml:"seeds"` // peer addresses to try in addition to the members in the store
	Store    Store             `yaml:"store"`
	MemoryMB int64             `yaml:"memory_mb"` // that the process may use, in MiB
	LinkMbps float64           `yaml:"link_mbps"` // rate of the machine's network link; 0 if unknown
	Bounds   Bounds            `yaml:"bounds"`
	Retry    Retry             `yaml:"retry"`
	Log      Log               `yaml:"log"`
	// FirstStart is set when the whole system starts for the first time: nothing ran before.
	FirstStart bool `yaml:"first_start"`
	// Features switches decision mechanisms off by name; those that are not named are on.
	Features map[features.Name]bool `yaml:"features"`
}

// Listen holds the addresses that the instance serves, IP:port each.
type Listen struct {
	Callers   string `yaml:"callers"`
	Ready     string `yaml:"ready"`
	Directory string `yaml:"directory"`
	Peers     string `yaml:"peers"`   // gRPC, from other instances
	Relay     string `yaml:"relay"`   // forwarded HTTP requests, from other instances
	Metrics   string `yaml:"metrics"` // metrics and the state dump; none when empty
}

// Store locates the store and sets the limits of calls to it.
type Store struct {
	Address     string        `yaml:"address"`
	CallTimeout time.Duration `yaml:"call_timeout"` // max time without a byte of the response, in addition to a watch's wait
	MinLease    time.Duration `yaml:"least_lease"`  // shortest lease that the store grants
}

// Bounds are the times that the deployment sets.
type Bounds struct {
	Grace        time.Duration `yaml:"grace"`         // from SIGTERM to the kill
	DirectoryTTL time.Duration `yaml:"directory_ttl"` // longest validity of a directory response
	RegionDelay  time.Duration `yaml:"region_delay"`  // one-way delay between regions
}

// Retry bounds retries over the whole fleet, for each service.
type Retry struct {
	Ratio  float64       `yaml:"ratio"`
	Slack  float64       `yaml:"slack"`
	Window time.Duration `yaml:"window"`
}

// Log configures logging.
type Log struct {
	Level string `yaml:"level"` // debug, info, warn or error
}

// DefaultSettings returns the defaults that a settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		Store:    Store{CallTimeout: 1500 * time.Millisecond, MinLease: time.Second},
		Bounds:   Bounds{Grace: 8 * time.Second, DirectoryTTL: 5 * time.Second, RegionDelay: 80 * time.Millisecond},
		Retry:    Retry{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Log:      Log{Level: "info"},
		MemoryMB: 256,
	}
}

// ParseSettings decodes and checks settings. The error is of type yamldoc.Findings.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := DefaultSettings()
	r := yamldoc.Decode(file, data, &s)
	for path, value := range map[string]string{"id": s.ID, "region": s.Region, "domain": s.Domain} {
		if value == "" {
			r.Addf(path, "is required")
		}
	}
	for path, address := range map[string]string{
		"listen.callers": s.Listen.Callers, "listen.ready": s.Listen.Ready, "listen.directory": s.Listen.Directory,
		"listen.peers": s.Listen.Peers, "listen.relay": s.Listen.Relay, "store.address": s.Store.Address,
	} {
		checkAddress(r, path, address)
	}
	for n, address := range s.Seeds {
		checkAddress(r, "seeds."+strconv.Itoa(n), address)
	}
	for path, d := range map[string]time.Duration{
		"store.call_timeout": s.Store.CallTimeout, "store.least_lease": s.Store.MinLease, "bounds.grace": s.Bounds.Grace,
		"bounds.directory_ttl": s.Bounds.DirectoryTTL, "retry.window": s.Retry.Window,
	} {
		if d <= 0 {
			r.Addf(path, "want above 0, have %s", d)
		}
	}
	if s.LinkMbps < 0 {
		r.Addf("link_mbps", "want 0 or above, have %v", s.LinkMbps)
	}
	if s.Retry.Ratio < 0 || s.Retry.Slack < 0 {
		r.Addf("retry", "ratio and slack have to be 0 or above")
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		r.Addf("log.level", "want debug, info, warn or error, have %q", s.Log.Level)
	}
	for name := range s.Features {
		if !features.Known(name) {
			r.Addf("features."+string(name), "is no feature; there are %v", features.All())
		}
	}
	if s.Domains[s.Domain] != s.Region {
		r.Addf("domains", "want the region %q for the local failure domain %q, have %q", s.Region, s.Domain, s.Domains[s.Domain])
	}
	return s, r.Err()
}

func checkAddress(r *yamldoc.Report, path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		r.Addf(path, "want IP:port, have %q", address)
	}
}

// regions returns the regions of the deployment, ordered.
func (s *Settings) regions() []string {
	regions := slices.Sorted(maps.Values(s.Domains))
	return slices.Compact(regions)
}

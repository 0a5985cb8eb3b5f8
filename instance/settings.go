// Package instance wires one entry instance together: settings, listeners, the loops that
// watch, poll and exchange, and the graceful shutdown.
package instance

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/basilroute/basilroute/yamldoc"
)

// Settings are the static settings of an instance, read once at its start.
type Settings struct {
	ID       string   `yaml:"id"`
	Region   string   `yaml:"region"`
	Domain   string   `yaml:"domain"`
	Callers  Listener `yaml:"callers"`
	Peers    Listener `yaml:"peers"`
	Seeds    []string `yaml:"seeds"` // peer addresses to try in addition to the platform's list
	Operator Operator `yaml:"operator"`
	Platform Platform `yaml:"platform"`
	Log      Log      `yaml:"log"`
	Links    Links    `yaml:"links"`
	Stop     Stop     `yaml:"stop"`
	Via      Via      `yaml:"via"`
}

// Listener is an address that the instance serves.
type Listener struct {
	Listen    string `yaml:"listen"`    // IP:port to bind
	Advertise string `yaml:"advertise"` // address given to others; the bound one when empty
	TLS       TLS    `yaml:"tls"`
}

// TLS names certificate files, which are reloaded when they change.
type TLS struct {
	Cert      string `yaml:"cert"`
	Key       string `yaml:"key"`
	CA        string `yaml:"ca"`         // of the remote side, for mutual TLS
	PlainText bool   `yaml:"plain_text"` // no TLS; has to be set explicitly
}

// Operator is the operators' address.
type Operator struct {
	Listen      string `yaml:"listen"`
	TokenSHA256 string `yaml:"token_sha256"` // of the operators' token, in hexadecimal
	TLS         TLS    `yaml:"tls"`
}

// Platform configures the calls to the platform's services.
type Platform struct {
	URL         string        `yaml:"url"`
	CA          string        `yaml:"ca"` // CA file that an https URL's certificate is verified with; the system's CAs when empty
	CallTimeout time.Duration `yaml:"call_timeout"`
	CallRate    float64       `yaml:"call_rate"` // calls per second of this instance
	CallBurst   int64         `yaml:"call_burst"`
}

// Log configures logging.
type Log struct {
	Level  string `yaml:"level"`  // debug, info, warn or error
	Format string `yaml:"format"` // text or json
}

// Links are one-way delays.
type Links struct {
	Domain time.Duration `yaml:"domain"` // between failure domains of a region
	Region time.Duration `yaml:"region"` // between regions
}

// Stop bounds the graceful shutdown.
type Stop struct {
	Limit time.Duration `yaml:"limit"` // requests in flight are cancelled after it; no limit when 0
}

// Via configures the signing of via tokens, which keep requests from looping between
// services. Every instance of the fleet needs the same secret.
type Via struct {
	Secret string `yaml:"secret"` // at least 32 characters; derived from operator.token_sha256 when empty
}

const minViaSecret = 32

func checkVia(r *yamldoc.Report, v Via) {
	if v.Secret != "" && len(v.Secret) < minViaSecret {
		r.Addf("via.secret", "want at least %d characters, have %d", minViaSecret, len(v.Secret))
	}
}

// viaSecret returns the secret that signs via tokens.
func (s *Settings) viaSecret() []byte {
	if s.Via.Secret != "" {
		return []byte(s.Via.Secret)
	}
	mac := hmac.New(sha256.New, []byte(s.Operator.TokenSHA256))
	mac.Write([]byte("via"))
	return mac.Sum(nil)
}

// DefaultSettings returns the defaults that a settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		Platform: Platform{CallTimeout: time.Second, CallRate: 20, CallBurst: 40},
		Log:      Log{Level: "info", Format: "text"},
		Links:    Links{Domain: time.Millisecond, Region: 80 * time.Millisecond},
	}
}

// ParseSettings decodes and checks settings. The error is of type yamldoc.Findings.
func ParseSettings(file string, data []byte) (Settings, error) {
	s := DefaultSettings()
	r := yamldoc.Decode(file, data, &s)
	required(r, "id", s.ID)
	required(r, "region", s.Region)
	required(r, "domain", s.Domain)
	checkListener(r, "callers", s.Callers)
	checkListener(r, "peers", s.Peers)
	for n, address := range s.Seeds {
		checkAddress(r, "seeds."+strconv.Itoa(n), address)
	}
	checkAddress(r, "operator.listen", s.Operator.Listen)
	checkTLS(r, "operator.tls", s.Operator.TLS)
	if !s.Peers.TLS.PlainText && s.Peers.TLS.CA == "" {
		r.Addf("peers.tls.ca", "is required: instances check each other's certificates")
	}
	if sum, err := hex.DecodeString(s.Operator.TokenSHA256); err != nil || len(sum) != 32 {
		r.Addf("operator.token_sha256", "want 64 hexadecimal digits")
	}
	if u, err := url.Parse(s.Platform.URL); err != nil || u.Host == "" {
		r.Addf("platform.url", "want a URL such as http://192.0.2.1:7000, have %q", s.Platform.URL)
	}
	checkVia(r, s.Via)
	positive(r, "platform.call_timeout", s.Platform.CallTimeout)
	if s.Platform.CallRate <= 0 || s.Platform.CallBurst <= 0 {
		r.Addf("platform.call_rate", "call_rate and call_burst have to be above 0")
	}
	checkOneOf(r, "log.level", s.Log.Level, "debug", "info", "warn", "error")
	checkOneOf(r, "log.format", s.Log.Format, "text", "json")
	return s, r.Err()
}

func required(r *yamldoc.Report, path, value string) {
	if value == "" {
		r.Addf(path, "is required")
	}
}

func positive(r *yamldoc.Report, path string, d time.Duration) {
	if d <= 0 {
		r.Addf(path, "want above 0, have %s", d)
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

func checkListener(r *yamldoc.Report, path string, l Listener) {
	checkAddress(r, path+".listen", l.Listen)
	if l.Advertise != "" {
		checkAddress(r, path+".advertise", l.Advertise)
	}
	checkTLS(r, path+".tls", l.TLS)
}

func checkTLS(r *yamldoc.Report, path string, t TLS) {
	if !t.PlainText && (t.Cert == "" || t.Key == "") {
		r.Addf(path, "cert and key are required, or plain_text: true")
	}
}

func checkAddress(r *yamldoc.Report, path, address string) {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		r.Addf(path, "want IP:port, have %q", address)
	}
}

// Package quarantine refuses requests that crash backend servers. A request is
// known by the fingerprint of its account, service and body, so that a caller
// who sends it again through another instance is recognised.
package quarantine

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashLimit is how many crashes one fingerprint may cause over the fleet.
const CrashLimit = 2

// HoldFor is how long a fingerprint is refused after its last crash.
const HoldFor = 15 * time.Minute

// Fingerprint identifies a request.
func Fingerprint(account, service, body string) string {
	digest := xxhash.New()
	for _, part := range []string{account, service, body} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":")
		_, _ = digest.WriteString(part)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// Record is what is known of one fingerprint.
type Record struct {
	Fingerprint string
	Crashes     int
	Until       time.Time
}

// List is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	records map[string]Record
}

// New returns an empty list.
func New() *List { return &List{records: make(map[string]Record)} }

// Refused tells whether the fingerprint is quarantined, and until when.
func (l *List) Refused(fingerprint string, now time.Time) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.records[fingerprint]
	return r.Until, ok && r.Crashes >= CrashLimit && now.Before(r.Until)
}

// Crashed notes that a server crashed with the request in flight.
func (l *List) Crashed(fingerprint string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	l.records[fingerprint] = Record{fingerprint, r.Crashes + 1, now.Add(HoldFor)}
}

// Merge takes in a peer's record.
func (l *List) Merge(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, ok := l.records[r.Fingerprint]
	if !ok || r.Crashes > own.Crashes {
		l.records[r.Fingerprint] = r
	}
}

// Records returns the records that have not run out.
func (l *List) Records(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for fingerprint, r := range l.records {
		if now.After(r.Until) {
			delete(l.records, fingerprint)
			continue
		}
		out = append(out, r)
	}
	return out
}

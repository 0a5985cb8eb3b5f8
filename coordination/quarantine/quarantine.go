// Package quarantine refuses requests that crash backend servers. A request is
// known by the fingerprint of its account, service and body, so that a caller
// who sends it again through another instance is recognised.
//
// # What counts as a crash
//
// A connection that breaks with the request in flight is no proof: links are cut
// and connections reset while the server lives. The server's boot id tells. The
// instance asks the server at once. The boot id from before the dispatch means a
// broken connection, and nothing is held against the request. Another boot id
// means a crash. So does a refused connection: nothing listens where a process
// did a moment ago. With no answer at all the crash is presumed for
// presumeFor, and decided by the boot id of the server's next report; a server
// that is cut off for longer leaves the presumption to run out.
//
// # How many crashes one fingerprint can cause
//
// Crashes are a set of (server, boot id), merged by union, so that two instances
// that see the same crash count it once, and two crashes seen by two instances
// count as two. With one crash known a fingerprint is suspected: it runs on one
// designated instance only, one copy at a time. So the bound is two crashes
// whenever the news of the first is faster than the next dispatch. What cannot
// be had without consensus: copies that are in flight at k instances when the
// first of them crashes its server may crash one server each (copies at one
// instance go to the same server), and the designated instance one more, if it
// runs a suspect while it knows of one crash only. It waits a while before, so
// that k+1 takes news that is slower than that. Sides of a partition count apart.
package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashLimit is how many crashes one fingerprint may cause over the fleet.
const CrashLimit = 2

// CrashTTL is how long a crash is held against a fingerprint.
const CrashTTL = 15 * time.Minute

// presumeFor is how long a crash that is not confirmed counts.
const presumeFor = 10 * time.Second

// maxRecords bounds the records that travel to a peer.
const maxRecords = 256

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

// Crash is one end of a server process, known by the server and its boot id.
type Crash struct {
	ID    string
	Until time.Time // when it is no longer held against the fingerprint
}

// CrashID names the crash of a server that had a boot id.
func CrashID(server, bootID string) string { return server + "/" + bootID }

func splitCrashID(id string) (server, bootID string) {
	at := strings.LastIndexByte(id, '/')
	return id[:max(at, 0)], id[at+1:]
}

// Record is what is known of one fingerprint.
type Record struct {
	Fingerprint string
	Crashes     int
	Until       time.Time
	Seen        []Crash
}

// presumed is a crash that the server's next report decides on.
type presumed struct {
	fingerprint string
	bootID      string
	at          time.Time
}

// List is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	crashes  map[string]map[string]time.Time // by fingerprint, then crash id: until when
	presumed map[string][]presumed           // by server
	onCrash  func()
	onEnded  func(server, bootID string)
}

// New returns an empty list.
func New() *List {
	return &List{
		crashes:  make(map[string]map[string]time.Time),
		presumed: make(map[string][]presumed),
	}
}

// OnCrash sets what is called when this instance saw a crash, so that the news
// need not wait for the next exchange. It is set before the list is used.
func (l *List) OnCrash(notify func()) { l.onCrash = notify }

// OnServerExit sets what is called, with the list locked, when a server process is
// first known to have ended. Without it requests go on to the dead server until
// it is polled again, fail there, and are held to have crashed it. It is set
// before the list is used.
func (l *List) OnServerExit(notify func(server, bootID string)) { l.onEnded = notify }

// Quarantined tells whether the fingerprint is quarantined, and until when.
func (l *List) Quarantined(fingerprint string, now time.Time) (time.Time, bool) {
	untils := l.untils(fingerprint, now)
	if len(untils) < CrashLimit {
		return time.Time{}, false
	}
	return untils[len(untils)-CrashLimit], true
}

// Suspected tells whether a crash is held against the fingerprint.
func (l *List) Suspected(fingerprint string, now time.Time) bool {
	return len(l.untils(fingerprint, now)) > 0
}

// untils returns the ends of what is held against the fingerprint, in order.
func (l *List) untils(fingerprint string, now time.Time) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var untils []time.Time
	for _, until := range l.crashes[fingerprint] {
		if now.Before(until) {
			untils = append(untils, until)
		}
	}
	slices.SortFunc(untils, time.Time.Compare)
	return untils
}

// RecordCrash notes that a server crashed with the request in flight.
func (l *List) RecordCrash(fingerprint, server, bootID string, now time.Time) {
	l.mu.Lock()
	l.add(fingerprint, CrashID(server, bootID), now.Add(CrashTTL))
	l.mu.Unlock()
	l.notify()
}

// PresumeCrash notes that a server may have crashed with the request in flight. Its
// next report decides.
func (l *List) PresumeCrash(fingerprint, server, bootID string, now time.Time) {
	l.mu.Lock()
	l.add(fingerprint, CrashID(server, bootID), now.Add(presumeFor))
	l.presumed[server] = append(l.presumed[server], presumed{fingerprint, bootID, now})
	l.mu.Unlock()
	l.notify()
}

func (l *List) notify() {
	if l.onCrash != nil {
		l.onCrash()
	}
}

// RecordBootID takes in the boot id that a server gave when asked, and decides on the
// crashes presumed of it before. A report that was asked for earlier may be of
// the process that then crashed: it would clear the request.
func (l *List) RecordBootID(server, bootID string, asked, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var open []presumed
	for _, p := range l.presumed[server] {
		if !asked.After(p.at) {
			open = append(open, p)
			continue
		}
		if p.bootID == bootID {
			delete(l.crashes[p.fingerprint], CrashID(server, bootID))
			continue
		}
		l.add(p.fingerprint, CrashID(server, p.bootID), now.Add(CrashTTL))
	}
	l.presumed[server] = open
	if len(open) == 0 {
		delete(l.presumed, server)
	}
}

func (l *List) add(fingerprint, id string, until time.Time) {
	of := l.crashes[fingerprint]
	if of == nil {
		of = make(map[string]time.Time)
		l.crashes[fingerprint] = of
	}
	if _, known := of[id]; !known && l.onEnded != nil {
		server, bootID := splitCrashID(id)
		l.onEnded(server, bootID)
	}
	if until.After(of[id]) {
		of[id] = until
	}
}

// Merge takes in a peer's record.
func (l *List) Merge(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, crash := range r.Seen {
		l.add(r.Fingerprint, crash.ID, crash.Until)
	}
}

// Records returns what has not run out, the newest first.
func (l *List) Records(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for fingerprint, crashes := range l.crashes {
		r := Record{Fingerprint: fingerprint}
		for id, until := range crashes {
			if !now.Before(until) {
				delete(crashes, id)
				continue
			}
			r.Seen = append(r.Seen, Crash{id, until})
			if until.After(r.Until) {
				r.Until = until
			}
		}
		r.Crashes = len(r.Seen)
		if r.Crashes == 0 {
			delete(l.crashes, fingerprint)
			continue
		}
		out = append(out, r)
	}
	slices.SortFunc(out, newestFirst)
	return out[:min(len(out), maxRecords)]
}

// newestFirst puts quarantined fingerprints before suspected ones.
func newestFirst(a, b Record) int {
	if quarantined := b.Crashes - a.Crashes; quarantined != 0 {
		return quarantined
	}
	return b.Until.Compare(a.Until)
}

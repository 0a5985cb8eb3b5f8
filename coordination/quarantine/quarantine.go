// Package quarantine refuses requests that crash backend servers, and requests with a
// part in their prompts that does. A request is identified by a fingerprint, see Fingerprint, so that it is recognised when a
// caller sends it again through another instance.
//
// # What counts as a crash
//
// A connection that breaks with the request in flight is no proof: links are cut
// and connections reset while the server lives. The server's boot id decides, and
// the instance asks for it at once. The boot id from before the dispatch means a
// broken connection, which does not count against the request. Another boot id
// means a crash. So does a refused connection: nothing listens where a process
// did a moment ago. If there is no response at all, the crash is presumed for
// presumptionTTL, and decided by the boot id in the server's next report; for a
// server that is cut off for longer, the presumption expires.
//
// # How many crashes one fingerprint can cause
//
// Crashes are a set of (server, boot id), merged by union, so that two instances
// that see the same crash count it once, and two crashes seen by two instances
// count as two. With one known crash a fingerprint is suspected: until it is answered,
// it runs on one designated instance only, one copy at a time. So the bound is two
// crashes whenever the update about the first arrives before the next dispatch. A stricter
// bound would need consensus: copies that are in flight at k instances when the
// first of them crashes its server may crash one server each (copies at one
// instance go to the same server), and the designated instance may lose one more,
// if it runs a suspect while it knows of one crash only. It waits for a while before
// it does, so that k+1 crashes take updates that are slower than that. The sides of
// a partition count separately.
//
// # Parts of prompts
//
// A part of a prompt may crash each server that begins to answer a request with it, whatever else the request holds. No two
// such requests have the same fingerprint, so Parts judges each part by itself, and never the last one, which belongs to the
// request.
//
// When a server crashes, all requests that had no event yet may be to blame, and each of their parts. If some had the head
// of their response, only these are. A part is cleared of a crash when a request with it is answered after that crash, at
// any instance. So parts that sound requests use are cleared within moments, and the part that crashes servers never is.
// What is still blamed for crashes at partCrashLimit different moments is refused, the part with the most crashes first;
// crashes that it explains no longer count against the others. Servers that crash together, for a reason of their own, are
// one moment.
//
// One instance lets one request try a refused part, after TrialInterval and then ever less often: of the instances that
// reported its crashes, as requests with the part come there, the one with the highest score. A trial that is answered
// clears the part everywhere. A part that was blamed wrongly is back after one trial.
//
// # Whole requests
//
// Whole requests are judged beside the parts, by all crashes that they were at: see RequestKey. Crashes after the first event refuse
// a request as they refuse a part. Few requests are at a crash before their first event, so two such crashes refuse one.
//
// Many callers may send the same sound request, which is then at each crash. It differs from one that crashes servers in how often
// it is answered. So a number of answers in full clears a request of the crashes at a moment: at the rate at which such a request is
// answered, soon, and seldom if it crashes every third server. Each instance counts the answers that it sees, from a random
// number on. Once it is refused, a row of answered trials clears it. The trials
// follow each other at once, and more of them run beside each other the more were answered. When one has crashed a server, the
// next ones wait ever longer, whether they are answered or not.
//
// Each exchange between instances carries the blamed parts with their crashes, merged by union, and what was cleared of
// them. Without a recent crash there are none.
package quarantine

import (
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CrashTTL is how long a crash counts against a fingerprint.
const CrashTTL = 15 * time.Minute

// mergeDelay is the time within which instances tell each other of a crash.
const mergeDelay = 3 * time.Second

// presumptionTTL is how long an unconfirmed crash counts against a fingerprint.
const presumptionTTL = 10 * time.Second

// maxRecords is the maximum number of records that are sent to a peer.
const maxRecords = 256

// Fingerprint identifies a request by its account, what it was sent to, and its content. That is a service, or a host if a route may
// split its requests between services.
func Fingerprint(account, target, body string) string {
	digest := xxhash.New()
	for _, part := range []string{account, target, body} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)))
		_, _ = digest.WriteString(":")
		_, _ = digest.WriteString(part)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// Crash is the crash of a server process, identified by the server and its boot id.
type Crash struct {
	ID    string
	Until time.Time // when it no longer counts against the fingerprint
}

// CrashID returns the id of the crash of a server process with a boot id.
func CrashID(server, bootID string) string { return server + "/" + bootID }

func splitCrashID(id string) (server, bootID string) {
	at := strings.LastIndexByte(id, '/')
	return id[:max(at, 0)], id[at+1:]
}

// Record holds the crashes of one fingerprint.
type Record struct {
	Fingerprint string
	Crashes     int
	Until       time.Time
	Seen        []Crash
}

// presumedCrash is a crash that the server's next report confirms or refutes.
type presumedCrash struct {
	fingerprint string
	bootID      string
	at          time.Time
	onConfirmed func()
}

// suspicion is the suspicion of a fingerprint for one crash.
type suspicion struct {
	until   time.Time
	cleared bool // the request was answered since
}

// List holds the suspects: requests that were in flight at crashes and were not answered since. It is safe for concurrent use.
type List struct {
	mu           sync.Mutex
	crashes      map[string]map[string]suspicion // by fingerprint and crash id
	presumed     map[string][]presumedCrash      // by server
	onCrash      func()
	onServerExit func(server, bootID string)
}

// New returns an empty list.
func New() *List {
	return &List{
		crashes:  make(map[string]map[string]suspicion),
		presumed: make(map[string][]presumedCrash),
	}
}

// OnCrash sets the function that is called when this instance saw a crash, so that
// peers are notified before the next exchange. It has to be set before the list is used.
func (l *List) OnCrash(notify func()) { l.onCrash = notify }

// OnServerExit sets the function that is called, with the list locked, when a server
// process is first known to have ended. Without it requests are still dispatched to the
// dead server until it is polled again, fail there, and are blamed for its crash. It has
// to be set before the list is used.
func (l *List) OnServerExit(notify func(server, bootID string)) { l.onServerExit = notify }

// Suspected reports whether a crash counts against the fingerprint.
func (l *List) Suspected(fingerprint string, now time.Time) bool {
	return len(l.expiries(fingerprint, now)) > 0
}

// CrashedLately reports whether a request was at isolatedCrashLimit crashes within mergeDelay, or at presumed ones. Parts learns of
// these later than List, and the request would crash one more server meanwhile.
func (l *List) CrashedLately(fingerprint string, now time.Time) bool {
	lately := 0
	for _, until := range l.expiries(fingerprint, now) {
		presumed := until.Sub(now) <= presumptionTTL
		if presumed || now.Sub(until.Add(-CrashTTL)) < mergeDelay {
			lately++
		}
	}
	return lately >= isolatedCrashLimit
}

// expiries returns when each crash that counts against the fingerprint expires, in order.
func (l *List) expiries(fingerprint string, now time.Time) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []time.Time
	for _, s := range l.crashes[fingerprint] {
		if !s.cleared && now.Before(s.until) {
			out = append(out, s.until)
		}
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// RecordAnswer clears a request that was answered in full of all crashes that this instance knows of. Another instance still suspects
// it and sends it to the one that runs the suspects, which clears it with its first answer.
func (l *List) RecordAnswer(fingerprint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.crashes[fingerprint] {
		s.cleared = true
		l.crashes[fingerprint][id] = s
	}
}

// RecordCrash records that a server crashed with the request in flight.
func (l *List) RecordCrash(fingerprint, server, bootID string, now time.Time) {
	l.mu.Lock()
	l.addCrash(fingerprint, CrashID(server, bootID), now.Add(CrashTTL))
	l.mu.Unlock()
	l.notify()
}

// PresumeCrash records that a server may have crashed with the request in flight. The
// server's next report decides; onConfirmed is called if it confirms the crash.
func (l *List) PresumeCrash(fingerprint, server, bootID string, now time.Time, onConfirmed func()) {
	l.mu.Lock()
	l.addCrash(fingerprint, CrashID(server, bootID), now.Add(presumptionTTL))
	l.presumed[server] = append(l.presumed[server], presumedCrash{fingerprint, bootID, now, onConfirmed})
	l.mu.Unlock()
	l.notify()
}

func (l *List) notify() {
	if l.onCrash != nil {
		l.onCrash()
	}
}

// RecordBootID applies the boot id that a server reported, and decides on the crashes
// presumed of it before the request for that report was sent, at askedAt. A report that
// was requested earlier may come from the process that then crashed, and would wrongly
// clear the request.
func (l *List) RecordBootID(server, bootID string, askedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var undecided []presumedCrash
	for _, p := range l.presumed[server] {
		if !askedAt.After(p.at) {
			undecided = append(undecided, p)
			continue
		}
		if p.bootID == bootID {
			delete(l.crashes[p.fingerprint], CrashID(server, bootID))
			continue
		}
		l.addCrash(p.fingerprint, CrashID(server, p.bootID), now.Add(CrashTTL))
		p.onConfirmed()
	}
	l.presumed[server] = undecided
	if len(undecided) == 0 {
		delete(l.presumed, server)
	}
}

func (l *List) addCrash(fingerprint, id string, until time.Time) {
	byID := l.crashes[fingerprint]
	if byID == nil {
		byID = make(map[string]suspicion)
		l.crashes[fingerprint] = byID
	}
	s, known := byID[id]
	if !known && l.onServerExit != nil {
		server, bootID := splitCrashID(id)
		l.onServerExit(server, bootID)
	}
	if until.After(s.until) {
		s.until = until
		byID[id] = s
	}
}

// Merge applies a peer's record.
func (l *List) Merge(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, crash := range r.Seen {
		l.addCrash(r.Fingerprint, crash.ID, crash.Until)
	}
}

// Records returns the suspected fingerprints with their crashes, most crashes first and then by
// latest expiry, at most maxRecords, and removes expired crashes.
func (l *List) Records(now time.Time) []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Record
	for fingerprint, crashes := range l.crashes {
		r := Record{Fingerprint: fingerprint}
		for id, s := range crashes {
			if !now.Before(s.until) {
				delete(crashes, id)
				continue
			}
			if s.cleared {
				continue
			}
			r.Seen = append(r.Seen, Crash{id, s.until})
			if s.until.After(r.Until) {
				r.Until = s.until
			}
		}
		if len(crashes) == 0 {
			delete(l.crashes, fingerprint)
		}
		if r.Crashes = len(r.Seen); r.Crashes > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, byCrashes)
	return out[:min(len(out), maxRecords)]
}

// byCrashes orders records by descending number of crashes and then by descending expiry.
func byCrashes(a, b Record) int {
	if more := b.Crashes - a.Crashes; more != 0 {
		return more
	}
	return b.Until.Compare(a.Until)
}

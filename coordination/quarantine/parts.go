package quarantine

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partCrashLimit is the number of moments of crashes after which requests with a part are refused.
	partCrashLimit = 3
	// momentSpacing is the least time between two crashes that count as two moments.
	momentSpacing = 250 * time.Millisecond
	// announceDelay is how old a crash is when peers are told of the parts that are blamed for it: by then most of
	// them are cleared.
	announceDelay = 150 * time.Millisecond
	// clearedTTL is how long it is remembered that a part was cleared of a crash, so that a late report does not blame it again.
	clearedTTL = time.Minute
	// recentTTL is how long at least an answered part is remembered, for crashes that peers report later.
	recentTTL = 2 * time.Second

	maxParts          = 512
	maxCrashesPerPart = 16
	maxRecentParts    = 4096
)

// PartKey identifies a part of the prompts of a service.
type PartKey uint64

// KeysOfParts returns the keys of the parts of a prompt for which requests of a service may be blamed: not the last one, which
// belongs to the request itself.
func KeysOfParts(service string, ids []uint64) []PartKey {
	if len(ids) < 2 {
		return nil
	}
	out := make([]PartKey, 0, len(ids)-1)
	for _, id := range ids[:len(ids)-1] {
		out = append(out, PartKey(xxhash.Sum64String(service+"\x00"+strconv.FormatUint(id, 16))))
	}
	return out
}

// crashKey identifies a crash: the hash of its CrashID.
type crashKey uint64

func keyOfCrash(server, bootID string) crashKey {
	return crashKey(xxhash.Sum64String(CrashID(server, bootID)))
}

// partCrash is a crash of which an instance has learned.
type partCrash struct {
	at        time.Time
	begun     bool      // the server had begun the response; of a request: an event had been passed on
	clearedAt time.Time // zero if the part is blamed for it
	told      bool      // a peer has been told, or has told this instance, that the part is blamed for it
	reporter  uint64
}

// cleared reports whether the part is not blamed for the crash any more.
func (c *partCrash) cleared() bool { return !c.clearedAt.IsZero() }

// clear clears the part of the crash. The earliest time counts: what peers tell each other again does not renew it.
func (c *partCrash) clear(at time.Time) {
	if !c.cleared() || at.Before(c.clearedAt) {
		c.clearedAt = at
	}
}

// Parts is the judgement on parts of prompts. It is safe for concurrent use. A nil Parts blames none.
type Parts struct {
	self  uint64                     // hash of this instance's id
	alive func(reporter uint64) bool // whether another instance can be reached
	heir  func(part PartKey) bool    // whether this instance speaks for a part whose reporters are gone; may be nil
	draw  func(n int) int            // a random number from 0 to n-1
	// crashLimit is the number of crashes before their first event after which requests are refused, also if these are one moment.
	crashLimit int

	anyBanned atomic.Bool
	anyBlamed atomic.Bool

	mu        sync.Mutex
	blamed    map[PartKey]map[crashKey]partCrash
	sent      map[PartKey]int // messages to peers that named a part since its last crash
	banned    map[PartKey]ban
	trials    map[PartKey]trials
	answers   map[PartKey]int       // answers of a request that count towards clearing it of its oldest crash
	recent    map[PartKey]time.Time // when a request with the part was last answered
	previous  map[PartKey]time.Time // as recent, older
	rotatedAt time.Time
	changed   bool // since the last judgement
	judgedAt  time.Time
	onCrash   func()
}

// ReporterHash returns the hash of an instance's id.
func ReporterHash(instance string) uint64 { return xxhash.Sum64String(instance) }

// NewParts returns an empty judgement for an instance. alive reports whether an instance with a hash of its id can be reached.
func NewParts(instance string, alive func(reporter uint64) bool) *Parts {
	return &Parts{
		self: ReporterHash(instance), alive: alive, draw: rand.IntN, crashLimit: earlyCrashLimit, blamed: make(map[PartKey]map[crashKey]partCrash), sent: make(map[PartKey]int), banned: make(map[PartKey]ban),
		trials: make(map[PartKey]trials), answers: make(map[PartKey]int), recent: make(map[PartKey]time.Time),
	}
}

// OnCrash sets the function that is called some time after this instance saw a crash, to tell the peers. It has to be set before
// the judgement is used.
func (p *Parts) OnCrash(notify func()) { p.onCrash = notify }

// ExpectIsolatedCopies says that each instance keeps the copies of a request on one server, see Isolation. It has to be called before
// the judgement is used.
func (p *Parts) ExpectIsolatedCopies() { p.crashLimit = isolatedCrashLimit }

// InheritBans sets the function that chooses one instance, out of all, for a part whose reporters can no longer be reached. Without it
// such a part is not tried until it is forgotten. It has to be set before the judgement is used.
func (p *Parts) InheritBans(heir func(part PartKey) bool) { p.heir = heir }

// RecordCrash blames parts for the crash of a server at which a request with them had no event yet. begun reports whether its
// response had begun.
func (p *Parts) RecordCrash(parts []PartKey, server, bootID string, begun bool, now time.Time) {
	if p == nil || len(parts) == 0 {
		return
	}
	key := keyOfCrash(server, bootID)
	p.mu.Lock()
	for _, part := range parts {
		p.add(part, key, partCrash{at: now, begun: begun, reporter: p.self})
	}
	p.judge(now)
	p.mu.Unlock()
	p.announceLater()
}

// announceLater tells the peers of a crash when most of what was at it is cleared.
func (p *Parts) announceLater() {
	if p.onCrash != nil {
		time.AfterFunc(announceDelay, p.onCrash)
	}
}

// add merges a crash into what is known. The caller holds the lock.
func (p *Parts) add(part PartKey, key crashKey, c partCrash) {
	crashes := p.blamed[part]
	if crashes == nil {
		if len(p.blamed) >= maxParts && !p.evict() {
			return
		}
		crashes = make(map[crashKey]partCrash)
		p.blamed[part] = crashes
		p.anyBlamed.Store(true)
	}
	if known, ok := crashes[key]; ok {
		c.begun = c.begun || known.begun
		if known.cleared() {
			c.clear(known.clearedAt)
		}
		c.told = c.told || known.told
		c.reporter = min(c.reporter, known.reporter)
		if known.at.Before(c.at) {
			c.at = known.at
		}
	}
	if last := p.lastAnswered(part); last.After(c.at) {
		c.clear(last)
	}
	if crashes[key] == c {
		return
	}
	known, isKnown := crashes[key]
	if !isKnown {
		delete(p.trials, part)
	}
	if !isKnown || c.cleared() && !known.cleared() {
		delete(p.sent, part)
	}
	crashes[key] = c
	p.changed = true
	for len(crashes) > maxCrashesPerPart {
		delete(crashes, oldest(crashes))
	}
}

// oldest returns the oldest crash, of those that were cleared if there are any.
func oldest(crashes map[crashKey]partCrash) (out crashKey) {
	first := true
	for key, c := range crashes {
		o := crashes[out]
		if first || c.cleared() && !o.cleared() || c.cleared() == o.cleared() && c.at.Before(o.at) {
			out, first = key, false
		}
	}
	return out
}

// evict drops what is blamed least, requests before parts, unless all are banned. The caller holds the lock.
func (p *Parts) evict() bool {
	var least PartKey
	fewest := maxCrashesPerPart + 1
	for part, crashes := range p.blamed {
		if _, banned := p.banned[part]; banned {
			continue
		}
		count := 0
		for _, c := range crashes {
			if !c.cleared() {
				count++
			}
		}
		if count < fewest || count == fewest && part.request() && !least.request() {
			least, fewest = part, count
		}
	}
	if fewest > maxCrashesPerPart {
		return false
	}
	p.forget(least)
	return true
}

// forget drops what is known of a part. The caller holds the lock.
func (p *Parts) forget(part PartKey) {
	delete(p.blamed, part)
	delete(p.sent, part)
	delete(p.answers, part)
}

// lastAnswered returns when a request with a part was last answered, if that is not long ago. The caller holds the lock.
func (p *Parts) lastAnswered(part PartKey) time.Time {
	if at, ok := p.recent[part]; ok {
		return at
	}
	return p.previous[part]
}

// RecordAnswer clears parts of the crashes before: a server has begun to answer a request with them and did not crash.
func (p *Parts) RecordAnswer(parts []PartKey, now time.Time) {
	if p == nil || len(parts) == 0 {
		return
	}
	p.mu.Lock()
	if now.Sub(p.rotatedAt) >= recentTTL || len(p.recent) >= maxRecentParts {
		p.previous, p.recent, p.rotatedAt = p.recent, make(map[PartKey]time.Time), now
	}
	freed := false
	for _, part := range parts {
		p.recent[part] = now
		for key, c := range p.blamed[part] {
			if !c.cleared() {
				c.clear(now)
				p.changed = true
				p.blamed[part][key] = c
			}
		}
		if _, banned := p.banned[part]; banned {
			freed = true
		}
	}
	if freed {
		p.judge(now)
	}
	p.mu.Unlock()
	if freed && p.onCrash != nil {
		go p.onCrash()
	}
}

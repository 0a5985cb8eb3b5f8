package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// requestTag is set in the keys of requests, which tells them from those of parts, also in records of peers.
	requestTag PartKey = 1<<16 - 1

	// answersPerCrash is how many complete answers outweigh a crash. A request that crashes a server one time in three gains
	// two answers with each crash and stands out; one that is at a crash less than one time in six does not.
	answersPerCrash = 5
	// earlyCrashWeight is how many times as many answers outweigh a crash before the first event. Few requests are at such a
	// crash, so that two suffice to refuse one.
	earlyCrashWeight = 4

	// earlyMomentLimit and earlyCrashLimit are the moments of crashes before the first event, and the crashes, after which a
	// request is refused. Servers that crash together are one moment, but copies of one request may crash several at once.
	earlyMomentLimit = 2
	earlyCrashLimit  = 3
	// isolatedCrashLimit is the limit of crashes where an instance keeps the copies of a request on one server.
	isolatedCrashLimit = 2

	// soleCrashTTL is how long a request is remembered that was at one crash only, after its first event.
	soleCrashTTL = 2 * time.Minute

	// maxCrashesPerRequestRecord bounds the crashes of one request in the records for a peer. They suffice to refuse it.
	maxCrashesPerRequestRecord = 4
	// maxRequestCrashes bounds the crashes of all requests in the records for a peer, and maxRefusedRequestCrashes those of
	// requests that are refused. The others get what these leave.
	maxRequestCrashes        = 13
	maxRefusedRequestCrashes = 8
	// maxClearedRequestCrashes bounds those of requests that were cleared of crashes, in clearedSends messages to peers: an instance
	// that does not hear of it goes on refusing the request.
	maxClearedRequestCrashes = maxCrashesPerPart
	clearedSends             = 16
)

// RequestKey returns the key by which a request with a fingerprint is judged beside the parts of prompts.
func RequestKey(fingerprint string) PartKey {
	return PartKey(xxhash.Sum64String(fingerprint)) | requestTag
}

// request reports whether the key is of a whole request.
func (k PartKey) request() bool { return k&requestTag == requestTag }

// RecordRequestCrash records that a server crashed while it ran a request, after an event of its answer.
func (p *Parts) RecordRequestCrash(fingerprint, server, bootID string, now time.Time) {
	p.recordRequest(fingerprint, server, bootID, true, now)
}

// RecordEarlyRequestCrash records that a server crashed while it ran a request, before any event of its answer.
func (p *Parts) RecordEarlyRequestCrash(fingerprint, server, bootID string, now time.Time) {
	p.recordRequest(fingerprint, server, bootID, false, now)
}

func (p *Parts) recordRequest(fingerprint, server, bootID string, begun bool, now time.Time) {
	if p == nil {
		return
	}
	p.mu.Lock()
	p.add(RequestKey(fingerprint), keyOfCrash(server, bootID), partCrash{at: now, begun: begun, reporter: p.self})
	p.judge(now)
	p.mu.Unlock()
	p.announceLater()
}

// RecordWholeAnswer records that a request was answered in full. A number of answers clears it of its oldest crash, see
// outweighedBy. A request that is refused is cleared of all crashes by a row of trials.
func (p *Parts) RecordWholeAnswer(fingerprint string, now time.Time) {
	if p == nil || !p.anyBlamed.Load() {
		return
	}
	key := RequestKey(fingerprint)
	p.mu.Lock()
	b, banned := p.banned[key]
	freed := false
	if banned {
		freed = p.passTrial(key, b, now)
	} else {
		p.countAnswer(key, now)
	}
	p.mu.Unlock()
	if freed && p.onCrash != nil {
		go p.onCrash()
	}
}

// passTrial records that a refused request was answered, and reports whether it is refused no more. The caller holds the lock.
func (p *Parts) passTrial(key PartKey, b ban, now time.Time) (freed bool) {
	t := p.trials[key]
	t.passed++
	p.trials[key] = t
	if t.passed < b.requiredTrials() {
		return false
	}
	for id, c := range p.blamed[key] {
		c.clear(now)
		p.blamed[key][id] = c
	}
	delete(p.answers, key)
	delete(p.sent, key)
	p.changed = true
	p.judge(now)
	return true
}

// countAnswer counts an answer of a request, and clears it of the oldest moment of crashes that it is blamed for once there are
// enough answers. The count begins at a random number, so that answers at many instances weigh as much as those at one. The caller
// holds the lock.
func (p *Parts) countAnswer(key PartKey, now time.Time) {
	oldest, found := oldestBlamed(p.blamed[key])
	if !found {
		return
	}
	count, counting := p.answers[key]
	if !counting {
		count = p.draw(oldest.outweighedBy())
	}
	p.answers[key] = count + 1
	if p.answers[key] >= oldest.outweighedBy() {
		p.clearMoment(key, oldest.at, now)
	}
}

// oldestBlamed returns the oldest crash of which a request is not cleared.
func oldestBlamed(crashes map[crashKey]partCrash) (out partCrash, found bool) {
	for _, c := range crashes {
		if !c.cleared() && (!found || c.at.Before(out.at)) {
			out, found = c, true
		}
	}
	return out, found
}

// outweighedBy returns how many answers in full clear a request of the crash.
func (c *partCrash) outweighedBy() int {
	if c.begun {
		return answersPerCrash
	}
	return earlyCrashWeight * answersPerCrash
}

// clearMoment clears a request of the crashes at a moment. The caller holds the lock.
func (p *Parts) clearMoment(key PartKey, at, now time.Time) {
	for id, c := range p.blamed[key] {
		if !c.cleared() && c.at.Sub(at) < momentSpacing {
			c.clear(now)
			p.blamed[key][id] = c
		}
	}
	delete(p.answers, key)
	delete(p.sent, key)
	p.changed = true
}

// banEarly bans the requests that were at too many crashes before their first event, but for crashes that others explain. The
// caller holds the lock.
func (p *Parts) banEarly(explained map[crashKey]PartKey) {
	for key, crashes := range p.blamed {
		if !key.request() || len(crashes) < earlyMomentLimit {
			continue
		}
		early := make(map[crashKey]partCrash)
		for id, c := range crashes {
			by, known := explained[id]
			if !c.cleared() && !c.begun && (!known || by == key) {
				early[id] = c
			}
		}
		if limit := earlyLimit(early, p.crashLimit); limit > 0 {
			b := newBan(early)
			b.limit = limit
			p.banned[key] = b
		}
	}
}

// earlyLimit returns at how many moments of crashes before its first event a request was when it came to be refused, or 0 if it is
// not.
func earlyLimit(early map[crashKey]partCrash, crashLimit int) int {
	times := moments(early)
	switch {
	case len(early) < crashLimit && len(times) < earlyMomentLimit:
		return 0
	case len(times) < earlyMomentLimit:
		return len(times)
	}
	atFirst := 0
	for _, c := range early {
		if c.at.Before(times[1]) {
			atFirst++
		}
	}
	if atFirst >= crashLimit {
		return 1
	}
	return earlyMomentLimit
}

// newestCrashes cuts the record of a request to its newest crashes, those that it is blamed for before others. Of one that it is not
// blamed for any more, peers have to hear of each.
func newestCrashes(r *PartRecord) {
	if !r.Part.request() || len(r.Crashes) <= maxCrashesPerRequestRecord || blame(*r) == 0 {
		return
	}
	slices.SortFunc(r.Crashes, func(a, b PartCrash) int {
		if a.Cleared != b.Cleared {
			if a.Cleared {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Age, b.Age)
	})
	r.Crashes = r.Crashes[:maxCrashesPerRequestRecord]
}

// boundRecords cuts sorted records to what a peer is sent. The caller holds the lock.
func (p *Parts) boundRecords(records []PartRecord) []PartRecord {
	parts, refused, cleared := maxPartRecords, maxRefusedRequestCrashes, maxClearedRequestCrashes
	kept := make([]bool, len(records))
	keep := func(at int, left *int, size int) {
		if kept[at] = *left >= size; kept[at] {
			*left -= size
		}
	}
	for at, r := range records {
		if !r.Part.request() {
			keep(at, &parts, 1)
		} else if p.isBanned(r.Part) {
			keep(at, &refused, len(r.Crashes))
		} else if blame(r) < len(r.Crashes) && p.sent[r.Part] < clearedSends {
			keep(at, &cleared, len(r.Crashes))
		}
	}
	suspected := maxRequestCrashes - (maxRefusedRequestCrashes - refused)
	var out []PartRecord
	for at, r := range records {
		if r.Part.request() && !p.isBanned(r.Part) && !kept[at] {
			keep(at, &suspected, len(r.Crashes))
		}
		if kept[at] {
			out = append(out, r)
		}
	}
	return out
}

// isBanned reports whether requests with a part are refused. The caller holds the lock.
func (p *Parts) isBanned(part PartKey) bool {
	_, banned := p.banned[part]
	return banned
}

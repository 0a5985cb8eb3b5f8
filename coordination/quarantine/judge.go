package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// judgeInterval is the time after which the judgement is made again although nothing has changed: crashes expire.
const judgeInterval = time.Second

// judge drops what has expired and decides which parts are banned. The caller holds the lock.
func (p *Parts) judge(now time.Time) {
	if !p.changed && now.Sub(p.judgedAt) < judgeInterval {
		return
	}
	p.changed, p.judgedAt = false, now
	p.expire(now)
	begun := make(map[crashKey]bool) // crashes of servers that had begun a response
	for part, crashes := range p.blamed {
		for key, c := range crashes {
			begun[key] = begun[key] || c.begun && !part.request()
		}
	}
	counted := make(map[PartKey]map[crashKey]partCrash)
	for part, crashes := range p.blamed {
		if len(crashes) < partCrashLimit {
			continue
		}
		counted[part] = make(map[crashKey]partCrash)
		for key, c := range crashes {
			if !c.cleared() && (part.request() || c.begun || !begun[key]) {
				counted[part][key] = c
			}
		}
	}
	clear(p.banned)
	explainedBy := make(map[crashKey]PartKey)
	for {
		worst := mostBlamed(counted)
		if len(worst) == 0 {
			break
		}
		explained := counted[worst[0]]
		for _, part := range worst {
			p.banned[part] = newBan(explained)
			for key := range explained {
				explainedBy[key] = part
			}
			delete(counted, part)
		}
		for _, crashes := range counted {
			maps.DeleteFunc(crashes, func(key crashKey, _ partCrash) bool { _, ok := explained[key]; return ok })
		}
	}
	p.banEarly(explainedBy)
	for part := range p.trials {
		if _, banned := p.banned[part]; !banned {
			delete(p.trials, part)
		}
	}
	p.anyBanned.Store(len(p.banned) > 0)
	p.anyBlamed.Store(len(p.blamed) > 0)
}

// expire drops crashes of parts that have crashed no server for CrashTTL, and those that were cleared a while ago.
func (p *Parts) expire(now time.Time) {
	for part, crashes := range p.blamed {
		latest := time.Time{}
		for key, c := range crashes {
			if c.cleared() && now.Sub(c.clearedAt) >= clearedTTL {
				delete(crashes, key)
				continue
			}
			if c.at.After(latest) {
				latest = c.at
			}
		}
		ttl := CrashTTL
		if part.request() && len(crashes) == 1 && allBegun(crashes) {
			ttl = soleCrashTTL
		}
		if len(crashes) == 0 || now.Sub(latest) >= ttl {
			p.forget(part)
		}
	}
}

// mostBlamed returns the parts that are blamed for crashes at the most moments, if these are partCrashLimit or more. Several parts
// are returned only if they are blamed for the same crashes: nothing tells them apart. A request comes before its parts, which
// others share.
func mostBlamed(counted map[PartKey]map[crashKey]partCrash) []PartKey {
	var out []PartKey
	most := partCrashLimit - 1
	for _, part := range slices.SortedFunc(maps.Keys(counted), requestsFirst) {
		n := len(moments(counted[part]))
		switch {
		case n > most:
			most, out = n, []PartKey{part}
		case n == most && len(out) > 0 && out[0].request() == part.request() && sameCrashes(counted[part], counted[out[0]]):
			out = append(out, part)
		}
	}
	return out
}

// requestsFirst orders keys.
func requestsFirst(a, b PartKey) int {
	if a.request() != b.request() {
		if a.request() {
			return -1
		}
		return 1
	}
	return cmp.Compare(a, b)
}

func sameCrashes(a, b map[crashKey]partCrash) bool {
	return maps.EqualFunc(a, b, func(partCrash, partCrash) bool { return true })
}

// moments returns the times of crashes that are momentSpacing or more apart.
func moments(crashes map[crashKey]partCrash) []time.Time {
	var times []time.Time
	for _, c := range crashes {
		times = append(times, c.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	var out []time.Time
	for _, at := range times {
		if len(out) == 0 || at.Sub(out[len(out)-1]) >= momentSpacing {
			out = append(out, at)
		}
	}
	return out
}

func allBegun(crashes map[crashKey]partCrash) bool {
	for _, c := range crashes {
		if !c.begun {
			return false
		}
	}
	return true
}

func newBan(crashes map[crashKey]partCrash) ban {
	times := moments(crashes)
	out := ban{moments: len(times), limit: partCrashLimit}
	for _, c := range crashes {
		if c.at.After(out.lastCrash) {
			out.lastCrash = c.at
		}
		if !slices.Contains(out.reporters, c.reporter) {
			out.reporters = append(out.reporters, c.reporter)
		}
	}
	return out
}

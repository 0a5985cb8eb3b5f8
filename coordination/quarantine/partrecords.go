package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxPartRecords bounds the parts that are sent to a peer.
const maxPartRecords = 32

// PartCrash is a crash for which a part is blamed.
type PartCrash struct {
	Key        uint64        // of the server and its incarnation
	Age        time.Duration // since an instance learned of the crash
	Begun      bool          // the server had begun the response to a request with the part
	Cleared    bool
	ClearedAge time.Duration // since an instance cleared the part of it, if Cleared
	Reporter   uint64        // hash of the id of an instance that had a request with the part at the server
}

// PartRecord holds what is known of a part.
type PartRecord struct {
	Part    PartKey
	Crashes []PartCrash
}

// Merge applies a peer's record.
func (p *Parts) Merge(records []PartRecord, now time.Time) {
	if len(records) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		for _, c := range r.Crashes {
			crash := partCrash{at: now.Add(-c.Age), begun: c.Begun, told: true, reporter: c.Reporter}
			if c.Cleared {
				crash.clear(now.Add(-c.ClearedAge))
			}
			p.add(r.Part, crashKey(c.Key), crash)
		}
	}
	p.judge(now)
}

// Records returns what to send to a peer, at most maxPartRecords parts and a bounded number of crashes of requests: what is
// blamed for most crashes first, then what this instance has seen itself and sent least often. Requests that were at one crash
// are many, and the one that crashes servers is among them until another instance hears of it.
func (p *Parts) Records(now time.Time) []PartRecord {
	if !p.anyBlamed.Load() {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judge(now)
	var out []PartRecord
	for part, crashes := range p.blamed {
		r := PartRecord{Part: part}
		for key, c := range crashes {
			if age := now.Sub(c.at); age >= announceDelay && (c.told || !c.cleared()) {
				r.Crashes = append(r.Crashes, c.message(key, now))
			}
		}
		newestCrashes(&r)
		if len(r.Crashes) > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b PartRecord) int {
		return cmp.Or(cmp.Compare(blame(b), blame(a)), p.compareSent(a, b))
	})
	out = p.boundRecords(out)
	for _, r := range out {
		p.recordTold(r)
	}
	return out
}

// message returns the crash as it is sent to a peer.
func (c *partCrash) message(key crashKey, now time.Time) PartCrash {
	out := PartCrash{Key: uint64(key), Age: now.Sub(c.at), Begun: c.begun, Cleared: c.cleared(), Reporter: c.reporter}
	if out.Cleared {
		out.ClearedAge = now.Sub(c.clearedAt)
	}
	return out
}

// compareSent orders records of the same blame. The caller holds the lock.
func (p *Parts) compareSent(a, b PartRecord) int {
	own, otherOwn := p.isOwn(a), p.isOwn(b)
	if own != otherOwn {
		if own {
			return -1
		}
		return 1
	}
	return cmp.Compare(p.sent[a.Part], p.sent[b.Part])
}

// isOwn reports whether this instance saw one of the crashes itself.
func (p *Parts) isOwn(r PartRecord) bool {
	return slices.ContainsFunc(r.Crashes, func(c PartCrash) bool { return c.Reporter == p.self })
}

// recordTold records that peers are told of the crashes of a part, so that they are also told when it is cleared of them. The
// caller holds the lock.
func (p *Parts) recordTold(r PartRecord) {
	p.sent[r.Part]++
	for _, sent := range r.Crashes {
		c := p.blamed[r.Part][crashKey(sent.Key)]
		c.told = true
		p.blamed[r.Part][crashKey(sent.Key)] = c
	}
}

// blame returns for how many crashes a part is blamed.
func blame(r PartRecord) (n int) {
	for _, c := range r.Crashes {
		if !c.Cleared {
			n++
		}
	}
	return n
}

package backends

import "time"

// noticeTTL is how long a notice is kept: longer than an entry of the same incarnation may be
// missing and come back, or be replaced by an older one.
const noticeTTL = 10 * time.Minute

// incarnationKey identifies an incarnation of a server by its own account. Unlike
// Entry.Incarnation it stays the same when the entry disappears and comes back.
type incarnationKey struct {
	id          string
	startUnixMs int64
}

func (s *Server) key() incarnationKey { return incarnationKey{id: s.ID, startUnixMs: s.StartUnixMs} }

// Notice is what an incarnation of a server has said in its answers to this instance. It holds
// whatever the server's entry in the store says: while the store is unreachable the entry is
// out of date.
type Notice struct {
	Leaving   bool      // it is about to shut down
	RestUntil time.Time // it wants no requests from this instance until then; zero when it did not say

	recordedAt time.Time
}

// Resting reports whether the server still wants no requests.
func (n *Notice) Resting(now time.Time) bool { return now.Before(n.RestUntil) }

// RecordLeaving records that a server says it leaves, and reports whether that is new.
func (t *Table) RecordLeaving(s *Server, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	notice := t.notices[s.key()]
	isNew := !notice.Leaving
	notice.Leaving, notice.recordedAt = true, now
	t.notices[s.key()] = notice
	if isNew {
		t.recordChange(s.Region, s.ID)
	}
	return isNew
}

// RecordRemoteLeaving records that the known incarnation of a server of another region says it
// leaves.
func (t *Table) RecordRemoteLeaving(id string, now time.Time) {
	t.mu.Lock()
	current := t.entries[id]
	t.mu.Unlock()
	if current != nil {
		t.RecordLeaving(&current.Server, now)
	}
}

// RecordRest records that a server wants no requests from this instance until a time, and
// reports whether it did not rest before. A later answer does not shorten a rest. It is no change
// of the region's servers: whoever chooses among them records the rest as well.
func (t *Table) RecordRest(s *Server, until, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	notice := t.notices[s.key()]
	isNew := !notice.Resting(now)
	if until.After(notice.RestUntil) {
		notice.RestUntil = until
	}
	notice.recordedAt = now
	t.notices[s.key()] = notice
	return isNew
}

// Notice returns what a server has said in its answers.
func (t *Table) Notice(s *Server) Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.notices[s.key()]
}

// sweepNotices drops the notices that have been kept for noticeTTL and no longer hold. The caller
// holds the lock.
func (t *Table) sweepNotices(now time.Time) {
	for key, notice := range t.notices {
		entry := t.entries[key.id]
		current := entry != nil && entry.key() == key
		if now.Sub(notice.recordedAt) > noticeTTL && !notice.Resting(now) && !(current && notice.Leaving) {
			delete(t.notices, key)
		}
	}
}

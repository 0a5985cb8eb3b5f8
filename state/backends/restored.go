package backends

import "time"

// restoredEntryHold is how long after a restore an entry is not used that was removed before: the
// store removes it again when the server has sent nothing for three heartbeats.
const restoredEntryHold = 5 * time.Second

// RecordStoreRestored records that the store came back from a copy. Entries that the copy lacks
// are kept for ReturnGrace, within which their servers write them again.
func (t *Table) RecordStoreRestored(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeBackAt, t.storeRestoredAt = now, now
	t.holdRemovals(now.Add(ReturnGrace))
}

// recentlyRestored reports whether the store may still show entries as they were in the copy. The
// caller holds the lock.
func (t *Table) recentlyRestored(now time.Time) bool {
	return !t.storeRestoredAt.IsZero() && now.Sub(t.storeRestoredAt) < restoredEntryHold
}

// isEarlierIncarnation reports whether a restored store shows the incarnation of a server before the
// known one. At other times an earlier start means that the server's clock was set back. The caller
// holds the lock.
func (t *Table) isEarlierIncarnation(s, known *Server, now time.Time) bool {
	return t.recentlyRestored(now) && s.StartUnixMs != 0 && s.StartUnixMs < known.StartUnixMs
}

// isRestoredCopy reports whether an entry that appears after a restore had been removed before it.
// The caller holds the lock.
func (t *Table) isRestoredCopy(s *Server, now time.Time) bool {
	removedAt, ok := t.removed[s.key()]
	return ok && t.recentlyRestored(now) && removedAt.Before(t.storeRestoredAt)
}

// sweepHeld takes entries into use whose hold has ended, and forgets removals that no copy can
// undo. The caller holds the lock.
func (t *Table) sweepHeld(now time.Time) {
	for _, e := range t.entries {
		if !e.heldUntil.IsZero() && !now.Before(e.heldUntil) {
			e.heldUntil = time.Time{}
			t.recordChange(e.Region, e.ID)
		}
	}
	for key, removedAt := range t.removed {
		if now.Sub(removedAt) > noticeTTL {
			delete(t.removed, key)
		}
	}
}

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
}

// isRestoredCopy reports whether an entry that appears after a restore had been removed before it.
// The caller holds the lock.
func (t *Table) isRestoredCopy(s *Server, now time.Time) bool {
	if t.storeRestoredAt.IsZero() || now.Sub(t.storeRestoredAt) >= restoredEntryHold {
		return false
	}
	removedAt, ok := t.removed[s.key()]
	return ok && removedAt.Before(t.storeRestoredAt)
}

// sweepHeld takes entries into use whose hold has ended, and forgets removals that no copy can
// undo. The caller holds the lock.
func (t *Table) sweepHeld(now time.Time) {
	for _, e := range t.entries {
		if !e.heldUntil.IsZero() && !now.Before(e.heldUntil) {
			e.heldUntil = time.Time{}
			t.recordChange(e.Region)
		}
	}
	for key, removedAt := range t.removed {
		if now.Sub(removedAt) > noticeTTL {
			delete(t.removed, key)
		}
	}
}

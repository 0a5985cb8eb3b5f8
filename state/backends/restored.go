package backends

import "time"

// RecordStoreRestored records that the store came back from a copy. Entries that the copy lacks
// are kept for ReturnGrace, within which their servers write them again.
func (t *Table) RecordStoreRestored(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeBackAt = now
}

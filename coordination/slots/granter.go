package slots

import "time"

// granted is what this instance has promised and consented to for one slot.
type granted struct {
	promisedUntil time.Time
	consentedSeq  uint64
}

// promise binds this instance not to consent before the promise has run out on
// the asker's clock: it counts from its answer, the asker from when it asked.
func (g *granted) promise(seq uint64, valid time.Duration, now time.Time) bool {
	if seq <= g.consentedSeq {
		return false
	}
	g.promisedUntil = latest(g.promisedUntil, now.Add(WithDrift(valid)))
	return true
}

// consent is final for a version: no promise for it follows.
func (g *granted) consent(seq uint64, now time.Time) (wait time.Duration, ok bool) {
	if now.Before(g.promisedUntil) {
		return g.promisedUntil.Sub(now), false
	}
	g.consentedSeq = max(g.consentedSeq, seq)
	return 0, true
}

// HandlePromiseRequest answers a holder that asks for a promise. valid is 0 when refused.
func (m *Machine) HandlePromiseRequest(slot int, seq uint64, now time.Time) (valid time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slot < 0 || slot >= len(m.slots) || !m.slots[slot].granted.promise(seq, m.settings.Promise, now) {
		return 0
	}
	return m.settings.Promise
}

// HandleConsentRequest answers a member that wants to take a slot. When refused, wait is
// how long the promise in the way lasts.
func (m *Machine) HandleConsentRequest(slot int, seq uint64, now time.Time) (wait time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slot < 0 || slot >= len(m.slots) || m.slots[slot].held != nil {
		return 0, false
	}
	return m.slots[slot].granted.consent(seq, now)
}

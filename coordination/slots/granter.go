package slots

import "time"

// commitment is what this instance has promised and consented to for one slot.
type commitment struct {
	promisedUntil time.Time
	consentedSeq  uint64
}

// promise binds this instance not to consent until the promise has expired by the
// requester's clock. This instance counts its validity from the answer, the requester
// from the request.
func (g *commitment) promise(seq uint64, valid time.Duration, now time.Time) bool {
	if seq <= g.consentedSeq {
		return false
	}
	g.promisedUntil = latest(g.promisedUntil, now.Add(WithDrift(valid)))
	return true
}

// consent records a consent unless a promise is valid. It is final for a version:
// no promise for it follows.
func (g *commitment) consent(seq uint64, now time.Time) (wait time.Duration, ok bool) {
	if now.Before(g.promisedUntil) {
		return g.promisedUntil.Sub(now), false
	}
	g.consentedSeq = max(g.consentedSeq, seq)
	return 0, true
}

// HandlePromiseRequest answers a holder's request for a promise. valid is 0 if it is refused.
func (m *Machine) HandlePromiseRequest(slot int, seq uint64, now time.Time) (valid time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slot < 0 || slot >= len(m.slots) || !m.slots[slot].commitment.promise(seq, m.settings.Promise, now) {
		return 0
	}
	return m.settings.Promise
}

// HandleConsentRequest answers a member that wants to take a slot. If it is refused because
// of a promise, wait is how long that promise is still valid.
func (m *Machine) HandleConsentRequest(slot int, seq uint64, now time.Time) (wait time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slot < 0 || slot >= len(m.slots) || m.slots[slot].held != nil {
		return 0, false
	}
	return m.slots[slot].commitment.consent(seq, now)
}

package slots

import (
	"slices"
	"time"
)

// Step returns the actions to carry out now.
func (m *Machine) Step(now time.Time) Actions {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out Actions
	for _, s := range m.slots {
		m.step(s, now, &out)
	}
	return out
}

func (m *Machine) step(s *slot, now time.Time, out *Actions) {
	if p := s.pending; p != nil && !p.inFlight && now.Sub(p.lastSentAt) >= retryInterval {
		m.retry(s, now, out)
	}
	switch {
	case s.held != nil:
		m.stepHolder(s, now, out)
	case s.pending != nil || !s.read || m.leaving || s.index >= m.settings.Slots:
	case s.free():
		m.stepFree(s, now, out)
	case s.seen.Record.Holder == m.self:
		m.adopt(s, now, out)
	default:
		m.stepOther(s, now, out)
	}
}

// retry repeats a write whose outcome is open, with the same content.
func (m *Machine) retry(s *slot, now time.Time, out *Actions) {
	if s.held == nil && s.seen.Revision != s.pending.Expect {
		s.pending = nil // another write was first, so this one cannot succeed
		return
	}
	s.pending.inFlight, s.pending.lastSentAt = true, now
	out.Writes = append(out.Writes, s.pending.Write)
}

func (m *Machine) write(s *slot, r Record, now time.Time, out *Actions) {
	m.nonce++
	r.Writer, r.Nonce = m.self, m.nonce
	w := Write{Slot: s.index, Record: r, Expect: s.seen.Revision}
	s.pending = &pendingWrite{Write: w, firstSentAt: now, lastSentAt: now, inFlight: true}
	out.Writes = append(out.Writes, w)
}

// newRecord returns the slot's next version, with this instance as the holder.
func (m *Machine) newRecord(s *slot, list []Member) Record {
	return Record{
		Holder: m.self, Seq: s.seen.Record.Seq + 1, List: list, Promises: m.settings.Promises,
		LeaseMs: m.settings.Lease.Milliseconds(), ReleaseMs: m.settings.Release.Milliseconds(),
	}
}

// take writes the slot's next epoch with this instance as the holder.
func (m *Machine) take(s *slot, now time.Time, out *Actions) {
	r := m.newRecord(s, m.desiredList(s, nil, m.self))
	r.Epoch = s.seen.Record.Epoch + 1
	s.relinquished = false
	m.write(s, r, now, out)
}

// stepFree takes a free slot. An instance that already has one waits for
// secondSlotGrace, to leave the slot to others.
func (m *Machine) stepFree(s *slot, now time.Time, out *Actions) {
	held := slices.ContainsFunc(m.slots, func(o *slot) bool { return o.held != nil || o.pending != nil })
	if held && now.Sub(s.seenAt) < secondSlotGrace {
		return
	}
	m.take(s, now, out)
}

// adopt renews a slot that was handed over to this instance. The instance does not
// mint before, since it does not know when the handover was sent and so cannot count
// the lease from it.
func (m *Machine) adopt(s *slot, now time.Time, out *Actions) {
	r := m.newRecord(s, m.desiredList(s, s.seen.Record.List, m.self))
	r.Epoch = s.seen.Record.Epoch
	s.relinquished = false
	m.write(s, r, now, out)
}

// stepOther takes a slot whose holder does not renew it. After the lease, only a member
// of the list may take it, with consents from more than |list| - H members, where H is
// promisesNeeded: fewer than H are left to promise, so the holder cannot mint. Other
// instances have to wait for the slot's expiry, by which the holder has stopped in any case.
func (m *Machine) stepOther(s *slot, now time.Time, out *Actions) {
	r := s.seen.Record
	sinceSeen := now.Sub(s.seenAt)
	if sinceSeen >= WithDrift(r.slotExpiry()) {
		m.take(s, now, out)
		return
	}
	if sinceSeen < WithDrift(r.lease()) || !r.isListed(m.self) {
		return
	}
	s.consentLocally(m.self, r.Seq, now)
	if s.consentCount(r) >= r.consentsNeeded() {
		m.take(s, now, out)
		return
	}
	if now.Sub(s.lastRequestAt) >= retryInterval {
		s.lastRequestAt = now
		m.requestFromList(s, r, true, now, out)
	}
}

func (s *slot) consentCount(r Record) int {
	count := 0
	for _, member := range r.List {
		if s.consents[member] == r.Seq {
			count++
		}
	}
	return count
}

// consentLocally records this instance's own consent, unless a promise forbids it.
func (s *slot) consentLocally(self Member, seq uint64, now time.Time) {
	if _, ok := s.commitment.consent(seq, now); ok {
		s.consents[self] = seq
	}
}

// RecordConsent records a member's consent to the version in the request.
func (m *Machine) RecordConsent(req Request, by Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if by == req.To {
		s := m.slots[req.Slot]
		s.consents[by] = max(s.consents[by], req.Seq)
	}
}

package slots

import (
	"slices"
	"time"
)

// Step returns what has to be done now.
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
	if p := s.pending; p != nil && !p.inFlight && now.Sub(p.tried) >= retryPause {
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

// retry sends a write again whose outcome is open. Its content stays the same.
func (m *Machine) retry(s *slot, now time.Time, out *Actions) {
	if s.held == nil && s.seen.Revision != s.pending.Expect {
		s.pending = nil // a taking that came too late
		return
	}
	s.pending.inFlight, s.pending.tried = true, now
	out.Writes = append(out.Writes, s.pending.Write)
}

func (m *Machine) write(s *slot, r Record, now time.Time, out *Actions) {
	m.nonce++
	r.Writer, r.Nonce = m.self, m.nonce
	w := Write{Slot: s.index, Record: r, Expect: s.seen.Revision}
	s.pending = &pendingWrite{Write: w, asked: now, tried: now, inFlight: true}
	out.Writes = append(out.Writes, w)
}

// record returns the slot's next version with this instance as its holder.
func (m *Machine) record(s *slot, list []Member) Record {
	return Record{
		Holder: m.self, Seq: s.seen.Record.Seq + 1, List: list, Promises: m.settings.Promises,
		LeaseMs: m.settings.Lease.Milliseconds(), ReleaseMs: m.settings.Release.Milliseconds(),
	}
}

// take writes the slot's next epoch.
func (m *Machine) take(s *slot, now time.Time, out *Actions) {
	r := m.record(s, m.desiredList(s, nil, m.self))
	r.Epoch = s.seen.Record.Epoch + 1
	s.givenUp = false
	m.write(s, r, now, out)
}

// stepFree takes a free slot. Several for one instance only when others leave it.
func (m *Machine) stepFree(s *slot, now time.Time, out *Actions) {
	held := slices.ContainsFunc(m.slots, func(o *slot) bool { return o.held != nil || o.pending != nil })
	if held && now.Sub(s.seenAt) < secondSlotGrace {
		return
	}
	m.take(s, now, out)
}

// adopt makes a slot that was handed over the own one, by a renewal: the time of
// the handing write is not this instance's to count from.
func (m *Machine) adopt(s *slot, now time.Time, out *Actions) {
	r := m.record(s, m.desiredList(s, s.seen.Record.List, m.self))
	r.Epoch = s.seen.Record.Epoch
	s.givenUp = false
	m.write(s, r, now, out)
}

// stepOther takes a slot whose holder has fallen silent. Only a member of the
// list may, after the lease, with consents of more than |list| - H of them: fewer
// than H are left to promise, so the holder cannot mint. A newcomer has to wait
// for the lapse, by which the holder has stopped in any case.
func (m *Machine) stepOther(s *slot, now time.Time, out *Actions) {
	r := s.seen.Record
	silent := now.Sub(s.seenAt)
	if silent >= WithDrift(r.lapse()) {
		m.take(s, now, out)
		return
	}
	if silent < WithDrift(r.lease()) || !r.lists(m.self) {
		return
	}
	s.consent(m.self, r.Seq, now)
	if s.consentCount(r) >= r.consentsNeeded() {
		m.take(s, now, out)
		return
	}
	if now.Sub(s.lastAsk) >= retryPause {
		s.lastAsk = now
		m.askAll(s, r, true, now, out)
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

// consent gives this instance's own consent, when its promise allows.
func (s *slot) consent(self Member, seq uint64, now time.Time) {
	if _, ok := s.granted.consent(seq, now); ok {
		s.consents[self] = seq
	}
}

// RecordConsent takes in a member's consent to the version asked about.
func (m *Machine) RecordConsent(a Request, by Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if by == a.To {
		s := m.slots[a.Slot]
		s.consents[by] = max(s.consents[by], a.Seq)
	}
}

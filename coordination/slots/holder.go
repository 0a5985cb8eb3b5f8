package slots

import (
	"cmp"
	"slices"
	"time"
)

// mintDeadline returns until when this instance may mint as the holder: the end of
// its lease or of its promises, whichever is later, and never past the slot's expiry.
//
// While the outcome of a renewal is open, the store may have either list, so promises
// from both are needed. If the newer list were ignored, a member that takes the slot
// with consents from that list and the holder with promises from the older one would
// both mint.
func (s *slot) mintDeadline() time.Time {
	h := s.held
	if h == nil || s.relinquished {
		return time.Time{}
	}
	expiry := h.sentAt.Add(h.Record.slotExpiry())
	promised := s.promisedUntil(h.Record, expiry)
	if s.pending != nil {
		promised = earliest(promised, s.promisedUntil(s.pending.Record, expiry))
	}
	return earliest(expiry, latest(h.sentAt.Add(h.Record.lease()), promised))
}

// promisedUntil returns until when enough members of the record's list are bound by
// their promises. With an empty list, nobody can take the slot before its expiry.
func (s *slot) promisedUntil(r Record, expiry time.Time) time.Time {
	need := r.promisesNeeded()
	if need == 0 {
		return expiry
	}
	var expiries []time.Time
	for _, member := range r.List {
		expiries = append(expiries, s.promised[promiseKey{member, r.Seq}])
	}
	slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
	return expiries[need-1]
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stepHolder renews a held slot, requests promises once renewals are overdue, and
// hands the slot over or releases it.
func (m *Machine) stepHolder(s *slot, now time.Time, out *Actions) {
	m.requestPromises(s, now, out)
	if s.pending != nil {
		return
	}
	if m.leaving || s.index >= m.settings.Slots {
		m.relinquish(s, Record{Released: true}, now, out)
		return
	}
	if to, ok := m.handoverTo(s, now); ok {
		m.relinquish(s, Record{Holder: to}, now, out)
		return
	}
	age := now.Sub(s.held.sentAt)
	list := m.desiredList(s, s.held.Record.List, m.self)
	newList := !slices.Equal(list, s.held.Record.List) && age >= listInterval(len(list), len(s.held.Record.List))
	if age >= s.held.Record.lease()/renewalsPerLease || newList {
		r := m.newRecord(s, list)
		r.Epoch = s.held.Record.Epoch
		m.write(s, r, now, out)
	}
}

// listInterval returns the minimum age of a version before it is replaced only to
// change the list. A longer list is written soon, because the slot of a holder that
// crashes with too short a list stays unused until its expiry.
func listInterval(length, present int) time.Duration {
	if length > present {
		return longerListInterval
	}
	return listChangeInterval
}

// relinquish releases the slot or hands it over. It stops minting before the write is
// sent, since the next holder may mint as soon as the write is stored, even if this
// instance never receives the outcome.
func (m *Machine) relinquish(s *slot, r Record, now time.Time, out *Actions) {
	s.relinquished = true
	next := m.newRecord(s, nil)
	next.Holder, next.Released = r.Holder, r.Released
	next.Epoch = s.held.Record.Epoch + 1
	if !r.Released {
		next.List = m.desiredList(s, nil, r.Holder)
	}
	m.write(s, next, now, out)
}

// handoverTo returns a live instance without a slot if this instance holds several
// slots and s is the last of them.
func (m *Machine) handoverTo(s *slot, now time.Time) (Member, bool) {
	if s.held.Record.Epoch > 1 && now.Sub(s.heldSince) < takeoverGrace {
		return Member{}, false
	}
	count, last := 0, -1
	holders := make(map[Member]bool)
	for _, other := range m.slots {
		if other.held != nil && !other.relinquished {
			count, last = count+1, other.index
		}
		if other.read && !other.free() {
			holders[other.seen.Record.Holder] = true
		}
	}
	if count < 2 || last != s.index {
		return Member{}, false
	}
	var without []Member
	for member, since := range m.live {
		if !holders[member] && now.Sub(since) >= handoverGrace {
			without = append(without, member)
		}
	}
	if len(without) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(without, compareMembers), true
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// desiredList returns the live holders of other slots, at most settings.Peers. Members
// of the present list are preferred, so that the list does not change needlessly.
func (m *Machine) desiredList(s *slot, present []Member, holder Member) []Member {
	var all []Member
	for _, other := range m.slots {
		h := other.seen.Record.Holder
		if other == s || other.free() || !other.read || h == holder || slices.Contains(all, h) {
			continue
		}
		if _, live := m.live[h]; live || h == m.self {
			all = append(all, h)
		}
	}
	if holder != m.self && !slices.Contains(all, m.self) {
		all = append(all, m.self)
	}
	slices.SortFunc(all, func(a, b Member) int {
		keptA, keptB := slices.Contains(present, a), slices.Contains(present, b)
		if keptA != keptB {
			if keptA {
				return -1
			}
			return 1
		}
		return compareMembers(a, b)
	})
	all = all[:min(len(all), m.settings.Peers)]
	slices.SortFunc(all, compareMembers)
	return all
}

// requestPromises requests promises from half of the lease on, so that they have arrived
// when it ends.
func (m *Machine) requestPromises(s *slot, now time.Time, out *Actions) {
	if now.Sub(s.held.sentAt) < s.held.Record.lease()/2 || now.Sub(s.lastRequestAt) < m.settings.Promise/promisesPerValidity {
		return
	}
	s.lastRequestAt = now
	m.requestFromList(s, s.held.Record, false, now, out)
	if s.pending != nil {
		m.requestFromList(s, s.pending.Record, false, now, out)
	}
}

func (m *Machine) requestFromList(s *slot, r Record, consent bool, now time.Time, out *Actions) {
	for _, member := range r.List {
		if member != m.self {
			out.Requests = append(out.Requests, Request{Slot: s.index, To: member, Epoch: r.Epoch, Seq: r.Seq, Consent: consent, SentAt: now})
		}
	}
}

// RecordPromise records a member's promise. Its validity counts from the request.
func (m *Machine) RecordPromise(req Request, by Member, valid time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.slots[req.Slot]
	if s.held == nil || by != req.To {
		return
	}
	key := promiseKey{by, req.Seq}
	s.promised[key] = latest(s.promised[key], req.SentAt.Add(valid))
}

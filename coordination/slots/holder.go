package slots

import (
	"cmp"
	"slices"
	"time"
)

// mintsUntil returns until when the holder may mint: to the end of its lease or
// of its promises, whichever is later, and never past the lapse.
//
// While the outcome of a renewal is open, either list may be the one that a taker
// goes by, so the promises of both are needed. With the newer list ignored, a
// taker that collects consents from it and the holder with promises of the older
// would both mint.
func (s *slot) mintsUntil() time.Time {
	h := s.held
	if h == nil || s.givenUp {
		return time.Time{}
	}
	lapse := h.asked.Add(h.Record.lapse())
	promised := s.promisedUntil(h.Record, lapse)
	if s.pending != nil {
		promised = earliest(promised, s.promisedUntil(s.pending.Record, lapse))
	}
	return earliest(lapse, latest(h.asked.Add(h.Record.lease()), promised))
}

// promisedUntil returns until when enough members of the record's list keep
// their promise. With an empty list nobody but the lapse can take the slot.
func (s *slot) promisedUntil(r Record, lapse time.Time) time.Time {
	need := r.promisesNeeded()
	if need == 0 {
		return lapse
	}
	var fresh []time.Time
	for _, member := range r.List {
		fresh = append(fresh, s.promised[promiseKey{member, r.Seq}])
	}
	slices.SortFunc(fresh, func(a, b time.Time) int { return b.Compare(a) })
	return fresh[need-1]
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

// stepHolder renews, asks for promises once renewals are overdue, and hands a
// slot over or releases it.
func (m *Machine) stepHolder(s *slot, now time.Time, out *Actions) {
	m.askPromises(s, now, out)
	if s.pending != nil {
		return
	}
	if m.leaving || s.index >= m.settings.Slots {
		m.giveUp(s, Record{Released: true}, now, out)
		return
	}
	if to, ok := m.handoverTo(s, now); ok {
		m.giveUp(s, Record{Holder: to}, now, out)
		return
	}
	age := now.Sub(s.held.asked)
	list := m.desiredList(s, s.held.Record.List, m.self)
	newList := !slices.Equal(list, s.held.Record.List) && age >= listPause(len(list), len(s.held.Record.List))
	if age >= s.held.Record.lease()/renewalsPerLease || newList {
		r := m.record(s, list)
		r.Epoch = s.held.Record.Epoch
		m.write(s, r, now, out)
	}
}

// listPause is how old a version is before it is replaced only to bring a new
// list. A holder that crashes with too short a list leaves its slot to the lapse,
// so a longer list is written soon.
func listPause(length, present int) time.Duration {
	if length > present {
		return longerListPause
	}
	return otherListPause
}

// giveUp stops minting before it writes: whoever the write hands the slot to may
// begin as soon as it stands, also when this instance never hears so.
func (m *Machine) giveUp(s *slot, r Record, now time.Time, out *Actions) {
	s.givenUp = true
	next := m.record(s, nil)
	next.Holder, next.Released = r.Holder, r.Released
	next.Epoch = s.held.Record.Epoch + 1
	if !r.Released {
		next.List = m.desiredList(s, nil, r.Holder)
	}
	m.write(s, next, now, out)
}

// handoverTo returns a live instance without a slot, when this one has several
// and this slot is the last of them.
func (m *Machine) handoverTo(s *slot, now time.Time) (Member, bool) {
	if s.held.Record.Epoch > 1 && now.Sub(s.heldFrom) < takenGrace {
		return Member{}, false
	}
	count, last := 0, -1
	holders := make(map[Member]bool)
	for _, other := range m.slots {
		if other.held != nil && !other.givenUp {
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

// desiredList returns the live holders of other slots, the present ones first so
// that a list changes only for a reason.
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

// askPromises begins at half of the lease, so that promises are there when it ends.
func (m *Machine) askPromises(s *slot, now time.Time, out *Actions) {
	if now.Sub(s.held.asked) < s.held.Record.lease()/2 || now.Sub(s.lastAsk) < m.settings.Promise/promisesPerValid {
		return
	}
	s.lastAsk = now
	m.askAll(s, s.held.Record, false, now, out)
	if s.pending != nil {
		m.askAll(s, s.pending.Record, false, now, out)
	}
}

func (m *Machine) askAll(s *slot, r Record, consent bool, now time.Time, out *Actions) {
	for _, member := range r.List {
		if member != m.self {
			out.Requests = append(out.Requests, Request{Slot: s.index, To: member, Epoch: r.Epoch, Seq: r.Seq, Consent: consent, SentAt: now})
		}
	}
}

// RecordPromise takes in a member's promise. It counts from when it was asked for.
func (m *Machine) RecordPromise(a Request, by Member, valid time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.slots[a.Slot]
	if s.held == nil || by != a.To {
		return
	}
	key := promiseKey{by, a.Seq}
	s.promised[key] = latest(s.promised[key], a.SentAt.Add(valid))
}

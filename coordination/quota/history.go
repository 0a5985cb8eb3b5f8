package quota

import "sort"

// maxHistory bounds the memory of an account. Beyond it, older entries are merged
// into the smallest of them, which can only make a refund smaller, never larger.
const maxHistory = 32

// history finds the smallest headroom since a point in the sequence of changes.
// Minting lowers the headroom, so it is recorded before every change that raises it:
// a debit, an expired or reported loan, a larger capacity. Only the suffix minima
// are kept, so the headrooms rise from the oldest entry to the newest.
type history struct {
	seq     uint64
	raised  float64 // sum of the refunds, subtracted from every entry
	entries []headroomAt
}

type headroomAt struct {
	seq      uint64
	headroom float64 // with raised added
}

// note records the current headroom and returns the point after it.
func (h *history) note(headroom float64) uint64 {
	value := headroom + h.raised
	for n := len(h.entries); n > 0 && h.entries[n-1].headroom >= value; n = len(h.entries) {
		h.entries = h.entries[:n-1]
	}
	if len(h.entries) >= maxHistory {
		h.merge()
	}
	h.entries = append(h.entries, headroomAt{seq: h.seq, headroom: value})
	h.seq++
	return h.seq
}

// merge replaces the older half of the entries by the smallest of them.
func (h *history) merge() {
	half := len(h.entries) / 2
	merged := headroomAt{seq: h.entries[half-1].seq, headroom: h.entries[0].headroom}
	h.entries = append([]headroomAt{merged}, h.entries[half:]...)
}

// since returns the smallest headroom since a point, given the current headroom now.
func (h *history) since(seq uint64, now float64) float64 {
	i := sort.Search(len(h.entries), func(i int) bool { return h.entries[i].seq >= seq })
	if i < len(h.entries) {
		now = min(now, h.entries[i].headroom-h.raised)
	}
	return max(0, now)
}

// raise subtracts a refund from all recorded headrooms, as if the bucket had always
// been fuller. For points before the refunded charge that is more than needed, which
// errs on the safe side.
func (h *history) raise(tokens float64) { h.raised += tokens }

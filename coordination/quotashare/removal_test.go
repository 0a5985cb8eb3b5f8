package quotashare

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// removals is a store whose items may be removed, and the instances that have them.
type removals struct {
	sets         map[string]*HolderSet
	items        map[string]Entry
	minted       map[string]bool // recorded in the store
	proof        map[string]bool // the instance's item stood within the validity of a proof
	joined       map[string]bool // the instance has read all items in this incarnation
	incarnations uint64
}

func (r *removals) start(id string) {
	r.incarnations++
	r.sets[id] = NewHolderSet(id, r.incarnations)
	r.proof[id], r.joined[id] = false, false
}

// join writes the item of an instance, in the next generation if it was removed, and reads all.
func (r *removals) join(id string) {
	generation, removed := r.sets[id].Generation(id)
	if removed {
		generation++
	}
	stored, found := r.items[id]
	if stored.Removed {
		stored.Generation++
	}
	generation = max(generation, stored.Generation)
	if !found || stored.Removed || generation > stored.Generation {
		r.items[id], r.minted[id] = Entry{Holder: Holder{id, domainOf(id)}, Generation: generation}, false
	}
	r.sets[id].MergeEntries(r.stored(), false)
	if r.minted[id] {
		r.sets[id].RecordMinted()
	}
	r.sets[id].MergeEntries(nil, true)
	r.proof[id], r.joined[id] = true, true
}

func (r *removals) stored() (out []Entry) {
	for _, e := range r.items {
		out = append(out, e)
	}
	return out
}

// stands reports whether the item of an instance is of the generation that it knows.
func (r *removals) stands(id string) bool {
	generation, removed := r.sets[id].Generation(id)
	return r.joined[id] && !removed && r.items[id].Generation == generation && !r.items[id].Removed
}

// remove removes an instance whose proof has ended.
func (r *removals) remove(id string) {
	if e, found := r.items[id]; found && !e.Removed && !r.proof[id] {
		e.Removed = true
		r.items[id], r.minted[id] = e, false
	}
}

// exchange lets one instance query another. One without a proof does not vouch for its set.
func (r *removals) exchange(from, to string) {
	a, b := r.sets[from], r.sets[to]
	a.MergeEntries(b.Entries(), b.Complete() && r.proof[to] && b.has(from))
	a.ApplyReport(to, b.report())
}

func (r *removals) mints(id string) bool { return r.proof[id] && r.sets[id].Mints() }

// Guards against shares of all minting instances that exceed the whole when instances are removed and come back, in any order.
func TestPartsNeverExceedTheWholeWithRemovals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &removals{
			sets: make(map[string]*HolderSet), items: make(map[string]Entry), minted: make(map[string]bool),
			proof: make(map[string]bool), joined: make(map[string]bool),
		}
		var ids []string
		for i := range rapid.IntRange(2, 6).Draw(t, "instances") {
			ids = append(ids, fmt.Sprint("i", i))
			r.start(ids[i])
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "instance")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				r.join(id)
			case 2, 3, 4, 5:
				r.exchange(id, rapid.SampledFrom(ids).Draw(t, "peer"))
			case 6:
				if r.mints(id) && r.stands(id) {
					r.minted[id] = true
				}
			case 7:
				r.proof[id] = r.stands(id) && rapid.Bool().Draw(t, "renewed")
			case 8:
				r.remove(id)
			case 9:
				if rapid.Bool().Draw(t, "restarted") {
					r.start(id)
				}
			}
			r.check(t, ids)
		}
	})
}

func (r *removals) check(t *rapid.T, ids []string) {
	for _, id := range ids {
		for _, other := range ids {
			if r.mints(id) && r.mints(other) && !r.sets[id].has(other) {
				t.Fatalf("the set of %s lacks %s, which mints", id, other)
			}
		}
	}
}

// Guards against a report of a removed instance that is waited for, and against one that comes back as if it had never been removed.
func TestRemovedInstanceJoinsAnew(t *testing.T) {
	k := NewHolderSet("a", 1)
	k.Merge(holders("a", "gone"), true)
	if k.Mints() {
		t.Fatal("mints without a report of an instance that may mint")
	}
	gone := Entry{Holder: holders("gone")[0], Removed: true}
	k.MergeEntries([]Entry{gone}, false)
	k.Merge(holders("gone"), false)
	if !k.Mints() || k.Size() != 1 {
		t.Errorf("mints: %v among %v, want alone", k.Mints(), k.Holders())
	}
	back := NewHolderSet("gone", 2)
	back.RecordMinted()
	back.Merge(holders("a", "gone"), true)
	back.MergeEntries([]Entry{gone}, false)
	if back.Mints() {
		t.Error("mints although it was removed")
	}
	gone.Removed, gone.Generation = false, 1
	back.MergeEntries([]Entry{gone}, true)
	back.RecordMinted()
	if back.Mints() || !back.NoEarlierMint() {
		t.Error("takes the record of the earlier generation for one of this")
	}
}

// Guards against a restarted instance that takes loans of its earlier incarnation for gone although an instance that was removed
// while it may run can spend them.
func TestRemovedInstanceMayHoldLoans(t *testing.T) {
	for left, want := range map[bool]bool{false: false, true: true} {
		k := NewHolderSet("a", 2)
		k.MergeEntries([]Entry{{Holder: holders("gone")[0], Removed: true, Left: left}}, false)
		k.Merge(holders("a"), true)
		if got := k.TryClear(false); got != want {
			t.Errorf("left: %v, cleared: %v", left, got)
		}
	}
}

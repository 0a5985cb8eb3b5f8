package quotashare

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/service"
)

// world is a store and the instances that join through it.
type world struct {
	names  []Holder        // in the store
	minted map[string]bool // by the store
	live   map[string]*HolderSet
	stage  map[string]int // of joining: 0 nothing, 1 written, 2 read
	lives  uint64         // begun so far
}

// domainOf puts two of three instances into one failure domain.
func domainOf(id string) string {
	if id[len(id)-1]%3 == 0 {
		return "d0"
	}
	return "d1"
}

// holders returns instances of the failure domains that domainOf names.
func holders(ids ...string) []Holder {
	var out []Holder
	for _, id := range ids {
		out = append(out, Holder{id, domainOf(id)})
	}
	return out
}

func newWorld(ids ...string) *world {
	w := &world{minted: make(map[string]bool), live: make(map[string]*HolderSet), stage: make(map[string]int)}
	for _, id := range ids {
		w.start(id)
	}
	return w
}

// start begins a lifetime, which knows nothing of the one before.
func (w *world) start(id string) {
	w.lives++
	w.live[id], w.stage[id] = NewHolderSet(id, w.lives), 0
}

func (w *world) write(id string) {
	if w.stage[id] == 0 {
		for _, name := range w.names {
			if name.ID == id {
				w.stage[id] = 1
				return
			}
		}
		w.names = append(w.names, Holder{id, domainOf(id)})
		w.stage[id] = 1
	}
}

func (w *world) read(id string) {
	if w.stage[id] == 1 {
		if w.minted[id] {
			w.live[id].RecordMinted()
		}
		w.live[id].Merge(w.names, true)
		w.stage[id] = 2
	}
}

// exchange lets one instance ask another, as the instances do.
func (w *world) exchange(from, to string) {
	a, b := w.live[from], w.live[to]
	if a.Hash() != b.Hash() {
		own := false
		for _, h := range b.Holders() {
			own = own || h.ID == from
		}
		a.Merge(b.Holders(), b.Complete() && own)
	}
	a.ApplyReport(to, b.word())
}

// meet lets two instances hear of each other.
func (w *world) meet(from, to string) {
	w.exchange(from, to)
	w.exchange(to, from)
	w.exchange(from, to)
}

// meetAll lets every two instances meet, until each has heard that all others heard all.
func (w *world) meetAll(ids ...string) {
	for range 3 {
		for i, from := range ids {
			for _, to := range ids[i+1:] {
				w.meet(from, to)
			}
		}
	}
}

func (k *HolderSet) word() Report {
	return Report{Incarnation: k.lifetime, Hash: k.Hash(), AgreementHash: k.AgreementHash()}
}

// Guards against parts of all that mint that exceed the whole, in any order of joins, restarts, outages and words.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		var ids []string
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			id := fmt.Sprint("i", i)
			ids = append(ids, id)
			w.start(id)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				w.write(id)
			case 1:
				w.read(id)
			case 2, 3:
				w.exchange(id, rapid.SampledFrom(ids).Draw(t, "peer"))
			case 4:
				if w.live[id].Mints() {
					w.minted[id] = true
				}
			case 5:
				w.start(id)
			}
			check(t, w)
		}
	})
}

func check(t rapid.TB, w *world) {
	t.Helper()
	var minting []string
	for id, k := range w.live {
		if k.Mints() {
			minting = append(minting, id)
		}
	}
	total := make(map[string]float64)
	for _, id := range minting {
		k := w.live[id]
		for _, other := range minting {
			if !k.has(other) {
				t.Fatalf("%s divides without %s, which mints", id, other)
			}
		}
		division := NewDivision(id, k.Holders())
		for _, account := range []string{"acme", "bolt", "coil"} {
			total[account] += division.Allocate(&service.Account{Name: account}).Share
		}
	}
	for account, share := range total {
		if share > 1+1e-9 {
			t.Fatalf("%d instances mint %.3f of %s", len(minting), share, account)
		}
	}
}

// All instances restart while one of them is gone for good. Those that minted before
// mint again at once, without a word from the one that cannot answer.
func TestRestartNeedsNoWordFromTheGone(t *testing.T) {
	k := NewHolderSet("a", 1)
	k.RecordMinted()
	k.Merge(holders("a", "b", "gone"), true)
	if !k.Mints() {
		t.Error("a restarted instance waits for one that is gone")
	}
	joins := NewHolderSet("c", 1)
	joins.Merge(holders("a", "b", "c", "gone"), true)
	for _, id := range []string{"a", "b"} {
		joins.ApplyReport(id, joins.word())
	}
	if joins.Mints() {
		t.Error("a new instance mints although one that may be cut off has not counted it")
	}
}

// An instance restarts and hears of the others one by one, before it has read who they
// are. The first one holds no loan of its predecessor, another one does. Its whole part
// is free only when the set is complete and all have spoken, or the loans have expired.
func TestIncompleteSetProvesNoLoanGone(t *testing.T) {
	k := NewHolderSet("a", 1)
	k.Merge(holders("b"), false)
	k.ConfirmNoLoans("b")
	if k.TryClear(false) {
		t.Error("cleared by the word of one, with others not known")
	}
	k.Merge(holders("a", "b", "c"), true)
	if k.TryClear(false) {
		t.Error("cleared though c has not spoken")
	}
	if silent := k.Unconfirmed(); !slices.Equal(silent, []string{"c"}) {
		t.Errorf("to be asked: %v", silent)
	}
	k.ConfirmNoLoans("c")
	if !k.TryClear(false) || !k.Cleared() || k.TryClear(false) {
		t.Error("want it cleared once, when all have spoken")
	}
	if silent := k.Unconfirmed(); len(silent) != 0 {
		t.Errorf("%v are asked though all is clear", silent)
	}
	if alone := NewHolderSet("a", 1); !alone.TryClear(true) {
		t.Error("expired loans stand in the way")
	}
}

// A newcomer that cannot reach the store yet has heard of two instances. A third one
// joins and mints, the two restart, lose what they knew, and hear of each other from the
// newcomer only. Its set lacks the third one: going by it, the two would mint a half
// each beside the third one's part.
func TestSetOfAnIncompletePeerIsNotComplete(t *testing.T) {
	w := newWorld("a", "b", "third", "newcomer")
	for _, id := range []string{"a", "b"} {
		w.write(id)
	}
	w.read("a")
	w.read("b")
	w.meet("a", "b")
	w.meet("newcomer", "a")
	w.write("third")
	w.read("third")
	w.meetAll("a", "b", "third")
	if !w.live["third"].Mints() {
		t.Fatal("the third instance does not mint, though all others counted it")
	}
	for _, id := range []string{"a", "b"} {
		w.start(id)
	}
	w.meet("a", "newcomer")
	w.meet("b", "newcomer")
	w.meet("a", "b")
	for _, id := range []string{"a", "b"} {
		if w.live[id].Mints() {
			t.Errorf("%s mints one in %d while the third one mints one in %d", id, w.live[id].Size(), w.live["third"].Size())
		}
	}
}

// An instance counts a newcomer, restarts and forgets it. Before it has read the store, two
// others that have not heard of the newcomer tell it their set, which is whole as long as
// the newcomer does not mint. Then these two count the newcomer too, and it mints by the
// word that the first one gave before its restart: the first one divides by one too few.
func TestRestartedInstanceForgetsWhomItCounted(t *testing.T) {
	w := newWorld("a", "b", "c", "new")
	for _, id := range []string{"a", "b", "c"} {
		w.write(id)
	}
	for _, id := range []string{"a", "b", "c"} {
		w.read(id)
	}
	w.meetAll("a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		if !w.live[id].Mints() {
			t.Fatalf("%s does not mint", id)
		}
	}
	w.write("new")
	w.read("new")
	w.meet("new", "a")
	w.start("a")
	w.meet("a", "b")
	w.meet("a", "c")
	w.live["a"].Mints()
	w.meet("b", "new")
	w.meet("c", "new")
	w.live["new"].Mints()
	check(t, w)
	w.meetAll("a", "b", "c", "new")
	check(t, w)
	if !w.live["new"].Mints() {
		t.Error("the newcomer never mints, though all count it")
	}
}

// Guards against a newcomer that takes its own word to the store for an earlier lifetime's and mints beside loans of its part.
func TestOwnWordToTheStoreIsOfNoEarlierLifetime(t *testing.T) {
	for name, first := range map[string]func(*HolderSet){
		"it mints, then reads that it has":        func(k *HolderSet) { k.Mints() },
		"an earlier lifetime's word comes late":   (*HolderSet).RecordNeverMinted,
		"nothing is known of an earlier lifetime": func(*HolderSet) {},
	} {
		k := NewHolderSet("a0", 1)
		k.Merge(holders("a0"), true)
		first(k)
		k.RecordMinted()
		if want := name != "nothing is known of an earlier lifetime"; k.NoEarlierMint() != want {
			t.Errorf("%s: a newcomer: %v, want %v", name, k.NoEarlierMint(), want)
		}
	}
}

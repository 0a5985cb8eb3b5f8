package quotashare

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/basilroute/basilroute/service"
)

// simulation is a store and the instances that join through it.
type simulation struct {
	stored       []Holder        // instances in the store
	minted       map[string]bool // instances with a record in the store that they have minted
	sets         map[string]*HolderSet
	joinStage    map[string]int // 0 nothing done, 1 id written to the store, 2 ids read
	incarnations uint64         // number of starts so far, over all instances
}

// domainOf puts two of three instances into one failure domain.
func domainOf(id string) string {
	if id[len(id)-1]%3 == 0 {
		return "d0"
	}
	return "d1"
}

// holders returns instances with their failure domains.
func holders(ids ...string) []Holder {
	var out []Holder
	for _, id := range ids {
		out = append(out, Holder{id, domainOf(id)})
	}
	return out
}

func newSimulation(ids ...string) *simulation {
	w := &simulation{minted: make(map[string]bool), sets: make(map[string]*HolderSet), joinStage: make(map[string]int)}
	for _, id := range ids {
		w.start(id)
	}
	return w
}

// start begins a new incarnation of an instance, without the state of the one before.
func (w *simulation) start(id string) {
	w.incarnations++
	w.sets[id], w.joinStage[id] = NewHolderSet(id, w.incarnations), 0
}

func (w *simulation) write(id string) {
	if w.joinStage[id] == 0 {
		for _, name := range w.stored {
			if name.ID == id {
				w.joinStage[id] = 1
				return
			}
		}
		w.stored = append(w.stored, Holder{id, domainOf(id)})
		w.joinStage[id] = 1
	}
}

func (w *simulation) read(id string) {
	if w.joinStage[id] == 1 {
		if w.minted[id] {
			w.sets[id].RecordMinted()
		}
		w.sets[id].Merge(w.stored, true)
		w.joinStage[id] = 2
	}
}

// exchange lets one instance query another and apply the response, as instances do.
func (w *simulation) exchange(from, to string) {
	a, b := w.sets[from], w.sets[to]
	if a.Hash() != b.Hash() {
		listed := false
		for _, h := range b.Holders() {
			listed = listed || h.ID == from
		}
		a.Merge(b.Holders(), b.Complete() && listed)
	}
	a.ApplyReport(to, b.report())
}

// exchangeBothWays lets two instances receive each other's sets and reports.
func (w *simulation) exchangeBothWays(from, to string) {
	w.exchange(from, to)
	w.exchange(to, from)
	w.exchange(from, to)
}

// exchangeAll repeats exchanges between all pairs of instances, until each has received the
// agreement hash of every other.
func (w *simulation) exchangeAll(ids ...string) {
	for range 3 {
		for i, from := range ids {
			for _, to := range ids[i+1:] {
				w.exchangeBothWays(from, to)
			}
		}
	}
}

func (k *HolderSet) report() Report {
	return Report{Incarnation: k.incarnation, Hash: k.Hash(), AgreementHash: k.AgreementHash()}
}

// Guards against shares of all minting instances that exceed the whole, in any order of joins, restarts, outages and reports.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
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
				if w.sets[id].Mints() {
					w.minted[id] = true
				}
			case 5:
				w.start(id)
			}
			checkShares(t, w)
		}
	})
}

func checkShares(t rapid.TB, w *simulation) {
	t.Helper()
	var minting []string
	for id, k := range w.sets {
		if k.Mints() {
			minting = append(minting, id)
		}
	}
	total := make(map[string]float64)
	for _, id := range minting {
		k := w.sets[id]
		for _, other := range minting {
			if !k.has(other) {
				t.Fatalf("the set of %s lacks %s, which mints", id, other)
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

// All instances restart while one of them is lost for good. Those that minted before have to
// mint again at once, without a report from the lost one. A joining instance has to wait for
// it, since it may only be partitioned.
func TestRestartDoesNotWaitForLostInstance(t *testing.T) {
	k := NewHolderSet("a", 1)
	k.RecordMinted()
	k.Merge(holders("a", "b", "gone"), true)
	if !k.Mints() {
		t.Error("a restarted instance waits for a lost one")
	}
	joins := NewHolderSet("c", 1)
	joins.Merge(holders("a", "b", "c", "gone"), true)
	for _, id := range []string{"a", "b"} {
		joins.ApplyReport(id, joins.report())
	}
	if joins.Mints() {
		t.Error("a joining instance mints although one that may be partitioned has not reported the set")
	}
}

// An instance restarts and learns of the others one by one, before it has read the complete
// set from the store. The first one holds no loan of its earlier incarnation, another one
// does. The whole share is clear only when the set is complete and all instances have
// confirmed, or the loans have expired.
func TestIncompleteSetProvesNoLoanGone(t *testing.T) {
	k := NewHolderSet("a", 1)
	k.Merge(holders("b"), false)
	k.ConfirmNoLoans("b")
	if k.TryClear(false) {
		t.Error("cleared by one confirmation while the set is incomplete")
	}
	k.Merge(holders("a", "b", "c"), true)
	if k.TryClear(false) {
		t.Error("cleared although c has not confirmed")
	}
	if silent := k.Unconfirmed(); !slices.Equal(silent, []string{"c"}) {
		t.Errorf("unconfirmed: %v, want [c]", silent)
	}
	k.ConfirmNoLoans("c")
	if !k.TryClear(false) || !k.Cleared() || k.TryClear(false) {
		t.Error("want it cleared once, when all have confirmed")
	}
	if silent := k.Unconfirmed(); len(silent) != 0 {
		t.Errorf("%v are unconfirmed after it was cleared", silent)
	}
	if alone := NewHolderSet("a", 1); !alone.TryClear(true) {
		t.Error("not cleared although the loans have expired")
	}
}

// A joining instance that cannot reach the store yet has received the sets of two instances.
// A third one joins and mints, the two restart without state, and receive each other only
// in the set of the joining instance. That set lacks the third one: if it counted as
// complete, the two would mint a half each beside the third one's share.
func TestSetOfAnIncompletePeerIsNotComplete(t *testing.T) {
	w := newSimulation("a", "b", "third", "newcomer")
	for _, id := range []string{"a", "b"} {
		w.write(id)
	}
	w.read("a")
	w.read("b")
	w.exchangeBothWays("a", "b")
	w.exchangeBothWays("newcomer", "a")
	w.write("third")
	w.read("third")
	w.exchangeAll("a", "b", "third")
	if !w.sets["third"].Mints() {
		t.Fatal("the third instance does not mint although all others have it in their sets")
	}
	for _, id := range []string{"a", "b"} {
		w.start(id)
	}
	w.exchangeBothWays("a", "newcomer")
	w.exchangeBothWays("b", "newcomer")
	w.exchangeBothWays("a", "b")
	for _, id := range []string{"a", "b"} {
		if w.sets[id].Mints() {
			t.Errorf("%s mints one in %d while the third one mints one in %d", id, w.sets[id].Size(), w.sets["third"].Size())
		}
	}
}

// An instance adds a joining one to its set and restarts without state. Before it has read
// the store, it receives the set of two others that do not have the joining instance, which
// is complete as long as that one does not mint. Then these two add the joining instance as
// well. It must not mint on the report that the first one sent before its restart, since the
// first one now divides by one instance too few.
func TestRestartedInstanceForgetsWhomItCounted(t *testing.T) {
	w := newSimulation("a", "b", "c", "new")
	for _, id := range []string{"a", "b", "c"} {
		w.write(id)
	}
	for _, id := range []string{"a", "b", "c"} {
		w.read(id)
	}
	w.exchangeAll("a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		if !w.sets[id].Mints() {
			t.Fatalf("%s does not mint", id)
		}
	}
	w.write("new")
	w.read("new")
	w.exchangeBothWays("new", "a")
	w.start("a")
	w.exchangeBothWays("a", "b")
	w.exchangeBothWays("a", "c")
	w.sets["a"].Mints()
	w.exchangeBothWays("b", "new")
	w.exchangeBothWays("c", "new")
	w.sets["new"].Mints()
	checkShares(t, w)
	w.exchangeAll("a", "b", "c", "new")
	checkShares(t, w)
	if !w.sets["new"].Mints() {
		t.Error("the joining instance never mints although all have it in their sets")
	}
}

// Guards against a joining instance that takes its own record in the store for that of an earlier incarnation and mints beside loans of its share.
func TestOwnWordToTheStoreIsOfNoEarlierLifetime(t *testing.T) {
	for name, first := range map[string]func(*HolderSet){
		"it mints, then reads its own record":            func(k *HolderSet) { k.Mints() },
		"an earlier incarnation's record is stored late": (*HolderSet).RecordNeverMinted,
		"nothing is known of an earlier incarnation":     func(*HolderSet) {},
	} {
		k := NewHolderSet("a0", 1)
		k.Merge(holders("a0"), true)
		first(k)
		k.RecordMinted()
		if want := name != "nothing is known of an earlier incarnation"; k.NoEarlierMint() != want {
			t.Errorf("%s: NoEarlierMint is %v, want %v", name, k.NoEarlierMint(), want)
		}
	}
}

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
	sim := &simulation{minted: make(map[string]bool), sets: make(map[string]*HolderSet), joinStage: make(map[string]int)}
	for _, id := range ids {
		sim.start(id)
	}
	return sim
}

// start begins a new incarnation of an instance, without the state of the one before.
func (sim *simulation) start(id string) {
	sim.incarnations++
	sim.sets[id], sim.joinStage[id] = NewHolderSet(id, sim.incarnations), 0
}

func (sim *simulation) write(id string) {
	if sim.joinStage[id] == 0 {
		for _, name := range sim.stored {
			if name.ID == id {
				sim.joinStage[id] = 1
				return
			}
		}
		sim.stored = append(sim.stored, Holder{id, domainOf(id)})
		sim.joinStage[id] = 1
	}
}

func (sim *simulation) read(id string) {
	if sim.joinStage[id] == 1 {
		if sim.minted[id] {
			sim.sets[id].RecordMinted()
		}
		sim.sets[id].Merge(sim.stored, true)
		sim.joinStage[id] = 2
	}
}

// exchange lets one instance query another and apply the response, as instances do.
func (sim *simulation) exchange(from, to string) {
	a, b := sim.sets[from], sim.sets[to]
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
func (sim *simulation) exchangeBothWays(from, to string) {
	sim.exchange(from, to)
	sim.exchange(to, from)
	sim.exchange(from, to)
}

// exchangeAll repeats exchanges between all pairs of instances, until each has received the
// agreement hash of every other.
func (sim *simulation) exchangeAll(ids ...string) {
	for range 3 {
		for i, from := range ids {
			for _, to := range ids[i+1:] {
				sim.exchangeBothWays(from, to)
			}
		}
	}
}

func (s *HolderSet) report() Report {
	return Report{Incarnation: s.incarnation, Hash: s.Hash(), AgreementHash: s.AgreementHash()}
}

// Guards against shares of all minting instances that exceed the whole, in any order of joins, restarts, outages and reports.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		var ids []string
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			id := fmt.Sprint("i", i)
			ids = append(ids, id)
			sim.start(id)
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "instance")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				sim.write(id)
			case 1:
				sim.read(id)
			case 2, 3:
				sim.exchange(id, rapid.SampledFrom(ids).Draw(t, "peer"))
			case 4:
				if sim.sets[id].Mints() {
					sim.minted[id] = true
				}
			case 5:
				sim.start(id)
			}
			checkShares(t, sim)
		}
	})
}

func checkShares(t rapid.TB, sim *simulation) {
	t.Helper()
	var minting []string
	for id, k := range sim.sets {
		if k.Mints() {
			minting = append(minting, id)
		}
	}
	total := make(map[string]float64)
	for _, id := range minting {
		k := sim.sets[id]
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
	joining := NewHolderSet("c", 1)
	joining.Merge(holders("a", "b", "c", "gone"), true)
	for _, id := range []string{"a", "b"} {
		joining.ApplyReport(id, joining.report())
	}
	if joining.Mints() {
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
	sim := newSimulation("a", "b", "third", "newcomer")
	for _, id := range []string{"a", "b"} {
		sim.write(id)
	}
	sim.read("a")
	sim.read("b")
	sim.exchangeBothWays("a", "b")
	sim.exchangeBothWays("newcomer", "a")
	sim.write("third")
	sim.read("third")
	sim.exchangeAll("a", "b", "third")
	if !sim.sets["third"].Mints() {
		t.Fatal("the third instance does not mint although all others have it in their sets")
	}
	for _, id := range []string{"a", "b"} {
		sim.start(id)
	}
	sim.exchangeBothWays("a", "newcomer")
	sim.exchangeBothWays("b", "newcomer")
	sim.exchangeBothWays("a", "b")
	for _, id := range []string{"a", "b"} {
		if sim.sets[id].Mints() {
			t.Errorf("%s mints one in %d while the third one mints one in %d", id, sim.sets[id].Size(), sim.sets["third"].Size())
		}
	}
}

// An instance adds a joining one to its set and restarts without state. Before it has read
// the store, it receives the set of two others that do not have the joining instance, which
// is complete as long as that one does not mint. Then these two add the joining instance as
// well. It must not mint on the report that the first one sent before its restart, since the
// first one now divides by one instance too few.
func TestRestartedInstanceForgetsWhomItCounted(t *testing.T) {
	sim := newSimulation("a", "b", "c", "new")
	for _, id := range []string{"a", "b", "c"} {
		sim.write(id)
	}
	for _, id := range []string{"a", "b", "c"} {
		sim.read(id)
	}
	sim.exchangeAll("a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		if !sim.sets[id].Mints() {
			t.Fatalf("%s does not mint", id)
		}
	}
	sim.write("new")
	sim.read("new")
	sim.exchangeBothWays("new", "a")
	sim.start("a")
	sim.exchangeBothWays("a", "b")
	sim.exchangeBothWays("a", "c")
	sim.sets["a"].Mints()
	sim.exchangeBothWays("b", "new")
	sim.exchangeBothWays("c", "new")
	sim.sets["new"].Mints()
	checkShares(t, sim)
	sim.exchangeAll("a", "b", "c", "new")
	checkShares(t, sim)
	if !sim.sets["new"].Mints() {
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

package configwatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/catalog"
)

func account(name string, rate int, revision int64) Document {
	return Document{
		Key: service.StoreKey(service.KindAccount, name), Revision: revision, Nonce: fmt.Sprintf("%036d", revision),
		Value: fmt.Appendf(nil, "kind: account\nname: %s\nrate: %d\nburst: 1\n", name, rate),
	}
}

func all(upTo int64, documents ...Document) Batch { return Batch{Documents: documents, UpTo: upTo} }

// Guards against changes that are skipped for good when a late answer starts above the
// watermark.
func TestBatchWithGapKeepsWatermark(t *testing.T) {
	set := New(catalog.New())
	set.Offer(Batch{After: 5, UpTo: 9, Documents: []Document{account("b", 1, 9)}})
	if set.Revision() != 0 {
		t.Errorf("revision %d", set.Revision())
	}
	set.Offer(all(5, account("a", 1, 5)))
	set.Offer(Batch{After: 5, UpTo: 9})
	if set.Revision() != 9 {
		t.Errorf("revision %d", set.Revision())
	}
}

// Guards against a document of a newer schema that takes the last valid one out of force.
func TestUnreadableDocumentKeepsTheLastGoodOne(t *testing.T) {
	c := catalog.New()
	set := New(c)
	set.Offer(all(1, account("a", 7, 1)))
	bad := account("a", 0, 2)
	bad.Value = []byte("kind: account\nname: a\nnew_field: 1\n")
	set.Offer(all(2, bad))
	if got := c.Account("a").Rate; got != 7 {
		t.Errorf("rate %v", got)
	}
	if len(set.Findings()) != 1 || !slices.Equal(set.Rejected(), []string{bad.Key}) {
		t.Errorf("findings %v, rejected %v", set.Findings(), set.Rejected())
	}
	if batch, _ := set.Since(1, 1<<20); len(batch.Documents) != 1 {
		t.Error("the document is not sent to peers")
	}
	set.Offer(all(3, account("a", 8, 3)))
	if c.Account("a").Rate != 8 || len(set.Rejected()) != 0 {
		t.Error("the repaired document is not in force")
	}
}

// Guards against a document that replaces another team's because it is stored under that
// document's key.
func TestDocumentUnderAnothersKeyIsRejected(t *testing.T) {
	c := catalog.New()
	set := New(c)
	d := account("b", 1, 1)
	d.Key = service.StoreKey(service.KindAccount, "a")
	set.Offer(all(1, d))
	if c.Account("b") != nil || len(set.Findings()) != 1 {
		t.Errorf("findings %v", set.Findings())
	}
}

// Guards against a withdrawn key that is accepted again when its marker or its account
// changes.
func TestWithdrawalIsPermanent(t *testing.T) {
	c := catalog.New()
	set := New(c)
	presented, key := catalog.NewKey("k-1")
	issued := account("a", 1, 1)
	issued.Value = fmt.Appendf(issued.Value, "keys:\n  - {id: %s, sha256: %s}\n", key.ID, key.SHA256)
	set.Offer(all(1, issued))
	d := set.Withdraw("k-1", "")
	if _, _, state := c.CheckKey(presented); state != catalog.KeyWithdrawn {
		t.Fatalf("state %v", state)
	}
	if len(set.Pending()) != 1 {
		t.Error("the withdrawal is not pending")
	}
	issued.Revision, issued.Nonce = 2, "z"
	set.Offer(all(2, issued))
	d.Revision, d.Deleted = 3, true
	set.Offer(all(3, d))
	if _, _, state := c.CheckKey(presented); state != catalog.KeyWithdrawn {
		t.Errorf("state %v", state)
	}
	if len(set.Pending()) != 0 {
		t.Error("the withdrawal is stored and still pending")
	}
}

// Guards against peers that exchange the same withdrawal again and again, because their
// hashes of it differ.
func TestHashOfAWithdrawalIsThatOfItsKey(t *testing.T) {
	a, b := New(catalog.New()), New(catalog.New())
	d := a.Withdraw("k-1", nonce1)
	b.Withdraw("k-1", nonce2)
	d.Revision = 4
	b.Offer(all(4, d))
	if a.Hash() != b.Hash() {
		t.Error("the hashes differ")
	}
}

const (
	nonce1 = "00000000-0001-7000-8000-000000000000"
	nonce2 = "00000000-0002-7000-8000-000000000000"
)

// Guards against documents that are skipped when a peer fails between two pages.
func TestPagesEndAtTheirWatermark(t *testing.T) {
	full, fresh := New(catalog.New()), New(catalog.New())
	var documents []Document
	for n := range int64(20) {
		documents = append(documents, account(fmt.Sprintf("a%d", n), 1, n+1))
	}
	full.Offer(all(20, documents...))
	pages := 0
	for more := true; more; pages++ {
		var batch Batch
		batch, more = full.Since(fresh.Revision(), 200)
		fresh.Offer(batch)
		if known := len(fresh.Documents()); int64(known) != fresh.Revision() {
			t.Fatalf("%d documents at watermark %d", known, fresh.Revision())
		}
	}
	if pages < 3 || fresh.Hash() != full.Hash() {
		t.Errorf("%d pages", pages)
	}
}

func TestGenerationsRankEarlierRevisions(t *testing.T) {
	first, err := ParseGenerations(52, Generations{}.Next(0))
	if err != nil {
		t.Fatal(err)
	}
	second, err := ParseGenerations(71, first.Next(0))
	if err != nil {
		t.Fatal(err)
	}
	for revision, want := range map[int64]int64{40: Rank(0, 40), 60: Rank(1, 60), 71: Rank(2, 71), 90: Rank(2, 90)} {
		if got := second.Rank(revision); got != want {
			t.Errorf("%d: %s, want %s", revision, FormatRank(got), FormatRank(want))
		}
	}
	if _, err := ParseGenerations(1, []byte("x\n")); err == nil {
		t.Error("a marker that is not a number was accepted")
	}
}

// Guards against a failure domain in which all watchers have lost the store.
func TestFailingWatchersAreReplaced(t *testing.T) {
	candidates := make([]Candidate, 5)
	for n := range candidates {
		candidates[n].ID = fmt.Sprintf("entry-%d", n)
	}
	watching := func() (ids []string) {
		for _, c := range candidates {
			if IsWatcher(c.ID, candidates) {
				ids = append(ids, c.ID)
			}
		}
		return ids
	}
	first := watching()
	if len(first) != WatchersPerDomain {
		t.Fatalf("%v watch", first)
	}
	for n := range candidates {
		candidates[n].StoreFailing = slices.Contains(first, candidates[n].ID)
	}
	for _, id := range watching() {
		if slices.Contains(first, id) {
			t.Errorf("%s watches a store that it cannot reach", id)
		}
	}
	for n := range candidates {
		candidates[n].StoreFailing = true
	}
	if !slices.Equal(watching(), first) {
		t.Errorf("%v watch", watching())
	}
}

// Guards against a region, or a failure domain, whose only source of updates is one
// instance that has lost the store.
func TestRegionWatchers(t *testing.T) {
	domain := func(name string, count int) []Candidate {
		var out []Candidate
		for i := range count {
			out = append(out, Candidate{ID: fmt.Sprint(name, "-", i)})
		}
		return out
	}
	single := RegionWatchers(map[string][]Candidate{"a": domain("a", 5)})
	if len(single["a"]) != 2 {
		t.Errorf("one domain: %v", single)
	}
	several := map[string][]Candidate{"a": domain("a", 5), "b": domain("b", 1)}
	before := RegionWatchers(several)
	if len(before["a"]) != 1 || len(before["b"]) != 1 {
		t.Fatalf("two domains: %v", before)
	}
	for i := range several["a"] {
		several["a"][i].StoreFailing = several["a"][i].ID == before["a"][0]
	}
	if after := RegionWatchers(several); after["a"][0] == before["a"][0] {
		t.Errorf("%s still watches a store that it cannot reach", before["a"][0])
	}
}

// Guards against a large configuration that is distributed to a failure domain over its
// narrowest link.
func TestWatchersHaveTheWidestLinks(t *testing.T) {
	var candidates []Candidate
	for i := range 9 {
		candidates = append(candidates, Candidate{ID: fmt.Sprint("narrow-", i), LinkMbps: 10})
	}
	candidates = append(candidates, Candidate{ID: "wide-0", LinkMbps: 200}, Candidate{ID: "wide-1", LinkMbps: 200})
	got := Watchers(candidates, 2)
	if slices.Sort(got); !slices.Equal(got, []string{"wide-0", "wide-1"}) {
		t.Errorf("watchers %v", got)
	}
	for i := range candidates {
		candidates[i].StoreFailing = candidates[i].LinkMbps > 10
	}
	if got := Watchers(candidates, 1); !strings.HasPrefix(got[0], "narrow") {
		t.Errorf("watcher %v cannot reach the store", got)
	}
}

// Guards against a key that is out of force for a moment, which ends its requests, because a
// batch in another order than the writes removes it from one account before it adds it to the
// next.
func TestBatchIsAppliedInTheOrderOfTheWrites(t *testing.T) {
	c := catalog.New()
	var ended []string
	c.OnWithdraw(func(id string) { ended = append(ended, id) })
	set := New(c)
	_, key := catalog.NewKey("k-1")
	keys := fmt.Sprintf("keys:\n  - {id: %s, sha256: %s}\n", key.ID, key.SHA256)
	issued := account("a", 1, 1)
	issued.Value = append(issued.Value, keys...)
	set.Offer(all(1, issued))
	moved := account("b", 1, 2)
	moved.Value = append(moved.Value, keys...)
	set.Offer(all(3, account("a", 1, 3), moved))
	if len(ended) > 0 || !c.Usable("k-1") {
		t.Errorf("ended the requests of %v, usable %t", ended, c.Usable("k-1"))
	}
}

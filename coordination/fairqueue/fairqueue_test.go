package fairqueue

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

type item struct{ share Share }

func (i *item) Share() Share { return i.share }

// push adds items of one account and returns them.
func push(q *Queue[*item], n int, share Share) []*item {
	out := make([]*item, n)
	for i := range out {
		out[i] = &item{share}
		q.Push(out[i])
	}
	return out
}

// popped returns how many of the next n items belong to each account.
func popped(q *Queue[*item], n int) map[string]int {
	out := make(map[string]int)
	for range n {
		out[q.Pop().share.Account]++
	}
	return out
}

// Guards against an account that starts more than its share because it sends more or larger requests.
func TestStartedCostFollowsTheWeights(t *testing.T) {
	var q Queue[*item]
	push(&q, 300, Share{Account: "busy", Weight: 1, Cost: 100})
	push(&q, 90, Share{Account: "heavy", Weight: 3, Cost: 100})
	push(&q, 30, Share{Account: "large", Weight: 1, Cost: 300})
	got := popped(&q, 65)
	if math.Abs(float64(got["heavy"]-3*got["busy"])) > 4 || math.Abs(float64(3*got["large"]-got["busy"])) > 4 {
		t.Errorf("started %v, want 3 of the heavier account for one of the busy one, and a third as many large ones", got)
	}
}

// Guards against requests of one account that overtake each other.
func TestOneAccountsRequestsStartInOrder(t *testing.T) {
	var q Queue[*item]
	items := push(&q, 4, Share{Account: "a", Cost: 10})
	if !q.Remove(items[1]) || q.Remove(items[1]) {
		t.Error("removed twice or never")
	}
	for _, want := range []*item{items[0], items[2], items[3]} {
		if q.Peek() != want || q.Pop() != want {
			t.Error("out of order")
		}
	}
	if q.Len() != 0 || q.Flow("a") != nil {
		t.Errorf("%d are left", q.Len())
	}
}

// Guards against an account that gets more than its share as the others cannot be placed for a while.
func TestItemTakenOutOfTurnIsCharged(t *testing.T) {
	const taken = 5
	var q Queue[*item]
	share := Share{Account: "a", Cost: 100}
	for _, early := range push(&q, 20, share)[:taken] {
		q.Take(early)
	}
	share.Account = "b"
	push(&q, 20, share)
	if got := popped(&q, taken); got["b"] < taken-1 {
		t.Errorf("%v started after %d of a", got, taken)
	}
}

// Guards against credit that an account collects while it has nothing to start.
func TestIdleAccountCollectsNoCredit(t *testing.T) {
	var q Queue[*item]
	push(&q, 100, Share{Account: "busy", Cost: 100})
	push(&q, 1, Share{Account: "idle", Cost: 100})
	popped(&q, 60)
	push(&q, 20, Share{Account: "idle", Cost: 100})
	if got := popped(&q, 10); got["busy"] < 4 {
		t.Errorf("%v started, want about a half each", got)
	}
}

// Guards against expected waits that are wrong by more than a round.
func TestAheadIsTheNumberThatStartsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cost = minQuantum // one request of the least weight in a round
		var q Queue[*item]
		accounts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID[string]).Draw(t, "accounts")
		round := 0.0
		for _, account := range accounts {
			weight := float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			push(&q, rapid.IntRange(1, 30).Draw(t, "items"), Share{Account: account, Weight: weight, Cost: cost})
			round += weight
		}
		own := q.Flow(accounts[0])
		last := &item{Share{Account: own.Account, Weight: own.Weight, Cost: cost}}
		expected := q.Ahead(last.share)
		q.Push(last)
		if again := q.AheadOf(own, len(own.Items)-1); math.Abs(again-expected) > 1e-9 {
			t.Fatalf("%f ahead before it joined, %f after", expected, again)
		}
		for _, other := range q.LastItems() {
			if want := q.AheadOf(other.Flow, len(other.Flow.Items)-1); math.Abs(other.Ahead-want) > 1e-6 {
				t.Fatalf("%s: %f ahead of the last item, want %f", other.Flow.Account, other.Ahead, want)
			}
		}
		ahead := 0
		for q.Pop() != last {
			ahead++
		}
		if math.Abs(float64(ahead)-expected) > round {
			t.Fatalf("%d started before, %.1f expected, a round has %.0f", ahead, expected, round)
		}
	})
}

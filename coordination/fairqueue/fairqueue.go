// Package fairqueue holds the waiting requests of several client accounts and orders them by deficit
// round robin: in each round an account may start requests up to a quantum in proportion to its
// weight. An account that sends more than its share delays only its own requests.
//
// A Queue is not safe for concurrent use.
package fairqueue

import (
	"cmp"
	"math"
	"slices"
)

// minQuantum is the cost that the account with the least weight may start in a round.
// It is small compared with a request, so that shares are fair over a short time.
const minQuantum = 64

// Share says to which account an item belongs and what it takes of the account's share.
type Share struct {
	Account string
	Weight  float64 // the account's rate; 0 counts as 1
	Cost    float64 // tokens
}

// Item is a waiting request.
type Item interface {
	comparable
	Share() Share
}

// Flow is the queue of one account.
type Flow[T Item] struct {
	Account string
	Weight  float64
	Items   []T     // in the order in which they start
	Cost    float64 // of the items

	deficit float64
	visited bool // the round's quantum has been added
}

// BacklogWith returns the waiting cost divided by the account's weight, with the given cost added.
func (f *Flow[T]) BacklogWith(cost float64) float64 { return (f.Cost + cost) / f.Weight }

// Queue is the queue of several accounts. The zero value is empty.
type Queue[T Item] struct {
	byAccount map[string]*Flow[T]
	ring      []*Flow[T] // accounts with waiting items
	next      int
	count     int
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.count }

// Flow returns the queue of an account, or nil if none of its items waits.
func (q *Queue[T]) Flow(account string) *Flow[T] { return q.byAccount[account] }

// Flows returns the accounts' queues.
func (q *Queue[T]) Flows() []*Flow[T] { return slices.Clone(q.ring) }

func weightOf(s Share) float64 {
	if s.Weight > 0 {
		return s.Weight
	}
	return 1
}

// Push adds an item after those of its account.
func (q *Queue[T]) Push(item T) {
	if q.byAccount == nil {
		q.byAccount = make(map[string]*Flow[T])
	}
	share := item.Share()
	own := q.byAccount[share.Account]
	if own == nil {
		own = &Flow[T]{Account: share.Account}
		q.byAccount[share.Account] = own
		q.ring = append(q.ring, own)
	}
	own.Weight = weightOf(share)
	own.Items = append(own.Items, item)
	own.Cost += share.Cost
	q.count++
}

// Remove removes a waiting item. It reports whether the item was waiting.
func (q *Queue[T]) Remove(item T) bool {
	share := item.Share()
	own := q.byAccount[share.Account]
	if own == nil {
		return false
	}
	i := slices.Index(own.Items, item)
	if i < 0 {
		return false
	}
	own.Items = slices.Delete(own.Items, i, i+1)
	own.Cost -= share.Cost
	q.count--
	if len(own.Items) == 0 {
		q.drop(own)
	}
	return true
}

// drop removes an account without waiting items, with its deficit: no credit is accumulated while
// nothing waits.
func (q *Queue[T]) drop(f *Flow[T]) {
	delete(q.byAccount, f.Account)
	i := slices.Index(q.ring, f)
	q.ring = slices.Delete(q.ring, i, i+1)
	if i < q.next {
		q.next--
	}
	if q.next >= len(q.ring) {
		q.next = 0
	}
}

// Pop removes and returns the next item. There must be at least one.
func (q *Queue[T]) Pop() T {
	item := q.turn().Items[0]
	q.Take(item)
	return item
}

// Take removes a waiting item that starts now, whether or not it is its account's turn, and charges
// its account for it.
func (q *Queue[T]) Take(item T) {
	share := item.Share()
	if f := q.byAccount[share.Account]; f != nil {
		f.deficit -= share.Cost
	}
	q.Remove(item)
}

// Peek returns the item that Pop would return. There must be at least one.
func (q *Queue[T]) Peek() T { return q.turn().Items[0] }

// turn returns the account whose first item starts next.
func (q *Queue[T]) turn() *Flow[T] {
	minWeight := q.minWeight()
	for {
		for range len(q.ring) {
			f := q.ring[q.next]
			if !f.visited {
				f.visited = true
				f.deficit += minQuantum * f.Weight / minWeight
			}
			if f.deficit >= f.Items[0].Share().Cost {
				return f
			}
			f.visited = false
			q.next = (q.next + 1) % len(q.ring)
		}
		q.skipRounds(minWeight)
	}
}

// skipRounds adds the quanta of the rounds in which no account can start an item, up to the round
// before the first in which one can.
func (q *Queue[T]) skipRounds(minWeight float64) {
	rounds := math.Inf(1)
	for _, f := range q.ring {
		quantum := minQuantum * f.Weight / minWeight
		rounds = min(rounds, math.Ceil((f.Items[0].Share().Cost-f.deficit)/quantum))
	}
	for _, f := range q.ring {
		f.deficit += max(rounds-1, 0) * minQuantum * f.Weight / minWeight
	}
}

func (q *Queue[T]) minWeight() float64 {
	minWeight := math.Inf(1)
	for _, f := range q.ring {
		minWeight = min(minWeight, f.Weight)
	}
	return minWeight
}

// MeanWeight returns the mean weight of the accounts with waiting items, 0 if there are none.
func (q *Queue[T]) MeanWeight() float64 {
	sum := 0.0
	for _, f := range q.ring {
		sum += f.Weight
	}
	return sum / max(float64(len(q.ring)), 1)
}

// LongestBacklog returns the account with the largest waiting cost for its weight, or nil.
func (q *Queue[T]) LongestBacklog() *Flow[T] {
	var longest *Flow[T]
	for _, f := range q.ring {
		if longest == nil || f.BacklogWith(0) > longest.BacklogWith(0) {
			longest = f
		}
	}
	return longest
}

// BacklogOf returns the backlog that an item's account would have with the item.
func (q *Queue[T]) BacklogOf(share Share) float64 {
	if f := q.byAccount[share.Account]; f != nil {
		return f.BacklogWith(share.Cost)
	}
	return share.Cost / weightOf(share)
}

// Ahead estimates how many waiting items start before a new one.
func (q *Queue[T]) Ahead(share Share) float64 {
	count, cost := 0, share.Cost
	if f := q.byAccount[share.Account]; f != nil {
		count, cost = len(f.Items), f.Cost+share.Cost
	}
	return q.ahead(share.Account, count, cost, weightOf(share))
}

// AheadOf estimates how many waiting items start before an account's i-th one.
func (q *Queue[T]) AheadOf(f *Flow[T], i int) float64 {
	cost := 0.0
	for _, item := range f.Items[:i+1] {
		cost += item.Share().Cost
	}
	return q.ahead(f.Account, i, cost, f.Weight)
}

// LastItem is the last item of an account's queue.
type LastItem[T Item] struct {
	Flow  *Flow[T]
	Ahead float64 // as AheadOf returns it
}

// LastItems returns the last item of each account.
func (q *Queue[T]) LastItems() []LastItem[T] {
	flows := q.Flows()
	slices.SortFunc(flows, func(a, b *Flow[T]) int { return cmp.Compare(a.rounds(), b.rounds()) })
	later := 0.0 // items per round of the accounts whose items take more rounds
	for _, f := range flows {
		later += float64(len(f.Items)) / f.rounds()
	}
	out := make([]LastItem[T], 0, len(flows))
	earlier := 0 // items of the accounts up to this one
	for _, f := range flows {
		earlier += len(f.Items)
		later = max(later-float64(len(f.Items))/f.rounds(), 0)
		out = append(out, LastItem[T]{f, float64(earlier-1) + later*f.rounds()})
	}
	return out
}

// rounds returns the time that an account's items take, in rounds in which it may start its weight.
func (f *Flow[T]) rounds() float64 { return max(f.Cost, 1) / f.Weight }

// ahead estimates how many items start before one of an account of the given weight. ownCount items
// of the account are ahead of it, and ownCost is their cost with its own.
func (q *Queue[T]) ahead(account string, ownCount int, ownCost, weight float64) float64 {
	rounds := ownCost / weight
	ahead := float64(ownCount)
	for _, other := range q.ring {
		if other.Account == account {
			continue
		}
		share := min(rounds*other.Weight/max(other.Cost, 1), 1)
		ahead += share * float64(len(other.Items))
	}
	return ahead
}

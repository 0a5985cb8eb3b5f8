package admission

import (
	"math"
	"slices"
)

// minQuantum is the cost that the account with the least weight may start in a round.
// It is small compared with a request, so that shares are fair over a short time.
const minQuantum = 64

// flow is the queue of waiting requests of one account.
type flow struct {
	account string
	weight  float64
	tickets []*Ticket
	cost    float64 // of the waiting tickets
	deficit float64
	visited bool // the round's quantum has been added
}

// backlogWith returns the waiting cost divided by the account's weight, with the given
// cost added.
func (f *flow) backlogWith(cost float64) float64 { return (f.cost + cost) / f.weight }

// flows schedules accounts by deficit round robin: in each round an account may
// start requests up to a quantum in proportion to its weight. An account that sends
// more than its share delays only its own requests.
type flows struct {
	byAccount map[string]*flow
	ring      []*flow // accounts with waiting requests
	next      int
	count     int
}

func weightOf(t *Ticket) float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

func (f *flows) push(t *Ticket) {
	if f.byAccount == nil {
		f.byAccount = make(map[string]*flow)
	}
	own := f.byAccount[t.Account]
	if own == nil {
		own = &flow{account: t.Account}
		f.byAccount[t.Account] = own
		f.ring = append(f.ring, own)
	}
	own.weight = weightOf(t)
	own.tickets = append(own.tickets, t)
	own.cost += t.Cost
	f.count++
}

// remove removes a waiting ticket.
func (f *flows) remove(t *Ticket) {
	own := f.byAccount[t.Account]
	if own == nil {
		return
	}
	i := slices.Index(own.tickets, t)
	if i < 0 {
		return
	}
	own.tickets = slices.Delete(own.tickets, i, i+1)
	own.cost -= t.Cost
	f.count--
	if len(own.tickets) == 0 {
		f.drop(own)
	}
}

// drop removes an account without waiting requests, with its deficit: no credit is
// accumulated while nothing waits.
func (f *flows) drop(fl *flow) {
	delete(f.byAccount, fl.account)
	i := slices.Index(f.ring, fl)
	f.ring = slices.Delete(f.ring, i, i+1)
	if i < f.next {
		f.next--
	}
	if f.next >= len(f.ring) {
		f.next = 0
	}
}

// pop removes and returns the next ticket. There must be at least one.
func (f *flows) pop() *Ticket {
	minWeight := f.minWeight()
	for {
		for range len(f.ring) {
			fl := f.ring[f.next]
			if !fl.visited {
				fl.visited = true
				fl.deficit += minQuantum * fl.weight / minWeight
			}
			if t := fl.tickets[0]; fl.deficit >= t.Cost {
				fl.deficit -= t.Cost
				f.remove(t)
				return t
			}
			fl.visited = false
			f.next = (f.next + 1) % len(f.ring)
		}
		f.skipRounds(minWeight)
	}
}

// skipRounds adds the quanta of the rounds in which no account can start a request,
// up to the round before the first in which one can.
func (f *flows) skipRounds(minWeight float64) {
	rounds := math.Inf(1)
	for _, fl := range f.ring {
		quantum := minQuantum * fl.weight / minWeight
		rounds = min(rounds, math.Ceil((fl.tickets[0].Cost-fl.deficit)/quantum))
	}
	for _, fl := range f.ring {
		fl.deficit += max(rounds-1, 0) * minQuantum * fl.weight / minWeight
	}
}

func (f *flows) minWeight() float64 {
	minWeight := math.Inf(1)
	for _, fl := range f.ring {
		minWeight = min(minWeight, fl.weight)
	}
	return minWeight
}

func (f *flows) meanWeight() float64 {
	sum := 0.0
	for _, fl := range f.ring {
		sum += fl.weight
	}
	return sum / max(float64(len(f.ring)), 1)
}

// longestBacklog returns the account with the largest waiting cost for its weight, or nil.
func (f *flows) longestBacklog() *flow {
	var longest *flow
	for _, fl := range f.ring {
		if longest == nil || fl.backlogWith(0) > longest.backlogWith(0) {
			longest = fl
		}
	}
	return longest
}

// backlogOf returns the backlog that the ticket's account would have with the ticket.
func (f *flows) backlogOf(t *Ticket) float64 {
	if fl := f.byAccount[t.Account]; fl != nil {
		return fl.backlogWith(t.Cost)
	}
	return t.Cost / weightOf(t)
}

func (f *flows) all() []*flow { return slices.Clone(f.ring) }

// requestsAhead estimates how many waiting requests start before a request of an account
// of the given weight. ownCount requests of the account are ahead of it, and ownCost is
// their cost with its own.
func (f *flows) requestsAhead(account string, ownCount int, ownCost, weight float64) float64 {
	rounds := ownCost / weight
	ahead := float64(ownCount)
	for _, other := range f.ring {
		if other.account == account {
			continue
		}
		share := min(rounds*other.weight/max(other.cost, 1), 1)
		ahead += share * float64(len(other.tickets))
	}
	return ahead
}

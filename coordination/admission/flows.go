package admission

import (
	"math"
	"slices"
)

// minQuantum is the cost that the lightest account may start in a round. It is
// small against a request, so that shares are kept over few rounds.
const minQuantum = 64

// flow is the waiting requests of one account.
type flow struct {
	account string
	weight  float64
	tickets []*Ticket
	cost    float64 // of the waiting tickets
	deficit float64
	visited bool // the round's quantum has been added
}

// backlogWith returns what waits for the account's weight, with more added.
func (f *flow) backlogWith(cost float64) float64 { return (f.cost + cost) / f.weight }

// flows is a deficit round robin over accounts: in each round an account may
// start requests worth a quantum that goes with its weight. An account that
// sends more than its share waits behind itself only.
type flows struct {
	byAccount map[string]*flow
	ring      []*flow // accounts with waiting requests
	at        int
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

// remove takes out a waiting ticket.
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

// drop forgets an account without waiting requests, and its deficit: credit is
// not saved up while nothing waits.
func (f *flows) drop(own *flow) {
	delete(f.byAccount, own.account)
	i := slices.Index(f.ring, own)
	f.ring = slices.Delete(f.ring, i, i+1)
	if i < f.at {
		f.at--
	}
	if f.at >= len(f.ring) {
		f.at = 0
	}
}

// pop returns the next ticket. There has to be one.
func (f *flows) pop() *Ticket {
	lightest := f.lightest()
	for {
		for range len(f.ring) {
			own := f.ring[f.at]
			if !own.visited {
				own.visited = true
				own.deficit += minQuantum * own.weight / lightest
			}
			if t := own.tickets[0]; own.deficit >= t.Cost {
				own.deficit -= t.Cost
				f.remove(t)
				return t
			}
			own.visited = false
			f.at = (f.at + 1) % len(f.ring)
		}
		f.skipRounds(lightest)
	}
}

// skipRounds adds the quanta of the rounds in which no account could start
// anything, but for the last of them.
func (f *flows) skipRounds(lightest float64) {
	rounds := math.Inf(1)
	for _, own := range f.ring {
		quantum := minQuantum * own.weight / lightest
		rounds = min(rounds, math.Ceil((own.tickets[0].Cost-own.deficit)/quantum))
	}
	for _, own := range f.ring {
		own.deficit += max(rounds-1, 0) * minQuantum * own.weight / lightest
	}
}

func (f *flows) lightest() float64 {
	lightest := math.Inf(1)
	for _, own := range f.ring {
		lightest = min(lightest, own.weight)
	}
	return lightest
}

func (f *flows) meanWeight() float64 {
	sum := 0.0
	for _, own := range f.ring {
		sum += own.weight
	}
	return sum / max(float64(len(f.ring)), 1)
}

// longest returns the account with the most waiting for its weight, or nil.
func (f *flows) longest() *flow {
	var longest *flow
	for _, own := range f.ring {
		if longest == nil || own.backlogWith(0) > longest.backlogWith(0) {
			longest = own
		}
	}
	return longest
}

// backlogOf returns what would wait for the ticket's account with the ticket.
func (f *flows) backlogOf(t *Ticket) float64 {
	if own := f.byAccount[t.Account]; own != nil {
		return own.backlogWith(t.Cost)
	}
	return t.Cost / weightOf(t)
}

func (f *flows) all() []*flow { return slices.Clone(f.ring) }

// ahead returns how many waiting requests start before one that has cost
// already waiting ahead of it in its own account, whose weight is given.
func (f *flows) ahead(account string, ownCount int, ownCost, weight float64) float64 {
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

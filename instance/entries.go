package instance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/service"
)

const maxEntries = 5

// distance of a failure domain from this instance's own.
type distance int

const (
	ownDomain distance = iota
	ownRegion
	otherRegion
)

// rankedEntry is an instance that an account may use. Lower ones are better.
type rankedEntry struct {
	entry    gatewayapi.Entry
	distance distance
	score    float64
}

// Entries implements gateway.Entries: live instances of the permitted domains,
// the nearest domains first. Inside a domain rendezvous hashing keeps an account
// on the same few instances, and a loaded one gets fewer accounts. An account
// with a home gets instances of its home region only. The answer needs no store.
func (i *Instance) Entries(account *service.Account) []gatewayapi.Entry {
	name, home := "", ""
	if account != nil {
		name, home = account.Name, account.Home
	}
	var list []rankedEntry
	for _, m := range i.members.Members(time.Now()) {
		if !m.Reachable || m.Leaving() || (home != "" && m.Entry.GetRegion() != home) {
			continue
		}
		list = append(list, i.rankEntry(m, name))
	}
	slices.SortFunc(list, func(a, b rankedEntry) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.score, b.score))
	})
	out := []gatewayapi.Entry{}
	for _, r := range list[:min(len(list), maxEntries)] {
		out = append(out, r.entry)
	}
	return out
}

func (i *Instance) rankEntry(m membership.Member, account string) rankedEntry {
	e := m.Entry
	r := rankedEntry{
		entry:    gatewayapi.Entry{Address: e.GetCallerAddress(), Region: e.GetRegion(), Domain: e.GetDomain()},
		distance: otherRegion,
		score:    rendezvous(account+"\x00"+e.GetId(), 1/(1+float64(e.GetRequests())/entryLoad)),
	}
	switch {
	case e.GetDomain() == i.settings.Domain:
		r.distance = ownDomain
	case e.GetRegion() == i.settings.Region:
		r.distance = ownRegion
	}
	return r
}

// entryLoad is how many requests in flight halve an instance's weight.
const entryLoad = 256

// rendezvous returns a score by hash and weight; the lowest wins. Each instance
// wins its share of accounts by weight, and a change of one weight moves only the
// accounts that this instance wins or loses.
func rendezvous(key string, weight float64) float64 {
	unit := (float64(xxhash.Sum64String(key)>>11) + 0.5) / (1 << 53)
	return -math.Log(unit) / weight
}

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

// distance of a failure domain from the local one.
type distance int

const (
	localDomain distance = iota
	localRegion
	remoteRegion
)

// rankedEntry is an instance that an account may use. Lower distances are better, then
// lower scores.
type rankedEntry struct {
	entry    gatewayapi.Entry
	distance distance
	score    float64
}

// Entries implements gateway.Entries. It returns live instances of the regions that the
// account may use, those of the nearest failure domains first. Within a domain, rendezvous
// hashing keeps an account on the same few instances, and an instance under load gets fewer
// accounts. An account with a home region gets instances of that region only. The response
// needs no store access.
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
		distance: remoteRegion,
		score:    rendezvousScore(account+"\x00"+e.GetId(), 1/(1+float64(e.GetRequests())/weightHalvingRequests)),
	}
	switch {
	case e.GetDomain() == i.settings.Domain:
		r.distance = localDomain
	case e.GetRegion() == i.settings.Region:
		r.distance = localRegion
	}
	return r
}

// weightHalvingRequests is the number of requests in flight that halves an instance's
// weight.
const weightHalvingRequests = 256

// rendezvousScore returns a score from a hash and a weight; the lowest score wins. Each
// instance wins accounts in proportion to its weight, and a change of one weight moves only
// the accounts that this instance wins or loses.
func rendezvousScore(key string, weight float64) float64 {
	unit := (float64(xxhash.Sum64String(key)>>11) + 0.5) / (1 << 53)
	return -math.Log(unit) / weight
}

package instance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/service"
)

const maxEntries = 5

// Entries implements gateway.Entries: live instances, those of the permitted and
// nearest domains first, ranked for the account by rendezvous hashing.
func (i *Instance) Entries(account *service.Account) []gatewayapi.Entry {
	type ranked struct {
		entry gatewayapi.Entry
		far   bool
		score uint64
	}
	var list []ranked
	name, home := "", ""
	if account != nil {
		name, home = account.Name, account.Home
	}
	for _, m := range i.members.Members(time.Now()) {
		e := m.Entry
		if !m.Reachable || m.Leaving() || (home != "" && e.GetRegion() != home) {
			continue
		}
		list = append(list, ranked{
			entry: gatewayapi.Entry{Address: e.GetCallerAddress(), Region: e.GetRegion(), Domain: e.GetDomain()},
			far:   e.GetRegion() != i.settings.Region,
			score: xxhash.Sum64String(name + "/" + e.GetId()),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.far != b.far {
			if b.far {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	out := []gatewayapi.Entry{}
	for _, r := range list[:min(len(list), maxEntries)] {
		out = append(out, r.entry)
	}
	return out
}

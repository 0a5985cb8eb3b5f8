package instance

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/protocol/gatewayapi"
	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/platform"
)

// Domains implements dispatch.Domains.
func (i *Instance) Domains(name string) []routing.Domain {
	own := routing.Domain{Name: i.settings.Domain, Region: i.settings.Region, HasRoom: true}
	for _, s := range i.servers.Of(name) {
		if s.Usable() {
			own.Servers++
			own.InFlight += s.InFlight
		}
	}
	out := []routing.Domain{own}
	for _, m := range i.members.Members(time.Now()) {
		if !m.Reachable || m.Leaving() || m.Entry.GetDomain() == i.settings.Domain {
			continue
		}
		out = append(out, i.remote(m, name))
	}
	return out
}

func (i *Instance) remote(m membership.Member, name string) routing.Domain {
	d := routing.Domain{
		Name: m.Entry.GetDomain(), Region: m.Entry.GetRegion(), PeerID: m.Entry.GetId(),
		Peer: m.Entry.GetPeerAddress(), LinkDelay: i.settings.Links.Domain,
	}
	if d.Region != i.settings.Region {
		d.LinkDelay = i.settings.Links.Region
	}
	for _, load := range m.Entry.GetLoads() {
		if load.GetService() == name {
			d.Servers, d.InFlight = int(load.GetServers()), int(load.GetInFlight())
			d.ExpectedWait = time.Duration(load.GetExpectedWaitMs()) * time.Millisecond
			d.HasRoom = load.GetHasRoom()
		}
	}
	return d
}

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

// Status implements operator.Instance.
func (i *Instance) Status() *operatorapi.Status {
	now := time.Now()
	status := &operatorapi.Status{
		ID: i.settings.ID, Ready: i.Ready(), ConfigRevision: i.config.Revision(),
		StoreReachable: i.storeSeen.Load(), Findings: append([]string{}, i.config.Findings()...),
		Instances: []operatorapi.InstanceStatus{},
	}
	for _, m := range i.members.Members(now) {
		state := operatorapi.InstanceStatusStateLive
		switch {
		case !m.Reachable:
			state = operatorapi.InstanceStatusStateUnreachable
		case m.Leaving():
			state = operatorapi.InstanceStatusStateLeaving
		}
		revision := m.Entry.GetConfigRevision()
		if m.Entry.GetId() == i.settings.ID {
			revision = i.config.Revision()
		}
		status.Instances = append(status.Instances, operatorapi.InstanceStatus{
			ID: m.Entry.GetId(), Region: m.Entry.GetRegion(), Domain: m.Entry.GetDomain(),
			Address: m.Entry.GetCallerAddress(), State: state, Incarnation: int64(m.Entry.GetIncarnation()),
			ConfigRevision: revision, AgeMs: now.Sub(m.Heard).Milliseconds(),
		})
	}
	return status
}

// Dump is the state of the process, for operators.
type Dump struct {
	Status    *operatorapi.Status `json:"status"`
	Servers   []servers.Server    `json:"servers"`
	InFlight  int                 `json:"in_flight"`
	Forwarded int                 `json:"forwarded"`
	Services  []*service.Service  `json:"services"`
	Accounts  int                 `json:"accounts"`
	Withdrawn int                 `json:"withdrawn_keys"`
}

// Dump implements operator.Instance.
func (i *Instance) Dump() any {
	return Dump{
		Status: i.Status(), Servers: i.servers.All(), InFlight: i.requests.Count(), Forwarded: i.forwarded.Count(),
		Services: i.catalog.Services(), Accounts: len(i.catalog.Accounts()), Withdrawn: len(i.catalog.Withdrawn()),
	}
}

const withdrawStoreWait = 2 * time.Second

// Withdraw implements operator.Instance. The key stops working here at once, on
// every peer in reach before the call returns, and elsewhere when the store or a
// peer brings it there.
func (i *Instance) Withdraw(ctx context.Context, keyID string) (*operatorapi.Withdrawal, error) {
	now := time.Now()
	i.catalog.Withdraw(keyID, now.UnixMilli())
	result := &operatorapi.Withdrawal{ID: keyID}
	for _, address := range i.members.Targets() {
		if i.exchangeWith(ctx, address) {
			result.Peers++
		}
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawStoreWait)
	defer cancel()
	_, err := i.platform.Put(ctx, platform.Write{
		Key:   service.StoreKey(configwatch.KindWithdrawn, keyID),
		Value: []byte(strconv.FormatInt(now.UnixMilli(), 10)),
	})
	result.Stored = err == nil || errors.Is(err, platform.ErrConflict)
	return result, nil
}

// Serves tells whether some failure domain has a usable server of the service.
func (i *Instance) Serves(name string) bool {
	for _, d := range i.Domains(name) {
		if d.Servers > 0 {
			return true
		}
	}
	return false
}

// Affords tells whether the account could be charged some tokens here now.
func (i *Instance) Affords(account string, tokens float64) bool {
	a := i.catalog.Account(account)
	if a == nil {
		return false
	}
	now := time.Now()
	ok, _ := i.ledger.Admit(a, tokens, now)
	if ok {
		i.ledger.Settle(a, tokens, now)
	}
	return ok
}

package instance

import (
	"time"

	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/protocol/operatorapi"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/state/servers"
)

// Status implements operator.Instance.
func (i *Instance) Status() *operatorapi.Status {
	now := time.Now()
	status := &operatorapi.Status{
		ID: i.settings.ID, Ready: i.Ready(), ConfigRevision: i.config.Revision(),
		StoreReachable: i.storeReachable.Load(), Findings: append([]string{}, i.config.Findings()...),
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
			ConfigRevision: revision, AgeMs: now.Sub(m.LastContact).Milliseconds(), Rejected: m.Entry.GetRejected(),
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
	Slots     []slots.Record      `json:"slots"` // of the local failure domain, as last read
	Minting   int                 `json:"minting_slots"`
}

// Dump implements operator.Instance.
func (i *Instance) Dump() any {
	return Dump{
		Status: i.Status(), Servers: i.servers.All(), InFlight: i.requests.Count(), Forwarded: i.forwarded.Count(),
		Services: i.catalog.Services(), Accounts: len(i.catalog.Accounts()), Withdrawn: len(i.catalog.Withdrawn()),
		Slots: i.slots.machine.Records(), Minting: i.MintingSlots(),
	}
}

// Busy reports whether requests of callers or of peers are in flight.
func (d Dump) Busy() bool { return d.InFlight+d.Forwarded > 0 }

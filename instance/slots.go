package instance

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/slots"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	slotsInterval      = 100 * time.Millisecond
	slotWriteTimeout   = 2 * time.Second
	slotCallTimeout    = time.Second
	promptReadInterval = 250 * time.Millisecond // while slots of the local domain are free
	readsPerLease      = 4                      // of an instance that holds or may take a slot
	slotsPrefix        = "slots/"
)

// slotManager carries out the actions that the slots protocol decides on.
type slotManager struct {
	machine *slots.Machine
	self    slots.Member

	mu          sync.Mutex
	settings    slots.Settings
	growAt      time.Time             // when a larger number of slots takes effect; zero when none is pending
	slotHolders map[slots.Member]bool // holders of slots of all domains, as last read from the store
	running     sync.WaitGroup
}

func newSlotManager(self slots.Member) *slotManager {
	return &slotManager{machine: slots.New(self, slots.Settings{}), self: self}
}

// holders returns the holders of slots as last read from the store.
func (k *slotManager) holders() map[slots.Member]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.slotHolders
}

// configure applies the fleet document. A larger number of slots takes effect only when
// every instance applies the document (acknowledged) and earlier loans have expired: an
// instance that still divides its domain's share by the smaller number would mint more per
// slot, and all slots together more than the share.
func (k *slotManager) configure(s service.Slots, acknowledged bool, now time.Time) {
	next := slots.Settings{
		Slots: int(s.PerDomain), Lease: s.Lease, Promise: s.Promise,
		Peers: int(s.Peers), Promises: int(s.Promises), Release: s.Release,
	}
	k.mu.Lock()
	if next.Slots > k.settings.Slots && k.settings.Slots > 0 {
		next.Slots = k.growSlots(next.Slots, acknowledged, now)
	} else {
		k.growAt = time.Time{}
	}
	changed := next != k.settings
	k.settings = next
	k.mu.Unlock()
	if changed {
		k.machine.Configure(next)
	}
}

func (k *slotManager) growSlots(count int, acknowledged bool, now time.Time) int {
	if !acknowledged {
		k.growAt = time.Time{}
		return k.settings.Slots
	}
	if k.growAt.IsZero() {
		k.growAt = quota.LoanExpiry(now)
	}
	if now.Before(k.growAt) {
		return k.settings.Slots
	}
	return count
}

func (i *Instance) member() slots.Member {
	self := i.members.Self()
	return slots.Member{ID: self.GetId(), Incarnation: self.GetIncarnation()}
}

// runSlots runs the slots protocol for the local failure domain.
func (i *Instance) runSlots(ctx context.Context) {
	defer i.slots.running.Wait()
	every(ctx, slotsInterval, func(ctx context.Context) {
		fleet := i.catalog.Fleet()
		if fleet == nil {
			return
		}
		now := time.Now()
		revision := i.config.Revision()
		i.slots.configure(fleet.Slots, i.acknowledgedRevision(now) >= revision, now)
		i.slots.machine.SetLive(i.liveInDomain(now), now)
		actions := i.slots.machine.Step(now)
		for _, w := range actions.Writes {
			i.slots.running.Go(func() { i.writeSlot(ctx, w) })
		}
		for _, a := range actions.Requests {
			i.slots.running.Go(func() { i.requestFromPeer(ctx, a) })
		}
		i.updateHeldSlots()
	})
}

func (i *Instance) updateHeldSlots() {
	now := time.Now()
	held := i.slots.machine.HeldSlots(now)
	i.ledger.SetHeldSlots(held, now)
	if count := uint32(len(held)); count != i.members.Self().GetSlots() {
		i.members.UpdateSelf(now, func(m *peerpb.Member) { m.Slots = count })
	}
}

func (i *Instance) liveInDomain(now time.Time) []slots.Member {
	var out []slots.Member
	for _, m := range i.members.Members(now) {
		if m.Reachable && !m.Leaving() && m.Entry.GetDomain() == i.settings.Domain {
			out = append(out, slots.Member{ID: m.Entry.GetId(), Incarnation: m.Entry.GetIncarnation()})
		}
	}
	return out
}

func (i *Instance) writeSlot(ctx context.Context, w slots.Write) {
	outcome, revision := i.putSlot(ctx, w)
	i.slots.machine.WriteDone(w, outcome, revision, time.Now())
	if outcome == slots.Written {
		i.updateHeldSlots()
	}
}

func (i *Instance) putSlot(ctx context.Context, w slots.Write) (slots.Outcome, int64) {
	value, err := w.Record.Encode()
	if err != nil {
		i.log.Error("slot record not encoded", "error", err)
		return slots.Unknown, 0
	}
	ctx, cancel := context.WithTimeout(ctx, slotWriteTimeout)
	defer cancel()
	revision, err := i.platform.Put(ctx, platform.Write{
		Key: slots.Key(i.settings.Domain, w.Slot), Value: value, ExpectRevision: w.Expect,
	})
	switch {
	case err == nil:
		return slots.Written, revision
	case errors.Is(err, platform.ErrConflict):
		return slots.Conflict, 0
	}
	return slots.Unknown, 0
}

// readSlots reads the slots of all domains: the local ones for the protocol, the others to
// know which instances can lend. An instance that neither holds a slot nor may take one
// reads rarely.
func (i *Instance) readSlots(ctx context.Context) {
	for ctx.Err() == nil {
		i.readSlotsOnce(ctx)
		_ = wait(ctx, time.After(i.slotReadInterval()))
	}
}

func (i *Instance) slotReadInterval() time.Duration {
	fleet := i.catalog.Fleet()
	switch {
	case fleet == nil, i.slots.machine.NeedsPromptRead():
		return promptReadInterval
	case i.slots.machine.NeedsFrequentReads():
		return fleet.Slots.Lease / readsPerLease
	}
	return fleet.Slots.Lease
}

func (i *Instance) readSlotsOnce(ctx context.Context) {
	if i.catalog.Fleet() == nil {
		return
	}
	list, _, err := i.platform.List(ctx, slotsPrefix, 0)
	if err != nil {
		return
	}
	local := make(map[int]slots.Entry)
	holders := make(map[slots.Member]bool)
	prefix := slots.Prefix(i.settings.Domain)
	for _, kv := range list {
		record, err := slots.DecodeRecord(kv.Value)
		if err != nil || kv.Deleted {
			continue
		}
		if !record.Released {
			holders[record.Holder] = true
		}
		if index, err := strconv.Atoi(strings.TrimPrefix(kv.Key, prefix)); err == nil && strings.HasPrefix(kv.Key, prefix) {
			local[index] = slots.Entry{Revision: kv.Revision, Record: record}
		}
	}
	i.slots.mu.Lock()
	i.slots.slotHolders = holders
	i.slots.mu.Unlock()
	i.slots.machine.Observe(local, time.Now())
}

// requestFromPeer requests a promise or a consent. A response of another incarnation does
// not count.
func (i *Instance) requestFromPeer(ctx context.Context, a slots.Request) {
	address := i.peerAddress(a.To)
	client, err := i.pool.Get(address)
	if address == "" || err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, slotCallTimeout)
	defer cancel()
	self, slot := i.member(), slots.Key(i.settings.Domain, a.Slot)
	if a.Consent {
		resp, err := client.Consent(ctx, &peerpb.ConsentRequest{
			From: self.ID, Incarnation: self.Incarnation, Slot: slot, Epoch: a.Epoch, Version: int64(a.Seq),
		})
		if err == nil && resp.GetConsented() {
			i.slots.machine.RecordConsent(a, slots.Member{ID: a.To.ID, Incarnation: resp.GetIncarnation()})
		}
		return
	}
	resp, err := client.Promise(ctx, &peerpb.PromiseRequest{
		From: self.ID, Incarnation: self.Incarnation, Slot: slot, Epoch: a.Epoch, Version: int64(a.Seq),
	})
	if err == nil && resp.GetPromised() {
		valid := time.Duration(resp.GetValidMs()) * time.Millisecond
		i.slots.machine.RecordPromise(a, slots.Member{ID: a.To.ID, Incarnation: resp.GetIncarnation()}, valid)
	}
}

func (i *Instance) peerAddress(m slots.Member) string {
	for _, known := range i.members.Members(time.Now()) {
		if known.Entry.GetId() == m.ID {
			return known.Entry.GetPeerAddress()
		}
	}
	return ""
}

// slotIndex returns the index of a slot of the local failure domain, or -1 for any other
// key.
func (i *Instance) slotIndex(key string) int {
	number, ok := strings.CutPrefix(key, slots.Prefix(i.settings.Domain))
	index, err := strconv.Atoi(number)
	if !ok || err != nil {
		return -1
	}
	return index
}

// Promise implements peer.Quota.
func (i *Instance) Promise(req *peerpb.PromiseRequest) *peerpb.PromiseResponse {
	valid := i.slots.machine.HandlePromiseRequest(i.slotIndex(req.GetSlot()), uint64(req.GetVersion()), time.Now())
	return &peerpb.PromiseResponse{
		Promised: valid > 0, Incarnation: i.slots.self.Incarnation, ValidMs: valid.Milliseconds(),
	}
}

// Consent implements peer.Quota.
func (i *Instance) Consent(req *peerpb.ConsentRequest) *peerpb.ConsentResponse {
	delay, ok := i.slots.machine.HandleConsentRequest(i.slotIndex(req.GetSlot()), uint64(req.GetVersion()), time.Now())
	return &peerpb.ConsentResponse{
		Consented: ok, Incarnation: i.slots.self.Incarnation, WaitMs: delay.Milliseconds(),
	}
}

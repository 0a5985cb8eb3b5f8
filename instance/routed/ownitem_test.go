package routed

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/basilroute/basilroute/transport/platform"
)

// Guards against a proof that lasts longer than what a late write, or a suspension of the machine, leaves of it.
func TestProofEndsInTime(t *testing.T) {
	now := time.Now()
	long := storedMember{memberItem: memberItem{ProofMs: proofValidity.Milliseconds()}}
	short := memberItem{ProofMs: proofValidityAlone.Milliseconds()}
	for name, c := range map[string]struct {
		change func(*ownItem)
		want   time.Duration
	}{
		"nothing was written in this incarnation": {func(o *ownItem) { o.prove(long, now) }, proofValidityAlone},
		"a write was confirmed":                   {func(o *ownItem) { o.written(); o.prove(long, now) }, proofValidity},
		"a shorter validity may be written": {func(o *ownItem) {
			o.written()
			o.prove(long, now)
			o.writing(short, now)
		}, proofValidityAlone},
		"a shorter validity may be written late": {func(o *ownItem) {
			o.written()
			o.writing(short, now)
			o.prove(long, now)
		}, proofValidityAlone},
		"the machine was suspended": {func(o *ownItem) {
			o.written()
			o.prove(long, now)
			o.slept -= time.Second
		}, proofValidity - time.Second},
	} {
		o := newOwnItem()
		o.require()
		c.change(o)
		const rounding = time.Millisecond
		if got := o.mintsUntil(now).Sub(now); got > c.want+rounding || got < c.want-rounding {
			t.Errorf("%s: mints for %v, want %v", name, got, c.want)
		}
		o.leave()
		if o.mintsUntil(now).After(now) {
			t.Errorf("%s: mints after it has left", name)
		}
	}
}

// Guards against a build that knows no removal and counts a removed instance, or restarts one that has left without writing its item.
func TestEarlierBuildsReadItems(t *testing.T) {
	n := newQuotaInstance()
	n.settings.Listen.Peers = "10.0.0.1:7600"
	n.item.require()
	if _, err := n.register(context.Background()); err != nil {
		t.Fatal(err)
	}
	var earlier struct{ ID, Peer string }
	read := func() {
		kv, err := n.source.Store().Get(context.Background(), membersPrefix+n.settings.ID)
		if err != nil {
			t.Fatal(err)
		}
		earlier.ID, earlier.Peer = "", ""
		if err := json.Unmarshal(kv.Value, &earlier); err != nil {
			t.Fatal(err)
		}
	}
	if read(); earlier.ID != n.settings.ID || earlier.Peer != n.settings.Listen.Peers {
		t.Errorf("reads %+v of an instance that runs", earlier)
	}
	n.leaveShares()
	if read(); earlier.ID != n.settings.ID || earlier.Peer == n.settings.Listen.Peers {
		t.Errorf("reads %+v of an instance that has left", earlier)
	}
	left, err := n.readMember(context.Background(), n.settings.ID)
	if err != nil || !left.Left {
		t.Fatalf("%+v, %v", left, err)
	}
	if err := n.putMember(context.Background(), n.settings.ID, removedItem(left.memberItem), left.revision); err != nil {
		t.Fatal(err)
	}
	if read(); earlier.ID != "" {
		t.Errorf("reads %+v of a removed instance", earlier)
	}
}

// Guards against the removal of an instance of a build that renews no proof and mints for good.
func TestInstanceWithoutProofIsKept(t *testing.T) {
	n := newQuotaInstance()
	value := []byte(`{"id":"old","domain":"east-a","peer":"10.0.0.2:7600","minted":true}`)
	if _, err := n.source.Store().Put(context.Background(), platform.Write{Key: membersPrefix + "old", Value: value}); err != nil {
		t.Fatal(err)
	}
	if _, err := n.doubt(context.Background(), "old"); err == nil {
		t.Error("it is doubted")
	}
	kv, err := n.source.Store().Get(context.Background(), membersPrefix+"old")
	if err != nil || string(kv.Value) != string(value) {
		t.Errorf("its item is now %q, %v", kv.Value, err)
	}
}

// Guards against a doubted instance that restarts with all others and is removed while it mints, or that has to wait for them.
func TestDoubtedInstanceRestarts(t *testing.T) {
	ctx := context.Background()
	n := newQuotaInstance()
	item := memberItem{ID: n.settings.ID, Domain: n.settings.Domain, Peer: n.settings.Listen.Peers, Minted: true, ProofMs: proofValidity.Milliseconds()}
	item.Doubted = "front-1"
	if err := n.putMember(ctx, n.settings.ID, item, 0); err != nil {
		t.Fatal(err)
	}
	doubted, err := n.readMember(ctx, n.settings.ID)
	if err != nil {
		t.Fatal(err)
	}
	n.item.require()
	n.updateHeldShare(time.Now())
	if now := time.Now(); n.ledger.MintingSlots(now) != 0 {
		t.Error("mints before it has read its item")
	}
	if _, err := n.register(ctx); err != nil {
		t.Fatal(err)
	}
	n.updateHeldShare(time.Now())
	if now := time.Now(); n.ledger.MintingSlots(now) != 1 {
		t.Error("does not mint at once although it has minted before")
	}
	if err := n.putMember(ctx, n.settings.ID, removedItem(doubted.memberItem), doubted.revision); err == nil {
		t.Error("it is removed on the doubt of before its start")
	}
}

package routed

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
)

// Guards against bans that are missing in the store for a second or two after it was restored twice in a row, so that an end of all
// instances forgets them.
func TestBansAreStoredAgainSoonAfterEachRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const spacing, limit = 300 * time.Millisecond, 300 * time.Millisecond
		f := startTestFleet(t, wideLink)
		defer f.stop()
		n := f.instances[0]
		for _, loop := range []func(context.Context){n.rejoin, n.keepBans} {
			n.loops.Go(func() { loop(n.background) })
		}
		older := f.store.copy()
		for i := range 3 {
			time.Sleep(time.Second)
			n.parts.RecordCrash([]quarantine.PartKey{7}, fmt.Sprint("server-", i), "boot", true, time.Now())
		}
		time.Sleep(2 * banStoreInterval)
		for restore := range 2 {
			if stored, _, err := n.bans.read(t.Context()); err != nil || len(stored.Bans) != 1 {
				t.Fatalf("%d bans are stored, want 1: %v", len(stored.Bans), err)
			}
			f.store.restore(older)
			if restore == 0 {
				time.Sleep(spacing)
			}
		}
		time.Sleep(limit)
		if stored, _, err := n.bans.read(t.Context()); err != nil || len(stored.Bans) != 1 {
			t.Errorf("%d bans are stored %s after the second restore, want 1: %v", len(stored.Bans), limit, err)
		}
	})
}

func banAt(part uint64, at time.Time) storedBan {
	return storedBan{Part: part, Crashes: []storedCrash{{Key: part, AtMs: at.UnixMilli(), Begun: true, Reporter: 1}}}
}

// Guards against a stored ban that is lost as another instance writes its own, and against one that outlasts its part's clearing.
func TestStoredBansAreMerged(t *testing.T) {
	now := time.Now()
	const own, others, cleared, expired = 1, 2, 3, 4
	b := newBanStore(quarantine.NewParts("a", func(uint64) bool { return true }), nil, slog.New(slog.DiscardHandler))
	b.kept[own], b.kept[cleared] = now.Add(-time.Second).UnixMilli(), now.UnixMilli()
	stored := storedBans{Bans: []storedBan{
		banAt(own, now.Add(-time.Second)), banAt(others, now), banAt(cleared, now), banAt(expired, now.Add(-quarantine.CrashTTL)),
	}}
	mine := []storedBan{banAt(own, now)}
	if !b.changed(mine) {
		t.Error("a later crash is no change")
	}
	got := b.merge(mine, stored, now)
	if len(got.Bans) != 2 || got.Bans[0].Part != own || got.Bans[0].latest() != now.UnixMilli() || got.Bans[1].Part != others {
		t.Errorf("merged into %+v", got.Bans)
	}
}

// Guards against a refused part whose age is lost in the store, so that its next trial comes too soon or its moments are one.
func TestStoredBansKeepTheirTimes(t *testing.T) {
	now := time.Now().Truncate(time.Millisecond)
	want := quarantine.PartCrash{Key: 7, Age: 3 * time.Second, Begun: true, Reporter: 8}
	stored := storedBans{Bans: encodeBans([]quarantine.PartRecord{{Part: 9, Crashes: []quarantine.PartCrash{want}}}, now)}
	got := stored.records(now.Add(time.Minute))
	want.Age += time.Minute
	if len(got) != 1 || got[0].Part != 9 || got[0].Crashes[0] != want {
		t.Errorf("read %+v, want %+v", got, want)
	}
}

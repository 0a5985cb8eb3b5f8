package routed

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/transport/platform"
)

const (
	// bansKey is where refused parts of prompts are kept. Instances tell each other of crashes, and read this item only when they
	// start: after all have ended at once none is left to tell, and the parts would crash servers again.
	bansKey = "fleet/bans"
	// banCheckInterval is how often an instance looks for bans to store, and banStoreInterval the shortest time between two writes.
	banCheckInterval = 100 * time.Millisecond
	banStoreInterval = time.Second
	// maxStoredBans bounds the parts in the item.
	maxStoredBans = 32
)

// storedCrash is a crash for which a part is blamed. Times are of the clock of the instance that wrote it: how they differ only
// moves the time of the next trial.
type storedCrash struct {
	Key      uint64 `json:"key"`
	AtMs     int64  `json:"at_ms"` // Unix time
	Begun    bool   `json:"begun,omitempty"`
	Reporter uint64 `json:"reporter"`
}

// storedBan is a refused part with its crashes, the latest first.
type storedBan struct {
	Part    uint64        `json:"part"`
	Crashes []storedCrash `json:"crashes"`
}

// storedBans is the value of bansKey.
type storedBans struct {
	Bans []storedBan `json:"bans"`
}

// banStore keeps the refused parts that this instance speaks for in the store.
type banStore struct {
	parts  *quarantine.Parts
	source Source
	log    *slog.Logger
	kept   map[uint64]int64 // time of the latest stored crash by part, of the parts that this instance has stored
	lost   chan struct{}    // wakes keepBans: the store was restored from an earlier copy
}

// keepBans reads the stored bans and then stores those that this instance speaks for, until ctx ends.
func (n *Instance) keepBans(ctx context.Context) {
	b := n.bans
	n.retryUntilDone(ctx, func() error {
		stored, revision, err := b.read(ctx)
		if err == nil {
			b.parts.Merge(stored.records(time.Now()), time.Now())
			b.log.Info("bans_read", "bans", len(stored.Bans), "revision", revision)
		}
		return err
	})
	for ctx.Err() == nil {
		b.await(ctx, banCheckInterval)
		now := time.Now()
		own := encodeBans(b.parts.OwnBans(now), now)
		if !b.changed(own) {
			continue
		}
		switch err := b.update(ctx, own, now); {
		case errors.Is(err, platform.ErrConflict): // another instance wrote its bans first
			b.await(ctx, rand.N(banCheckInterval))
			continue
		case err != nil: // tried again after the interval
			n.log.Info("bans_not_stored", "error", err.Error())
		}
		b.await(ctx, banStoreInterval)
	}
}

func newBanStore(parts *quarantine.Parts, source Source, log *slog.Logger) *banStore {
	return &banStore{parts: parts, source: source, log: log, kept: make(map[uint64]int64), lost: make(chan struct{}, 1)}
}

// recordStoreRestored lets the bans be written again at once: until then an end of all instances forgets them.
func (b *banStore) recordStoreRestored() {
	select {
	case b.lost <- struct{}{}:
	default: // a wake-up is pending
	}
}

// await waits for d, or until the store was restored: what this instance has stored may then be missing.
func (b *banStore) await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.lost:
		clear(b.kept)
	case <-ctx.Done():
	}
}

// read returns the stored bans and the revision of the item, 0 if there is none. A value that cannot be decoded holds none: the next
// write replaces it.
func (b *banStore) read(ctx context.Context) (storedBans, int64, error) {
	var out storedBans
	item, err := b.source.Store().Get(ctx, bansKey)
	if errors.Is(err, platform.ErrNotFound) {
		return out, 0, nil
	}
	if err != nil {
		return out, 0, errors.Wrap(err, "read bans")
	}
	if err := json.Unmarshal(item.Value, &out); err != nil {
		b.log.Info("bans_unreadable", "error", err.Error())
		return storedBans{}, item.Revision, nil
	}
	return out, item.Revision, nil
}

// update writes the bans that this instance speaks for beside those of others.
func (b *banStore) update(ctx context.Context, own []storedBan, now time.Time) error {
	stored, revision, err := b.read(ctx)
	if err != nil {
		return err
	}
	merged := b.merge(own, stored, now)
	value, err := json.Marshal(merged)
	if err != nil {
		return errors.Wrap(err, "bans")
	}
	written, err := b.source.Store().Put(ctx, platform.Write{Key: bansKey, Value: value, ExpectRevision: revision})
	if err != nil {
		return errors.Wrap(err, "write bans")
	}
	b.log.Info("bans_stored", "bans", len(merged.Bans), "own", len(own), "revision", written)
	clear(b.kept)
	for _, ban := range own {
		b.kept[ban.Part] = ban.latest()
	}
	return nil
}

// changed reports whether the bans that this instance speaks for differ from what it has stored.
func (b *banStore) changed(own []storedBan) bool {
	if len(own) != len(b.kept) {
		return true
	}
	for _, ban := range own {
		if at, ok := b.kept[ban.Part]; !ok || ban.latest() > at {
			return true
		}
	}
	return false
}

// merge returns this instance's bans and the stored ones that have not expired, without those of its own that were cleared.
func (b *banStore) merge(own []storedBan, stored storedBans, now time.Time) storedBans {
	out := storedBans{Bans: own}
	mine := make(map[uint64]bool, len(own))
	for _, ban := range own {
		mine[ban.Part] = true
	}
	for _, ban := range stored.Bans {
		expired := now.Sub(time.UnixMilli(ban.latest())) >= quarantine.CrashTTL
		if !mine[ban.Part] && !expired && !b.cleared(ban.Part, now) && len(out.Bans) < maxStoredBans {
			out.Bans = append(out.Bans, ban)
		}
	}
	return out
}

// cleared reports whether a part that this instance has stored is not refused any more. Of others' parts it may not have heard yet.
func (b *banStore) cleared(part uint64, now time.Time) bool {
	_, had := b.kept[part]
	return had && !b.parts.Banned([]quarantine.PartKey{quarantine.PartKey(part)}, now)
}

// latest returns the time of the latest crash in Unix milliseconds, 0 if there is none.
func (b storedBan) latest() int64 {
	if len(b.Crashes) == 0 {
		return 0
	}
	return b.Crashes[0].AtMs
}

func encodeBans(records []quarantine.PartRecord, now time.Time) []storedBan {
	var out []storedBan
	for _, r := range records {
		ban := storedBan{Part: uint64(r.Part)}
		for _, c := range r.Crashes {
			ban.Crashes = append(ban.Crashes, storedCrash{Key: c.Key, AtMs: now.Add(-c.Age).UnixMilli(), Begun: c.Begun, Reporter: c.Reporter})
		}
		out = append(out, ban)
	}
	return out
}

// records returns the bans as an exchange delivers them.
func (s storedBans) records(now time.Time) []quarantine.PartRecord {
	var out []quarantine.PartRecord
	for _, ban := range s.Bans {
		r := quarantine.PartRecord{Part: quarantine.PartKey(ban.Part)}
		for _, c := range ban.Crashes {
			age := max(now.Sub(time.UnixMilli(c.AtMs)), 0)
			r.Crashes = append(r.Crashes, quarantine.PartCrash{Key: c.Key, Age: age, Begun: c.Begun, Reporter: c.Reporter})
		}
		out = append(out, r)
	}
	return out
}

package routed

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/state/backends"
)

const (
	// instances is the size of a fleet with two watchers and one that follows them.
	instances = 3
	// comesBack is how long after the store's return a live server writes its entry again.
	comesBack = 1900 * time.Millisecond
	// removalLimit is how long a removed server may stay in use while the store answers calls.
	removalLimit = 3 * time.Second
	// cutInterval is after which time waiting watches are cut.
	cutInterval = time.Second
)

// startFleetOfServers starts a fleet that knows the servers' entries.
func startFleetOfServers(t *testing.T, size int, keys ...string) *testFleet {
	f := startTestFleet(t, slices.Repeat([]float64{wideLink}, size)...)
	for _, key := range keys {
		f.store.set(key, testServerEntry("east-a"))
	}
	time.Sleep(inForceLimit)
	f.wantInUse(keys...)
	return f
}

func (f *testFleet) inUse(key string) (at []string) {
	for _, n := range f.instances {
		if n.backends.AddressAcceptsWork(key, time.Now()) {
			at = append(at, n.settings.ID)
		}
	}
	return at
}

func (f *testFleet) wantInUse(keys ...string) {
	f.t.Helper()
	for _, key := range keys {
		if at := f.inUse(key); len(at) != len(f.instances) {
			f.t.Errorf("%s is in use at %v only", key, at)
		}
	}
}

func (f *testFleet) wantOutOfUse(key string) {
	f.t.Helper()
	if at := f.inUse(key); len(at) > 0 {
		f.t.Errorf("%s is in use at %v", key, at)
	}
}

// countAway returns how many of some observations found an instance without the store.
func (f *testFleet) countAway(period time.Duration) (away int) {
	const interval = 50 * time.Millisecond
	for range period / interval {
		time.Sleep(interval)
		for _, n := range f.instances {
			if n.storeUnreachable() {
				away++
			}
		}
	}
	return away
}

// Guards against a removed server that stays in use, and a store that counts as away, because watches
// fail while the store answers all other calls.
func TestStoreThatFailsWatchesIsReachable(t *testing.T) {
	for name, watches := range map[string]trouble{
		"cut while they wait": {cutAfter: cutInterval},
		"cut as they end":     {cutAfter: watchTimeout - time.Millisecond},
		"reset at once":       {watches: faultReset},
		"silent":              {watches: faultSilent},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetOfServers(t, instances, "servers/stays", "servers/gone")
				defer f.stop()
				f.store.disturb(watches)
				if away := f.countAway(10 * time.Second); away > 0 {
					t.Errorf("the store was away in %d observations", away)
				}
				f.store.remove("servers/gone")
				time.Sleep(removalLimit)
				f.wantOutOfUse("servers/gone")
				f.wantInUse("servers/stays")
				f.store.set("config/current", []byte("2\n"))
				time.Sleep(removalLimit)
				f.wantVersion(2)
			})
		})
	}
}

// failCalls makes an outage of the store in which entries expire.
func (f *testFleet) failCalls(down fault, cutAfter, outage time.Duration, expired ...string) {
	f.store.disturb(trouble{calls: down, cutAfter: cutAfter})
	time.Sleep(outage)
	for _, key := range expired {
		f.store.remove(key)
	}
	f.store.disturb(trouble{cutAfter: cutAfter})
}

// wantInUseUntilBack writes an entry again that expired in an outage, and checks that its server was in
// use until then.
func (f *testFleet) wantInUseUntilBack(key string) {
	f.t.Helper()
	const interval = 100 * time.Millisecond
	for range comesBack / interval {
		time.Sleep(interval)
		f.wantInUse(key)
	}
	f.store.set(key, testServerEntry("east-a"))
}

// Guards against live servers that are dropped because their entries expired while the store was away,
// be it that calls fail or that calls and watches hang, and beside watches that are cut.
func TestEntriesThatExpireInAnOutageAreKept(t *testing.T) {
	const (
		outage     = 8 * time.Second
		noticeTime = 2300 * time.Millisecond // of the return, by an instance whose call hangs
	)
	for name, down := range map[string]fault{"calls fail": faultReset, "calls hang": faultSilent} {
		for beside, cutAfter := range map[string]time.Duration{"": 0, " beside cut watches": cutInterval} {
			t.Run(name+beside, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleetOfServers(t, instances, "servers/lives", "servers/gone")
					defer f.stop()
					f.store.disturb(trouble{cutAfter: cutAfter})
					time.Sleep(5 * time.Second)
					f.failCalls(down, cutAfter, outage, "servers/lives", "servers/gone")
					f.wantInUseUntilBack("servers/lives")
					time.Sleep(noticeTime + backends.ReturnGrace)
					f.wantInUse("servers/lives")
					f.wantOutOfUse("servers/gone")
				})
			})
		}
	}
}

// Guards against an outage that ends just before a hanging watch does, and is taken for a failure of
// the watch alone.
func TestOutageThatEndsWithAHangingWatchIsNoticed(t *testing.T) {
	const outage, step = 2500 * time.Millisecond, 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		f := startFleetOfServers(t, 1, "servers/lives")
		defer f.stop()
		for offset := time.Duration(0); offset < watchTimeout; offset += step {
			time.Sleep(offset)
			f.failCalls(faultSilent, 0, outage, "servers/lives")
			f.wantInUseUntilBack("servers/lives")
			time.Sleep(fleetStartTime)
		}
	})
}

// Guards against live servers that are dropped by the instances that follow another one or exchange with
// it, and have not noticed an outage themselves.
func TestOutageHoldsRemovalsThatArePassedOn(t *testing.T) {
	const size, step = 8, 400 * time.Millisecond
	for _, outage := range []time.Duration{2500 * time.Millisecond, 4 * time.Second, 6 * time.Second} {
		for name, down := range map[string]fault{"calls fail": faultReset, "calls hang": faultSilent} {
			t.Run(fmt.Sprint(name, " for ", outage), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleetOfServers(t, size, "servers/lives")
					defer f.stop()
					for offset := time.Duration(0); offset < watchTimeout; offset += step {
						time.Sleep(offset)
						f.failCalls(down, 0, outage, "servers/lives")
						f.wantInUseUntilBack("servers/lives")
						time.Sleep(fleetStartTime)
					}
					f.store.remove("servers/lives")
					time.Sleep(removalLimit)
					f.wantOutOfUse("servers/lives")
				})
			})
		}
	}
}

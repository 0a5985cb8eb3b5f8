package routed

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// startRestoredFleet returns a fleet that knows more than a copy of its store, in three regions.
func startRestoredFleet(t *testing.T, instances int) (*testFleet, memoryCopy) {
	f := newTestFleet(t, instances)
	f.domains, f.regions = []string{"east-a", "west-a", "south-a"}, map[string]string{"east-a": "east", "west-a": "west", "south-a": "south"}
	older := f.store.copy()
	for range instances {
		n := f.add(wideLink)
		n.loops.Go(func() { n.runStoreSync(n.background) })
	}
	time.Sleep(fleetStartTime)
	for version := 2; version <= 20; version++ {
		f.store.set("config/current", fmt.Appendf(nil, "%d\n", version))
	}
	time.Sleep(inForceLimit)
	f.wantVersion(20)
	return f, older
}

// Guards against instances that miss changes after the store has come back from an older copy: those
// that watch the store, those that follow them, and those that no store call reaches.
func TestFleetLearnsOfChangesAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 12
		f, older := startRestoredFleet(t, instances)
		defer f.stop()
		f.store.serveOnly(func(id string) bool {
			return !slices.Contains([]string{"front-0", "front-3", "front-6", "front-9"}, id)
		})
		for version := int64(21); version <= 23; version++ {
			f.store.restore(older)
			time.Sleep(time.Second)
			f.store.set("config/current", fmt.Appendf(nil, "%d\n", version))
			time.Sleep(inForceLimit)
			f.wantVersion(version)
		}
	})
}

package routed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/coordination/coldowner"
)

// Guards against a restarted region whose instances all send to the same cold server and
// crash it.
func TestStartingInstanceOwnsNoColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Instance{settings: Settings{ID: "front-1"}, started: time.Now()}
		n.coldOwners.Store(coldowner.NewView([]coldowner.Member{{ID: "front-1"}}))
		if n.ownsColdServer("s1") {
			t.Error("owns a cold server before it knows of any other instance")
		}
		time.Sleep(startupPeriod)
		if !n.ownsColdServer("s1") {
			t.Error("owns no cold server although it is alone")
		}
		owners := 0
		for _, id := range []string{"front-1", "front-2", "front-3"} {
			n := &Instance{settings: Settings{ID: id}, started: time.Now().Add(-startupPeriod)}
			n.coldOwners.Store(coldowner.NewView([]coldowner.Member{{ID: "front-1"}, {ID: "front-2"}, {ID: "front-3"}}))
			if n.ownsColdServer("s1") {
				owners++
			}
		}
		if owners != 1 {
			t.Errorf("%d owners, want 1", owners)
		}
	})
}

// coldServers are enough that each instance of a small region owns some.
const coldServers = 24

// watchColdOwners checks at each step of a time that no cold server has two owners, and returns for
// how long the server that was longest without one had none.
func (f *testFleet) watchColdOwners(d time.Duration) (longestUnowned time.Duration) {
	const step = 5 * time.Millisecond
	unowned := make(map[string]time.Duration)
	for range d / step {
		time.Sleep(step)
		for s := range coldServers {
			server := fmt.Sprint("s", s)
			var owners []string
			for _, n := range f.instances {
				if n.ownsColdServer(server) {
					owners = append(owners, n.settings.ID)
				}
			}
			if len(owners) > 1 {
				f.t.Fatalf("%s has the owners %v", server, owners)
			}
			unowned[server] += step
			if len(owners) == 1 {
				unowned[server] = 0
			}
			longestUnowned = max(longestUnowned, unowned[server])
		}
	}
	return longestUnowned
}

// Guards against an instance that goes on sending to its cold servers while another one has learnt
// that it leaves and sends to them too.
func TestLeavingInstanceHandsOverItsColdServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTestFleet(t, wideLink, wideLink, wideLink)
		defer f.stop()
		for _, n := range f.instances[:2] {
			go func() { _ = n.Stop(t.Context()) }()
			if unowned := f.watchColdOwners(2 * time.Second); unowned > 500*time.Millisecond {
				t.Errorf("a server had no owner for %s", unowned)
			}
		}
	})
}

// Guards against a region in which all instances leave and each of them, or none, sends to the cold
// servers.
func TestColdServersHaveOneOwnerWhileAllInstancesLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTestFleet(t, wideLink, wideLink, wideLink)
		defer f.stop()
		const gap = time.Second
		for _, n := range f.instances {
			go func() { _ = n.Stop(t.Context()) }()
			if unowned := f.watchColdOwners(gap); unowned > gap/2 {
				t.Errorf("a server had no owner for %s", unowned)
			}
		}
		last := f.instances[2]
		serves := time.Duration(serveFraction*float64(last.settings.Bounds.Grace)) - gap
		if unowned := f.watchColdOwners(serves); unowned > gap/2 {
			t.Errorf("a server had no owner for %s while an instance served", unowned)
		}
		time.Sleep(gap)
		if last.ownsColdServer("s1") {
			t.Error("an instance that serves no more owns a cold server")
		}
	})
}

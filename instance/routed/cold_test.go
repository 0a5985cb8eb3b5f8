package routed

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a restarted region whose instances all send to the same cold server and
// crash it.
func TestStartingInstanceOwnsNoColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Instance{settings: Settings{ID: "front-1"}, started: time.Now()}
		n.regionMembers.Store(&[]string{"front-1"})
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
			n.regionMembers.Store(&[]string{"front-1", "front-2", "front-3"})
			if n.ownsColdServer("s1") {
				owners++
			}
		}
		if owners != 1 {
			t.Errorf("%d owners, want 1", owners)
		}
	})
}

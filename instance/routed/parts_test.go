package routed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/coordination/quarantine"
)

// Guards against leaving instances each of which tries a part that crashes servers.
func TestOneInstanceTriesAPartWhileAllLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startTestFleet(t, wideLink, wideLink, wideLink)
		defer f.stop()
		parts := []quarantine.PartKey{7}
		for i, n := range f.instances {
			time.Sleep(time.Second)
			n.parts.RecordCrash(parts, fmt.Sprint("server-", i), "boot", false, time.Now())
		}
		time.Sleep(quarantine.TrialInterval / 2)
		for _, n := range f.instances {
			go func() { _ = n.Stop(t.Context()) }()
		}
		trials := 0
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, n := range f.instances {
				if verdict, _ := n.parts.Admit(parts, time.Now()); verdict == quarantine.Trial {
					trials++
				} else if verdict == quarantine.Admitted {
					t.Fatal("a part that crashed three servers is admitted")
				}
			}
		}
		if trials != 1 {
			t.Errorf("%d trials, want 1", trials)
		}
	})
}

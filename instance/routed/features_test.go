package routed

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilroute/basilroute/coordination/loadhub"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/service/features"
)

// Guards against a mechanism that goes on although the settings switch it off.
func TestFeaturesOfAnInstanceAreSwitchedOff(t *testing.T) {
	others := []loadhub.Peer{{ID: "front-2", Address: netip.MustParseAddrPort("192.0.2.2:4")}}
	for _, c := range []struct {
		feature features.Name
		atWork  func(n *Instance) bool
	}{
		{features.LoadReports, func(n *Instance) bool { return len(n.castPeers(others)) > 0 }},
		{features.StartupWait, func(n *Instance) bool { return n.mayWait() }},
		{features.ConfirmLoans, func(n *Instance) bool { // goes on asking until the caller gives up
			const patience = time.Second
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			before := time.Now()
			n.askSilent(ctx)
			return time.Since(before) >= patience
		}},
	} {
		t.Run(string(c.feature), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				instance := func(on bool) *Instance {
					return &Instance{
						settings: Settings{ID: "front-1"}, started: time.Now(), shares: quotashare.NewHolderSet("front-1", 1),
						features: features.NewSet(map[features.Name]bool{c.feature: on}),
					}
				}
				if !c.atWork(instance(true)) {
					t.Errorf("%s: not at work although it is on", c.feature)
				}
				if c.atWork(instance(false)) {
					t.Errorf("%s: at work although it is off", c.feature)
				}
			})
		})
	}
}

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

// Guards against a mechanism that stays active although the settings switch it off.
func TestFeaturesOfAnInstanceAreSwitchedOff(t *testing.T) {
	others := []loadhub.Peer{{ID: "front-2", Address: netip.MustParseAddrPort("192.0.2.2:4")}}
	for _, c := range []struct {
		feature features.Name
		active  func(n *Instance) bool
	}{
		{features.LoadReports, func(n *Instance) bool { return len(n.loadReportPeers(others)) > 0 }},
		{features.StartupWait, func(n *Instance) bool { return n.startupWaitAllowed() }},
		{features.WarmPeers, func(n *Instance) bool {
			settings := n.warmPeerClientSettings()
			return settings.FreshIdle > 0 || settings.MaxReady > 0
		}},
		{features.ConfirmLoans, func(n *Instance) bool { // keeps asking until the context ends
			const timeout = time.Second
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			before := time.Now()
			n.queryLoans(ctx)
			return time.Since(before) >= timeout
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
				if !c.active(instance(true)) {
					t.Errorf("%s: inactive although it is on", c.feature)
				}
				if c.active(instance(false)) {
					t.Errorf("%s: active although it is off", c.feature)
				}
			})
		})
	}
}

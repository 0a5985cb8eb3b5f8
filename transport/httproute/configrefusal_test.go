package httproute

import (
	"net/http/httptest"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/basilroute/basilroute/state/routes"
)

// Guards against a request that a new version refuses while it waits, and that is then tried once more under the old one.
func TestRefusalByANewVersionIsFinal(t *testing.T) {
	for want, change := range map[reason]func(*routes.Config){
		reasonNoRoute:   func(c *routes.Config) { c.Routes = nil },
		reasonKey:       func(c *routes.Config) { c.Keys = nil },
		reasonNoServer:  func(c *routes.Config) { c.Routes = moved(c.Routes) },
		reasonResidency: func(c *routes.Config) { c.Routes, c.Accounts = apart(c) },
	} {
		t.Run(string(want), func(t *testing.T) {
			playWait(t, func(t *testing.T, f *waitFixture) {
				r := f.request()
				ended := make(chan *failure, 1)
				go func() { ended <- f.attemptAll(t.Context(), httptest.NewRecorder(), r) }()
				synctest.Wait()
				next := *f.Routes.Current()
				next.Version++
				change(&next)
				f.Routes.Offer(&next)
				f.freeSlot()
				if failed := <-ended; failed == nil || failed.reason != want || failed.run != runNotRun {
					t.Errorf("%v, want %s", failed, want)
				}
				if slices.ContainsFunc(r.trace, func(s traceStep) bool { return s.event == eventPlaced }) {
					t.Error("the request was placed")
				}
			})
		})
	}
}

// moved returns the routes with another service.
func moved(list []routes.Route) []routes.Route {
	out := slices.Clone(list)
	for i := range out {
		out[i].Targets = []routes.Target{{Service: "elsewhere", Weight: 1}}
	}
	return out
}

// apart returns routes and accounts whose home regions have none in common.
func apart(c *routes.Config) ([]routes.Route, map[string]*routes.Account) {
	out := slices.Clone(c.Routes)
	for i := range out {
		out[i].HomeRegions = []string{"east"}
	}
	return out, map[string]*routes.Account{"grocers": {Name: "grocers", Priority: -1, HomeRegions: []string{"west"}}}
}

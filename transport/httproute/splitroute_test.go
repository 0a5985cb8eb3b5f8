package httproute

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/routes"
)

// Guards against a request that crashes servers and is counted by each service for itself, where its route splits requests between
// services.
func TestRequestThatCrashesServersOfSeveralServicesIsRefused(t *testing.T) {
	const (
		perService = 3
		tries      = 12
	)
	f, front := newTestFront(t)
	var all []*crashableServer
	config := &routes.Config{Version: 1, Services: make(map[string]*routes.Service)}
	split := route("draft", routes.KindNonIdempotent, 1, false)
	split.Targets = nil
	for _, service := range []string{"svc-a", "svc-b"} {
		config.Services[service] = &routes.Service{Name: service}
		split.Targets = append(split.Targets, routes.Target{Service: service, Weight: 1})
		for n := range perService {
			s := startCrashableServer(t)
			s.script = func(net.Conn, *http.Request) bool {
				_ = s.listener.Close()
				return false
			}
			all = append(all, s)
			f.Local.Backends.Put(backends.Server{ID: fmt.Sprint(service, n), Service: service, Address: s.address, Domain: "d", Region: "r", Slots: 8}, time.Now())
		}
	}
	configure(f)
	withSplit := *f.Routes.Current()
	withSplit.Version, withSplit.Services, withSplit.Routes = 2, config.Services, []routes.Route{split}
	f.Routes.Offer(&withSplit)
	for service := range config.Services {
		var own []backends.Entry
		for _, s := range f.Local.Backends.InRegion("r", time.Now()) {
			if s.Service == service {
				own = append(own, s)
			}
		}
		f.Local.Pool(service).Update(placement.Settings{Slots: 8}, own)
	}
	for n := range tries {
		_, _, _ = call(t, t.Context(), front, http.MethodPost, "/draft/1", "the same", "Id", fmt.Sprint("id-", n))
		time.Sleep(crashSpacing / 3)
	}
	arrived := 0
	for _, s := range all {
		arrived += len(s.requests())
	}
	if arrived > 3 {
		t.Errorf("the request reached %d servers", arrived)
	}
}

package routed

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service/features"
)

// A planned stop goes in stages within the grace that the deployment gives. The
// instance says that it leaves and goes on serving callers whose directory answer is
// old, but takes no stream that might outlast it; then it takes nothing; then it ends,
// at the latest a little before it would be killed.
const (
	// servePart is the part of the grace in which new requests are taken.
	servePart = 0.6
	// endMargin is how long before the end of the grace the process ends.
	endMargin = 400 * time.Millisecond
	drainPoll = 20 * time.Millisecond
)

// remaining is how long this instance still runs, once it leaves; 0 before.
func (n *Instance) remaining() time.Duration {
	ends := n.endsAt.Load()
	if ends == 0 {
		return 0
	}
	return max(time.Duration(ends)-time.Since(n.started), 1)
}

// Stop is the planned stop. It returns an error when requests were cut.
func (n *Instance) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Bounds.Grace-endMargin)
	defer cancel()
	began := time.Now()
	n.endsAt.Store(int64(time.Since(n.started) + n.settings.Bounds.Grace - endMargin))
	n.leaving.Store(true)
	n.members.UpdateSelf(began, func(m *peerpb.Member) { m.State = peerpb.MemberState_MEMBER_STATE_LEAVING })
	n.spread()
	n.log.Info("stopping", "grace_ms", n.settings.Bounds.Grace.Milliseconds())
	pause(ctx, time.Duration(servePart*float64(n.settings.Bounds.Grace)))
	n.stopping.Store(true)
	err := n.callers.Shutdown(ctx)
	for n.inFlight.Load() > 0 && ctx.Err() == nil {
		pause(ctx, drainPoll)
	}
	n.lending.ReturnAll(ctx)
	n.log.Info("stopped", "took_ms", time.Since(began).Milliseconds(), "cut", err != nil)
	n.Kill()
	return err
}

// Kill ends the instance at once.
func (n *Instance) Kill() {
	n.stopLoops()
	_ = n.callers.Close() // the process ends
	for _, s := range n.servicing {
		_ = s.Close() // as above
	}
	n.peers.Stop()
	n.loops.Wait()
	n.pool.Close()
	n.local.Client.Close()
	n.front.Peers.Close()
}

// operatorHandler serves the metrics and the state dump.
func (n *Instance) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(n.Dump()); err != nil {
			n.log.Info("state_dump", "error", err.Error())
		}
	})
	return mux
}

// Dump is the state of the instance, for operators. It holds no key and no body.
type Dump struct {
	ID            string
	Ready         bool
	ConfigVersion int64
	Revisions     map[string]int64 // known of the store, by prefix
	Members       map[string]string
	Servers       map[string][]placement.State // by service
	Evacuated     []string
	QuotaHolders  []quotashare.Holder
	QuotaMints    bool
	FeaturesOff   []features.Name
}

// Dump returns the state.
func (n *Instance) Dump() Dump {
	now := time.Now()
	d := Dump{
		ID: n.settings.ID, Ready: n.Ready(), Revisions: make(map[string]int64), Members: make(map[string]string),
		Servers: make(map[string][]placement.State), Evacuated: n.backends.Evacuated(),
		QuotaHolders: n.shares.Holders(), QuotaMints: n.shares.Mints(), FeaturesOff: n.features.Off(),
	}
	for _, f := range n.followers {
		d.Revisions[f.prefix] = f.mirror.Revision()
	}
	for _, m := range n.members.Members(now) {
		state := "live"
		switch {
		case m.Leaving():
			state = "leaving"
		case !m.Reachable:
			state = "unreachable"
		}
		d.Members[m.Entry.GetId()] = state
	}
	if config := n.routes.Current(); config != nil {
		d.ConfigVersion = config.Version
		for name := range config.Services {
			d.Servers[name] = n.local.Pool(name).States(now)
		}
	}
	return d
}

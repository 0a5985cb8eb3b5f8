package routed

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/placement"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service/features"
)

// A graceful shutdown has three stages within the grace period that the deployment gives.
// First the instance announces that it is leaving and still serves callers whose directory
// response is old, but accepts no request that might outlast it; then it accepts no
// requests; then it ends, shortly before it would be killed.
const (
	// serveFraction is the fraction of the grace period in which new requests are accepted.
	serveFraction = 0.6
	// exitMargin is how long before the end of the grace period the process ends.
	exitMargin        = 400 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// finalResponsePeriod is the part of the margin in which requests that were cut get a response.
	finalResponsePeriod = 150 * time.Millisecond
)

// timeToShutdown returns how long this instance still runs once it is leaving, and 0
// before.
func (n *Instance) timeToShutdown() time.Duration {
	ends := n.endsAt.Load()
	if ends == 0 {
		return 0
	}
	return max(time.Duration(ends)-time.Since(n.started), 1)
}

// serveTime returns how long a leaving instance accepts new requests.
func (n *Instance) serveTime() time.Duration {
	return time.Duration(serveFraction * float64(n.settings.Bounds.Grace))
}

// Stop shuts the instance down gracefully. It returns an error if requests in flight were
// cut off at the end of the grace period.
func (n *Instance) Stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.settings.Bounds.Grace-exitMargin)
	defer cancel()
	began := time.Now()
	n.endsAt.Store(int64(time.Since(n.started) + n.settings.Bounds.Grace - exitMargin))
	n.leaving.Store(true)
	n.front.Metrics.Leave()
	n.local.Waiting.Refuse()
	n.members.UpdateSelf(began, func(m *peerpb.Member) { m.State = peerpb.MemberState_MEMBER_STATE_LEAVING })
	n.applyMembers(began) // before others act on the announcement
	n.triggerExchange()
	n.log.Info("stopping", "grace_ms", n.settings.Bounds.Grace.Milliseconds())
	sleep(ctx, n.serveTime())
	n.stopping.Store(true)
	n.closeCallers(ctx)
	left := make(chan struct{})
	go func() {
		defer close(left)
		n.leaveShares()
	}()
	for n.requestsInFlight() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	cut := n.requestsInFlight()
	var err error
	if cut > 0 {
		err = errors.Newf("%d requests in flight were cut off", cut)
		n.endInFlight()
	}
	n.lending.ReturnAll(ctx)
	<-left
	callers, forwarded := n.front.Metrics.StopOutcomes()
	n.log.Info("stopped", "took_ms", time.Since(began).Milliseconds(), "cut", err != nil, "in_flight", cut,
		slog.Group("requests", callers.Attrs()...), slog.Group("forwarded", forwarded.Attrs()...))
	n.Kill()
	return err
}

// requestsInFlight returns the number of requests of callers and of peers whose response has not been sent completely.
func (n *Instance) requestsInFlight() int { return n.callerConns.activeCount() + n.inFlight.count() }

// endInFlight ends the requests of callers that are still in flight, so that those without a response get
// one that tells that they may have run.
func (n *Instance) endInFlight() {
	n.exit()
	for deadline := time.Now().Add(finalResponsePeriod); n.requestsInFlight() > 0 && time.Now().Before(deadline); {
		sleep(context.Background(), drainPollInterval)
	}
}

// Kill ends the instance at once, without waiting for requests in flight.
func (n *Instance) Kill() {
	n.stopLoops()
	n.front.Metrics.StopOutcomes()
	_ = n.callers.Close() // the process ends
	for _, s := range n.handlerServers {
		_ = s.Close() // as above
	}
	n.peers.Stop()
	n.loops.Wait()
	n.pool.Close()
	n.local.Client.Close()
	n.front.Peers.Close()
	n.front.WarmPeers.Close()
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

// Dump is the state of the instance, for operators. It contains no keys and no request
// bodies.
type Dump struct {
	ID            string
	Ready         bool
	ConfigVersion int64
	Revisions     map[string]string // known revision of the store, by prefix
	Members       map[string]string
	Servers       map[string][]placement.State // by service
	Evacuated     []string
	QuotaHolders  []quotashare.Holder
	QuotaMints    bool
	BodyBytes     int64 // held for bodies and for responses that callers have not read
	StreamRecords int   // origins of streams that are kept
	BannedParts   int   // parts of prompts whose requests are refused
	FeaturesOff   []features.Name
}

// Dump returns the instance's state.
func (n *Instance) Dump() Dump {
	now := time.Now()
	d := Dump{
		ID: n.settings.ID, Ready: n.Ready(), Revisions: make(map[string]string), Members: make(map[string]string),
		Servers: make(map[string][]placement.State), Evacuated: n.backends.Evacuated(),
		QuotaHolders: n.shares.Holders(), QuotaMints: n.shares.Mints(), BodyBytes: n.front.Memory.Used(), StreamRecords: n.builds.records.Len(), BannedParts: n.parts.BannedCount(now), FeaturesOff: n.features.Off(),
	}
	for _, f := range n.syncs {
		d.Revisions[f.prefix] = configwatch.FormatRank(f.mirror.Revision())
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

package routed

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilroute/basilroute/coordination/loadhub"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/quotashare"
	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/service/features"
	"github.com/basilroute/basilroute/state/backends"
	"github.com/basilroute/basilroute/state/mirror"
	"github.com/basilroute/basilroute/state/routes"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/httproute"
	"github.com/basilroute/basilroute/transport/lending"
	"github.com/basilroute/basilroute/transport/loadcast"
	"github.com/basilroute/basilroute/transport/peer"
)

// Instance is one entry instance that serves HTTP routes.
type Instance struct {
	settings Settings
	source   Source
	codec    httproute.Codec
	log      *slog.Logger
	registry *prometheus.Registry
	started  time.Time

	routes     *routes.Table
	backends   *backends.Table
	members    *membership.Table
	ledger     *quota.Ledger
	shares     *quotashare.HolderSet
	features   features.Set
	quarantine *quarantine.List
	local      *httproute.LocalDispatcher
	front      *httproute.Front
	relay      *httproute.Peer
	pool       *peer.Pool
	lending    *lending.Borrower
	caster     *loadcast.Broadcaster

	config, servers *follower
	followers       []*follower
	subscribers     sync.Map // channels of those who follow this instance
	packs           packCache
	catchUps        atomic.Int32 // others that catch up from this instance
	catching        atomic.Bool  // this instance catches up from another one
	receiving       atomic.Int32 // updates of which parts have come

	poolMu sync.Mutex

	ledgerMu      sync.Mutex
	division      *quotashare.Division
	ledgerConfig  int64
	ledgerHolders int

	looked        atomic.Value             // see looked
	regional      atomic.Pointer[[]string] // live instances of the own region
	fleetSize     atomic.Int64             // instances that share the retry budget
	liveSize      atomic.Int64             // instances that can be reached
	avoided       sync.Map                 // instances that could not be reached: uptime when
	exchanging    sync.Map                 // peer addresses with an exchange under way
	failures      sync.Map                 // peer address: exchanges that failed in a row
	holderAddress sync.Map                 // peer address of each instance that shares the quotas, by id
	news          chan struct{}
	unreadable    prometheus.Counter
	copies        *copyMetrics

	servicing []*http.Server
	callers   *http.Server
	peers     *grpc.Server
	listeners map[string]net.Listener
	failed    chan error

	leaving    atomic.Bool  // says that it leaves
	endsAt     atomic.Int64 // when it ends, in nanoseconds since its start; 0 before it leaves
	stopping   atomic.Bool  // takes nothing more
	inFlight   atomic.Int64 // requests of callers and of peers
	loops      sync.WaitGroup
	background context.Context
	stopLoops  context.CancelFunc
}

// Endpoints are the handlers of a deployment's own paths for readiness and the
// directory, made from what the node answers.
type Endpoints struct {
	Ready     func(ready func() bool) http.Handler
	Directory func(resolve func(DirectoryQuery) DirectoryAnswer) http.Handler
}

const (
	serverDialTimeout = 400 * time.Millisecond // in the own region, where the way takes some milliseconds
	peerDialTimeout   = 450 * time.Millisecond // three times the way there and back between regions
	// userTimeout is how long bytes stay unacknowledged: several times the longest
	// way there and back with one lost packet.
	userTimeout  = 1500 * time.Millisecond
	maxIdleConns = 48 // for each server: what one instance has under way at a server at most
)

// New binds the addresses. It serves nothing before Start.
func New(settings Settings, source Source, codec httproute.Codec, endpoints Endpoints, log *slog.Logger) (*Instance, error) {
	n := newNode(settings, source, codec, log)
	if err := n.listen(endpoints); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// newNode returns a node that has no addresses yet.
func newNode(settings Settings, source Source, codec httproute.Codec, log *slog.Logger) *Instance {
	started := time.Now()
	set := features.NewSet(settings.Features)
	n := &Instance{
		settings: settings, features: set, source: source, codec: codec, log: log.With("instance", settings.ID),
		registry: prometheus.NewRegistry(), started: started,
		routes: &routes.Table{}, backends: backends.New(), ledger: quota.New(settings.ID),
		shares: quotashare.NewHolderSet(settings.ID, uint64(started.UnixNano())), quarantine: quarantine.New(),
		pool: peer.NewPool(insecure.NewCredentials()), news: make(chan struct{}, 1),
		listeners: make(map[string]net.Listener), failed: make(chan error, 8),
	}
	if !set.On(features.OvertakeLargeWaits) {
		n.ledger.DisableOvertaking()
	}
	n.background, n.stopLoops = context.WithCancel(context.Background())
	n.members = membership.New(n.selfEntry(), n.started)
	n.regional.Store(&[]string{settings.ID})
	n.fleetSize.Store(1)
	n.members.SetSeeds(n.staticSeeds())
	n.makeFollowers(source)
	n.quarantine.OnCrash(n.spread)
	n.wire()
	return n
}

func (n *Instance) selfEntry() *peerpb.Member {
	return &peerpb.Member{
		Id: n.settings.ID, Incarnation: uint64(n.started.UnixNano()), Version: 1,
		State: peerpb.MemberState_MEMBER_STATE_LIVE, Region: n.settings.Region, Domain: n.settings.Domain,
		CallerAddress: n.settings.Listen.Callers, PeerAddress: n.settings.Listen.Peers, RelayAddress: n.settings.Listen.Relay,
		LinkMbps: uint32(n.settings.LinkMbps),
	}
}

func (n *Instance) staticSeeds() []membership.Seed {
	var out []membership.Seed
	for _, address := range n.settings.Seeds {
		if address != n.settings.Listen.Peers {
			out = append(out, membership.Seed{PeerAddress: address})
		}
	}
	return out
}

func (n *Instance) makeFollowers(source Source) {
	n.config = &follower{prefix: source.ConfigPrefix(), mirror: mirror.New(), changed: n.configChanged}
	n.servers = &follower{prefix: source.ServersPrefix(), mirror: mirror.New(), changed: n.serversChanged, settle: serversSettle}
	n.followers = []*follower{n.config, n.servers}
}

func (n *Instance) wire() {
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.unreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "basilroute", Name: "unreadable_items_total", Help: "Items of the store that could not be read.",
	})
	n.registry.MustRegister(n.unreadable)
	n.copies = newCopyMetrics(n.registry)
	n.registerVersions()
	metrics := httproute.NewMetrics(n.registry)
	n.local = &httproute.LocalDispatcher{
		Codec: n.codec, Backends: n.backends, Quarantine: n.quarantine, Log: n.log, Metrics: metrics,
		Client: backendhttp.New(backendhttp.Settings{DialTimeout: serverDialTimeout, UserTimeout: userTimeout, MaxIdle: maxIdleConns}),
	}
	n.front = &httproute.Front{
		Region: n.settings.Region, Codec: n.codec, Routes: n.routes, Ledger: n.ledger, Quarantine: n.quarantine,
		Retries: retry.NewWindow(retry.WindowSettings{Ratio: n.settings.Retry.Ratio, Slack: n.settings.Retry.Slack, Window: n.settings.Retry.Window}),
		Remotes: n, Local: n.local, Log: n.log, Metrics: metrics, Features: n.features,
		Starting: n.mayWait, Stopping: n.stopping.Load, TimeToShutdown: n.remaining, Leaving: n.leaving.Load,
		Peers: backendhttp.New(backendhttp.Settings{DialTimeout: peerDialTimeout, UserTimeout: userTimeout, MaxIdle: maxIdleConns}),
	}
	n.relay = &httproute.Peer{Codec: n.codec, Local: n.local, Routes: n.routes, Stopping: n.leaving.Load}
	n.lending = &lending.Borrower{
		Ledger: n.ledger, Pool: n.pool, Self: n.member, Lenders: n.lenders,
		OnRefresh:      func(now time.Time) { n.ledger.Acknowledged(int64(n.shares.Size()), now) },
		ApplyDocuments: n.updateHeld,
	}
	n.caster = loadcast.New(n.settings.ID, n.members.Self().GetIncarnation(),
		loadhub.New(n.settings.ID, n.settings.Domain, int(n.settings.LinkMbps)))
	n.caster.LoadReport, n.caster.ApplyReport = n.digest, n.absorb
	n.callers = &http.Server{
		Handler: n.counted(n.front), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	n.peers = grpc.NewServer(append(peer.ServerOptions(),
		grpc.InitialWindowSize(peer.StreamWindow), grpc.InitialConnWindowSize(peer.StreamWindow))...)
	peerpb.RegisterPeerServer(n.peers, &peer.Server{Runner: noGenerations{}, Exchanger: n, Quota: n, Follower: n})
}

// Start serves and runs the loops until Stop.
func (n *Instance) Start() {
	n.goServe(n.callers, n.listeners["callers"])
	go func() {
		if err := n.peers.Serve(n.listeners["peers"]); err != nil {
			n.failed <- err
		}
	}()
	for _, loop := range []func(context.Context){n.followStore, n.join, n.reseed, n.exchange, n.askSilent, n.lending.Run, n.caster.Run, n.housekeep} {
		n.loops.Go(func() { loop(n.background) })
	}
	n.log.Info("started", "region", n.settings.Region, "domain", n.settings.Domain, "callers", n.settings.Listen.Callers,
		"peers", n.settings.Listen.Peers)
}

// Failed delivers the error of a listener that ended unasked.
func (n *Instance) Failed() <-chan error { return n.failed }

const (
	housekeepEvery = 100 * time.Millisecond
	sweepEvery     = time.Second
)

// housekeep does what is due by the clock.
func (n *Instance) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepEvery)
	defer ticker.Stop()
	swept, version := time.Time{}, uint64(0)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		n.backends.Sweep(now)
		n.clearLoans(now)
		due := now.Sub(swept) >= sweepEvery
		if v := n.backends.Version(); v != version || due {
			version = v
			n.refreshPools(now)
		}
		if due {
			swept = now
			n.lookAtMembers(now)
			n.local.Client.Sweep()
			n.front.Peers.Sweep()
		}
	}
}

// Ready tells whether callers can be served: the configuration is known.
func (n *Instance) Ready() bool { return !n.leaving.Load() && n.routes.Current() != nil }

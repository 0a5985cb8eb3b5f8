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

	"github.com/basilroute/basilroute/coordination/coldowner"
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

	routes      *routes.Table
	backends    *backends.Table
	members     *membership.Table
	ledger      *quota.Ledger
	shares      *quotashare.HolderSet
	features    features.Set
	parts       *quarantine.Parts
	bans        *banStore
	buildStore  *buildStore
	local       *httproute.LocalDispatcher
	front       *httproute.Front
	relay       *httproute.Peer
	pool        *peer.Pool
	lending     *lending.Borrower
	broadcaster *loadcast.Broadcaster
	builds      *streamBuilds

	config, servers *prefixSync
	syncs           []*prefixSync
	subscribers     sync.Map // channels that wake the followers of this instance
	updateCache     packCache
	catchUpsServed  atomic.Int32 // other instances that are catching up from this one
	catchingUp      atomic.Bool  // this instance is catching up from another one
	partialUpdates  atomic.Int32 // updates of which some chunks have arrived

	startReaders atomic.Pointer[startReaders] // nil until the instances' items are known

	poolMu sync.Mutex
	pooled pooledVersions // guarded by poolMu
	// currentSince is from when on the servers' entries are read without a break; zero while they are not. Guarded by poolMu.
	currentSince time.Time

	ledgerMu      sync.Mutex
	division      *quotashare.Division
	ledgerConfig  int64
	ledgerHolders uint64 // hash of the set

	item   *ownItem
	heldMu sync.Mutex // orders the calls of updateHeldShare

	membersMu       sync.Mutex               // orders the calls of applyMembers, so that an earlier state replaces no later one
	appliedMembers  atomic.Value             // memberVersion that was last applied
	regionMembers   atomic.Pointer[[]string] // ids of the live instances of the local region
	coldOwners      atomic.Pointer[coldowner.View]
	fleetSize       atomic.Int64 // instances that share the retry budget
	liveSize        atomic.Int64 // instances that can be reached
	unreachableAt   sync.Map     // uptime at which a call last failed to reach an instance, by its id
	exchanging      sync.Map     // peer addresses with an exchange in progress
	failures        sync.Map     // consecutive failed exchanges, by peer address
	holderAddresses sync.Map     // peer address of each instance that shares the quotas, by id
	exchangeTrigger chan struct{}
	unreadable      prometheus.Counter
	syncMetrics     *syncMetrics

	storeRestored        chan struct{} // wakes rejoin
	evacuationsHeldUntil atomic.Int64  // uptime in nanoseconds; 0 while none is held

	handlerServers []*http.Server
	callers        *http.Server
	callerConns    callerConns
	peers          *grpc.Server
	listeners      map[string]net.Listener
	listenerErrors chan error

	leaving    atomic.Bool  // has announced that it is leaving
	endsAt     atomic.Int64 // uptime in nanoseconds at which the process ends; 0 before it leaves
	stopping   atomic.Bool  // refuses new requests
	inFlight   inFlight     // requests of peers
	loops      sync.WaitGroup
	background context.Context
	stopLoops  context.CancelFunc
	exiting    context.Context // ends when the requests that are still in flight are cut
	exit       context.CancelFunc
}

// Endpoints construct the handlers of a deployment's own paths for readiness and the
// directory from the instance's functions.
type Endpoints struct {
	Ready     func(ready func() bool) http.Handler
	Directory func(resolve func(DirectoryQuery) DirectoryAnswer) http.Handler
}

const (
	serverDialTimeout = 400 * time.Millisecond // in the local region, where the one-way delay is a few milliseconds
	peerDialTimeout   = 450 * time.Millisecond // three round trips between regions
	// userTimeout is how long sent bytes may stay unacknowledged (TCP_USER_TIMEOUT):
	// several times the longest round trip with one lost packet.
	userTimeout = 1500 * time.Millisecond
	// bodyMemoryShare is the divisor of the process's memory that gives the part for bodies and unread
	// responses. Half of the memory is for the heap, which grows to twice what is in use.
	bodyMemoryShare = 8
	// waitMemoryShare is the divisor for the bodies of requests that wait for a slot, among these.
	waitMemoryShare = 16

	maxIdleConns = 48 // per server: the most requests that one instance has in flight at a server
)

// New binds the addresses. It serves nothing before Start.
func New(settings Settings, source Source, codec httproute.Codec, endpoints Endpoints, log *slog.Logger) (*Instance, error) {
	n := newInstance(settings, source, codec, log)
	if err := n.listen(endpoints); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

// newInstance returns an instance whose addresses are not bound yet.
func newInstance(settings Settings, source Source, codec httproute.Codec, log *slog.Logger) *Instance {
	started := time.Now()
	set := features.NewSet(settings.Features)
	n := &Instance{
		settings: settings, features: set, source: source, codec: codec, log: log.With("instance", settings.ID),
		registry: prometheus.NewRegistry(), started: started,
		routes: &routes.Table{}, backends: backends.New(), ledger: quota.New(settings.ID),
		shares: quotashare.NewHolderSet(settings.ID, uint64(started.UnixNano())), item: newOwnItem(),
		pool: peer.NewPool(insecure.NewCredentials()), exchangeTrigger: make(chan struct{}, 1),
		storeRestored: make(chan struct{}, 1),
		listeners:     make(map[string]net.Listener), listenerErrors: make(chan error, 8),
	}
	if !set.On(features.OvertakeLargeWaits) {
		n.ledger.DisableOvertaking()
	}
	n.background, n.stopLoops = context.WithCancel(context.Background())
	n.exiting, n.exit = context.WithCancel(context.Background())
	n.members = membership.New(n.selfEntry(), n.started)
	n.regionMembers.Store(&[]string{settings.ID})
	n.coldOwners.Store(coldowner.NewView([]coldowner.Member{{ID: settings.ID, Reachable: true, Confirmed: true}}))
	n.fleetSize.Store(1)
	n.members.SetSeeds(n.staticSeeds())
	n.initSyncs(source)
	n.parts = quarantine.NewParts(settings.ID, n.isReachable)
	n.parts.OnCrash(n.triggerExchange)
	n.parts.InheritBans(n.inheritsBan)
	n.bans = newBanStore(n.parts, source, n.log)
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

func (n *Instance) initSyncs(source Source) {
	n.config = &prefixSync{prefix: source.ConfigPrefix(), mirror: mirror.New(), onChange: n.applyConfigItems}
	n.servers = &prefixSync{prefix: source.ServersPrefix(), mirror: mirror.New(), onChange: n.applyServerItems, debounce: serversDebounce}
	n.syncs = []*prefixSync{n.config, n.servers}
}

func (n *Instance) wire() {
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.unreadable = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: "basilroute", Name: "unreadable_items_total", Help: "Items of the store that could not be read.",
	})
	n.registry.MustRegister(n.unreadable)
	n.syncMetrics = newSyncMetrics(n.registry)
	n.registerVersions()
	metrics := httproute.NewMetrics(n.registry)
	memory := httproute.NewBudget(n.settings.MemoryMB << 20 / bodyMemoryShare)
	n.local = &httproute.LocalDispatcher{
		Codec: n.codec, Backends: n.backends, Parts: n.parts, Log: n.log, Metrics: metrics,
		Client: backendhttp.New(backendhttp.Settings{DialTimeout: serverDialTimeout, UserTimeout: userTimeout, MaxIdle: maxIdleConns}),
	}
	n.builds = newStreamBuilds(&n.settings, n.started)
	n.builds.hasPeers, n.builds.starting = n.hasPeers, n.startupWaitAllowed
	n.builds.current, n.builds.readStore = func() bool { return !n.storeUnreachable() }, n.readBuilds
	n.buildStore = newBuildStore(n.builds.history, n.source, n.log)
	n.local.Waiting = &httproute.Waiting{Metrics: metrics, MaxBytes: int(n.settings.MemoryMB << 20 / waitMemoryShare), Flow: n.slotFlow}
	n.front = &httproute.Front{
		Region: n.settings.Region, Codec: n.codec, Routes: n.routes, Ledger: n.ledger,
		Retries: retry.NewWindow(retry.WindowSettings{Ratio: n.settings.Retry.Ratio, Slack: n.settings.Retry.Slack, Window: n.settings.Retry.Window}),
		Remotes: n, Builds: n.builds, Local: n.local, Log: n.log, Metrics: metrics, Features: n.features, Memory: memory,
		Starting: n.startupWaitAllowed, Stopping: n.stopping.Load, TimeToShutdown: n.timeToShutdown, Leaving: n.leaving.Load, Exit: n.exiting,
		Peers: backendhttp.New(peerClientSettings()), WarmPeers: backendhttp.New(n.warmPeerClientSettings()),
	}
	httproute.RegisterPeerConns(n.registry, n.front.WarmPeers)
	n.relay = &httproute.Peer{Codec: n.codec, Local: n.local, Routes: n.routes, Stopping: n.leaving.Load, Features: n.features, Memory: memory}
	n.lending = &lending.Borrower{
		Ledger: n.ledger, Pool: n.pool, Self: n.member, Lenders: n.lenders,
		OnRefresh:      func(now time.Time) { n.ledger.Acknowledged(int64(n.shares.Size()), now) },
		ApplyDocuments: n.updateHeldShare,
	}
	n.broadcaster = loadcast.New(n.settings.ID, n.members.Self().GetIncarnation(),
		loadhub.New(n.settings.ID, n.settings.Domain, int(n.settings.LinkMbps)))
	n.broadcaster.LoadReport, n.broadcaster.HasPlaced, n.broadcaster.ApplyReport = n.loadReport, n.hasPlaced, n.applyLoadReport
	n.broadcaster.ReceiveOther, n.builds.exchange.Send = n.builds.exchange.Receive, n.broadcaster.SendOther
	n.callers = &http.Server{
		Handler: n.front, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug), ConnState: n.callerConns.track, ConnContext: httproute.WithConn,
	}
	n.peers = grpc.NewServer(append(peer.ServerOptions(),
		grpc.InitialWindowSize(peer.StreamWindow), grpc.InitialConnWindowSize(peer.StreamWindow))...)
	peerpb.RegisterPeerServer(n.peers, &peer.Server{Runner: generationRefuser{}, Exchanger: n, Quota: n, Follower: n})
}

// Start serves and runs the loops until Stop.
func (n *Instance) Start() {
	n.item.require()
	n.serveAsync(n.callers, n.listeners["callers"])
	go func() {
		if err := n.peers.Serve(n.listeners["peers"]); err != nil {
			n.listenerErrors <- err
		}
	}()
	for _, loop := range []func(context.Context){n.runStoreSync, n.join, n.rejoin, n.removeGone, n.reseed, n.exchange, n.keepBans, n.keepBuilds, n.queryLoans, n.lending.Run, n.broadcaster.Run, n.local.Waiting.Run, n.housekeep} {
		n.loops.Go(func() { loop(n.background) })
	}
	n.log.Info("started", "region", n.settings.Region, "domain", n.settings.Domain, "callers", n.settings.Listen.Callers,
		"peers", n.settings.Listen.Peers)
}

// Failed delivers the errors of listeners that ended unexpectedly.
func (n *Instance) Failed() <-chan error { return n.listenerErrors }

const (
	housekeepInterval = 100 * time.Millisecond
	sweepInterval     = time.Second
)

// housekeep runs the periodic work.
func (n *Instance) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepInterval)
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
		n.releaseEvacuations()
		due := now.Sub(swept) >= sweepInterval
		if v := n.backends.Version(); v != version || due {
			version = v
			n.refreshPools(now)
		}
		if due || n.leaving.Load() { // what leaving instances own changes with the time
			n.applyMembers(now)
		}
		if due {
			swept = now
			n.builds.recordServers(n.backends.Builds(), now)
			n.local.Client.Sweep()
			n.front.Peers.Sweep()
			n.front.WarmPeers.Sweep()
		}
	}
}

// Ready reports whether callers can be served: the configuration is known and the instance
// is not leaving.
func (n *Instance) Ready() bool { return !n.leaving.Load() && n.routes.Current() != nil }

package instance

import (
	"context"
	"encoding/hex"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/basilroute/basilroute/coordination/configwatch"
	"github.com/basilroute/basilroute/coordination/membership"
	"github.com/basilroute/basilroute/coordination/quarantine"
	"github.com/basilroute/basilroute/coordination/quota"
	"github.com/basilroute/basilroute/coordination/retry"
	"github.com/basilroute/basilroute/coordination/routing"
	"github.com/basilroute/basilroute/coordination/via"
	"github.com/basilroute/basilroute/protocol/peerpb"
	"github.com/basilroute/basilroute/protocol/refusal"
	"github.com/basilroute/basilroute/state/catalog"
	"github.com/basilroute/basilroute/state/requests"
	"github.com/basilroute/basilroute/state/servers"
	"github.com/basilroute/basilroute/transport/backend"
	"github.com/basilroute/basilroute/transport/claim"
	"github.com/basilroute/basilroute/transport/dispatch"
	"github.com/basilroute/basilroute/transport/draining"
	"github.com/basilroute/basilroute/transport/gateway"
	"github.com/basilroute/basilroute/transport/lending"
	"github.com/basilroute/basilroute/transport/metrics"
	"github.com/basilroute/basilroute/transport/operator"
	"github.com/basilroute/basilroute/transport/peer"
	"github.com/basilroute/basilroute/transport/platform"
)

// Instance is one entry instance. Several can run in one process.
type Instance struct {
	settings Settings
	log      *slog.Logger
	registry *prometheus.Registry
	metrics  *metrics.Recorder

	catalog    *catalog.Catalog
	config     *configwatch.DocumentSet
	members    *membership.Table
	servers    *servers.Table
	requests   *requests.Table
	forwarded  *requests.Table
	ledger     *quota.Ledger
	slots      *slotManager
	lending    *lending.Borrower
	retries    *retry.Budget
	quarantine *quarantine.List
	parts      *quarantine.Parts

	platform *platform.Client
	backend  *backend.Client
	pool     *peer.Pool
	local    *dispatch.LocalDispatcher
	front    *dispatch.Front
	claims   *claim.Claimer

	callers, operators *http.Server
	peers              *grpc.Server
	listeners          listeners

	ready           atomic.Bool
	storeReachable  atomic.Bool // the last store call succeeded
	storeRead       atomic.Bool // the documents in the store were read at least once
	listQueried     atomic.Bool // the platform's list was requested at least once
	peersQueried    atomic.Bool // a round of exchanges with the listed instances has ended
	synced          atomic.Bool // had the same documents as a peer that accepts callers
	fetching        atomic.Bool // documents are being read from a peer
	exchanging      sync.Map    // peer addresses with an exchange in progress
	exchangeTrigger chan struct{}
	pollTrigger     chan struct{} // wakes the loop that polls backend servers
	backends        backendList
	withdrawn       sync.Map // ids of keys whose withdrawal an operator sent to this instance
	loops           sync.WaitGroup
	background      context.Context // of everything that runs until Kill
	stopLoops       context.CancelFunc
	listenerErrors  chan error         // of listeners that ended unexpectedly
	crashes         chan chan struct{} // crashes to be announced; each channel is closed once its crash is
	views           domainViews
	leaving         atomic.Bool
	ending          dispatch.Ending
}

type listeners struct {
	callers, peers, operators net.Listener
	queue                     *draining.Listener // of callers, below TLS
}

// New binds the instance's addresses. It serves nothing before Start.
func New(settings Settings, log *slog.Logger) (*Instance, error) {
	i := &Instance{
		settings:        settings,
		log:             log.With("instance", settings.ID),
		registry:        prometheus.NewRegistry(),
		catalog:         catalog.New(),
		servers:         servers.New(),
		requests:        requests.New(),
		forwarded:       requests.New(),
		ledger:          quota.New(settings.Domain),
		retries:         retry.NewBudget(),
		quarantine:      quarantine.New(),
		backend:         backend.New(),
		crashes:         make(chan chan struct{}),
		pollTrigger:     make(chan struct{}, 1),
		views:           domainViews{views: make(map[string]domainView)},
		listenerErrors:  make(chan error, 3),
		exchangeTrigger: make(chan struct{}, 1),
	}
	i.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	i.metrics = metrics.NewRecorder(i.registry)
	i.background, i.stopLoops = context.WithCancel(context.Background())
	i.config = configwatch.New(i.catalog)
	i.quarantine.OnCrash(i.announceCrash)
	i.parts = quarantine.NewParts(settings.ID, i.isReachable)
	i.parts.ExpectIsolatedCopies()
	i.parts.OnCrash(i.announceCrash)
	i.quarantine.OnServerExit(i.servers.MarkProcessEnded)
	i.catalog.OnWithdraw(i.requests.CancelKey)
	i.catalog.OnWithdraw(i.forwarded.CancelKey)
	if err := i.listen(); err != nil {
		return nil, err
	}
	i.members = membership.New(i.selfEntry(), time.Now())
	i.registerMetrics()
	i.slots = newSlotManager(i.member())
	if err := i.wire(); err != nil {
		i.closeListeners()
		return nil, err
	}
	return i, nil
}

func (i *Instance) listen() error {
	var err error
	for _, l := range []struct {
		into    *net.Listener
		address string
		tls     TLS
	}{
		{&i.listeners.callers, i.settings.Callers.Listen, i.settings.Callers.TLS},
		{&i.listeners.peers, i.settings.Peers.Listen, TLS{PlainText: true}}, // gRPC does its own TLS
		{&i.listeners.operators, i.settings.Operator.Listen, i.settings.Operator.TLS},
	} {
		if *l.into, err = net.Listen("tcp", l.address); err != nil {
			i.closeListeners()
			return errors.Wrap(err, "listen")
		}
		if l.into == &i.listeners.callers {
			i.drainable(l.into)
		}
		if *l.into, err = secure(*l.into, l.tls); err != nil {
			i.closeListeners()
			return errors.Wrap(err, "listen")
		}
	}
	return nil
}

// drainable lets the listener of callers drain at the end.
func (i *Instance) drainable(callers *net.Listener) {
	if l, ok := (*callers).(draining.QueueListener); ok {
		i.listeners.queue = draining.New(l, i.log)
		*callers = i.listeners.queue
	}
}

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.listeners.callers, i.listeners.peers, i.listeners.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func advertised(l Listener, bound net.Listener) string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return bound.Addr().String()
}

func (i *Instance) selfEntry() *peerpb.Member {
	return &peerpb.Member{
		Id: i.settings.ID, Incarnation: uint64(time.Now().UnixNano()), Version: 1,
		State: peerpb.MemberState_MEMBER_STATE_LIVE, Region: i.settings.Region, Domain: i.settings.Domain,
		CallerAddress: advertised(i.settings.Callers, i.listeners.callers),
		PeerAddress:   advertised(i.settings.Peers, i.listeners.peers),
	}
}

func (i *Instance) wire() error {
	transport, err := i.platformTransport()
	if err != nil {
		return err
	}
	i.platform, err = platform.New(platform.Settings{
		URL: i.settings.Platform.URL, CallTimeout: i.settings.Platform.CallTimeout,
		CallRate: i.settings.Platform.CallRate, CallBurst: int(i.settings.Platform.CallBurst),
	}, i.metrics.CountStoreCalls(transport))
	if err != nil {
		return err
	}
	creds, err := i.peerCredentials()
	if err != nil {
		return err
	}
	i.pool = peer.NewPool(creds)
	i.pool.Revision = i.config.Revision
	i.lending = &lending.Borrower{Ledger: i.ledger, Pool: i.pool, Self: i.member, Lenders: i.lenders}
	i.claims = claim.New(i.background, i.platform, i.settings.ID, i.log)
	queues := dispatch.NewAdmission(i.servers)
	queues.Ending = &i.ending
	i.local = &dispatch.LocalDispatcher{
		Catalog: i.catalog, Servers: i.servers, Backend: i.backend, Quarantine: i.quarantine, Parts: i.parts,
		Admission: queues, Prefixes: dispatch.NewPrefixIndexes(i.settings.Region),
		Isolation: quarantine.NewIsolation(), Metrics: i.metrics, Claims: i.claims,
	}
	i.front = &dispatch.Front{
		Region: i.settings.Region, Domain: i.settings.Domain, Catalog: i.catalog, Ledger: i.ledger,
		Retries: i.retries, Quarantine: i.quarantine, Parts: i.parts, Domains: i, Router: routing.NewRouter(i.settings.Region, i.settings.Domain),
		Local: i.local, Forwarder: &dispatch.Resumer{Next: i.pool, Peers: i.peersInDomain}, Log: i.log, Metrics: i.metrics, Ending: &i.ending,
	}
	return i.wireServers(creds)
}

const headerTimeout = 10 * time.Second

func (i *Instance) wireServers(creds credentials.TransportCredentials) error {
	callers, err := (&gateway.Gateway{
		Catalog: i.catalog, Requests: i.requests, Runner: gateway.Recovering(i.front, i.log), Entries: i, Ready: i.Ready, Metrics: i.metrics,
		Via: via.NewSigner(i.settings.viaSecret()),
	}).Handler()
	if err != nil {
		return err
	}
	handler := &operator.Handler{Instance: i}
	sum, err := hex.DecodeString(i.settings.Operator.TokenSHA256)
	if err != nil {
		return errors.Wrap(err, "operator.token_sha256")
	}
	copy(handler.TokenSHA256[:], sum)
	operators, err := operator.New(handler, i.registry)
	if err != nil {
		return err
	}
	i.callers = &http.Server{Handler: i.closeWhenLeaving(callers), ReadHeaderTimeout: headerTimeout}
	i.operators = &http.Server{Handler: operators, ReadHeaderTimeout: headerTimeout}
	i.peers = grpc.NewServer(append(peer.ServerOptions(), grpc.Creds(creds),
		grpc.InitialWindowSize(peer.StreamWindow), grpc.InitialConnWindowSize(peer.ConnWindow))...)
	peerpb.RegisterPeerServer(i.peers, &peer.Server{Runner: i, Exchanger: i, Quota: i})
	return nil
}

// Start serves and runs the loops until Stop or Kill.
func (i *Instance) Start() {
	go i.serve(func() error { return i.callers.Serve(i.listeners.callers) })
	go i.serve(func() error { return i.operators.Serve(i.listeners.operators) })
	go i.serve(func() error { return i.peers.Serve(i.listeners.peers) })
	for _, loop := range []func(context.Context){
		i.watchConfig, i.watchList, i.pollServers, i.exchange, i.exchangeCrashes,
		i.runSlots, i.readSlots, i.runLending, i.storeWithdrawals, i.issueOrders,
	} {
		i.loops.Go(func() { loop(i.background) })
	}
	i.log.Info("instance started", "region", i.settings.Region, "domain", i.settings.Domain,
		"callers", i.listeners.callers.Addr().String(), "peers", i.listeners.peers.Addr().String())
}

func (i *Instance) serve(run func() error) {
	err := run()
	if err != nil && !errors.IsAny(err, http.ErrServerClosed, net.ErrClosed) {
		i.listenerErrors <- err
	}
}

// Failed delivers the errors of listeners that ended unexpectedly.
func (i *Instance) Failed() <-chan error { return i.listenerErrors }

// Kill ends the instance at once, without waiting for requests in flight.
func (i *Instance) Kill() {
	i.stopLoops()
	_ = i.callers.Close()
	_ = i.operators.Close()
	i.peers.Stop()
	i.loops.Wait()
	i.claims.Wait()
	i.pool.Close()
	i.backend.Close()
}

// RunForwarded implements peer.Runner.
func (i *Instance) RunForwarded(ctx context.Context, w *dispatch.Work, sink dispatch.Sink) error {
	ctx, request, ok := i.forwarded.Begin(ctx, w.KeyID)
	if !ok {
		return refusal.New(refusal.CodeLeaving, "this instance stops")
	}
	defer i.forwarded.End(request)
	// The check follows Begin: a key withdrawn from here on cancels the request.
	if refused := i.checkForwarded(ctx, w); refused != nil {
		return refused
	}
	return cancelReasonOr(ctx, i.local.Run(ctx, w, sink))
}

// CancelForwarded implements peer.Runner.
func (i *Instance) CancelForwarded(service, server, requestID string) bool {
	return i.local.Cancel(service, server, requestID)
}

// Ready reports whether the instance has a configuration to serve callers with.
func (i *Instance) Ready() bool { return i.ready.Load() }

// Addresses returns the bound addresses for callers, peers and operators.
func (i *Instance) Addresses() (callers, peers, operators string) {
	return i.listeners.callers.Addr().String(), i.listeners.peers.Addr().String(), i.listeners.operators.Addr().String()
}

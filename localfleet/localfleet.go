// Package localfleet runs a complete deployment in one process: stand-ins for
// the platform and the backend servers, and entry instances in several regions,
// all on loopback. The demo and the tests use it.
package localfleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/protocol/platformapi"
	"github.com/basilroute/basilroute/service"
	"github.com/basilroute/basilroute/standin/engine"
	"github.com/basilroute/basilroute/standin/plain"
	"github.com/basilroute/basilroute/standin/platform"
	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/httpbound"
	transport "github.com/basilroute/basilroute/transport/platform"
)

// OperatorToken is the operators' bearer token for the instances of a local fleet.
const OperatorToken = "local-operator"

// Domain is a failure domain to run.
type Domain struct {
	Region       string
	Name         string
	Instances    int
	Engines      int
	PlainServers int
}

// Config describes a fleet.
type Config struct {
	Domains      []Domain
	ModelService string // service of the engines
	PlainService string // service of the plain stand-ins
	Engine       engine.Config
	Log          *slog.Logger
	Adjust       func(*instance.Settings) // changes the settings of each instance; may be nil
}

// Fleet is a running deployment.
type Fleet struct {
	Platform      *platform.Server
	URL           string // of the platform
	Store         *transport.Client
	Engines       map[string]*engine.Engine
	Backends      map[string]string // URLs of the backend servers by id
	PlainServices map[string]*plain.Service
	Instances     map[string]*instance.Instance
	StartOrder    []string // ids of the instances as they were started

	config  Config
	mu      sync.Mutex
	servers []*http.Server
}

// Start runs the fleet. Stop it with Close.
func Start(config Config) (*Fleet, error) {
	f := &Fleet{
		Platform: platform.New(), config: config,
		Engines: make(map[string]*engine.Engine), Backends: make(map[string]string), PlainServices: make(map[string]*plain.Service),
		Instances: make(map[string]*instance.Instance),
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	handler, err := f.Platform.Handler()
	if err != nil {
		return err
	}
	if f.URL, err = f.serve(handler); err != nil {
		return err
	}
	f.Store, err = transport.New(transport.Settings{URL: f.URL, CallTimeout: time.Second, CallRate: 1000, CallBurst: 1000}, backendhttp.NewRoundTripper(backendhttp.Settings{MaxHead: httpbound.MaxHead}, nil))
	if err != nil {
		return err
	}
	for _, domain := range f.config.Domains {
		if err := f.startDomain(domain); err != nil {
			return err
		}
	}
	return nil
}

// serve serves the handler on a free loopback port and returns its base URL.
func (f *Fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for stand-in")
	}
	server := &http.Server{Handler: handler, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	f.mu.Lock()
	f.servers = append(f.servers, server)
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

func (f *Fleet) startDomain(d Domain) error {
	for n := range d.Engines {
		id := fmt.Sprintf("%s-engine-%d", d.Name, n+1)
		e := engine.New(f.config.Engine)
		f.Engines[id] = e
		handler, err := e.Handler()
		if err != nil {
			return err
		}
		if err := f.registerBackend(d, id, f.config.ModelService, f.config.Engine.Version, handler); err != nil {
			return err
		}
	}
	for n := range d.PlainServers {
		id := fmt.Sprintf("%s-plain-%d", d.Name, n+1)
		f.PlainServices[id] = plain.New()
		handler, err := f.PlainServices[id].Handler()
		if err != nil {
			return err
		}
		if err := f.registerBackend(d, id, f.config.PlainService, "v1", handler); err != nil {
			return err
		}
	}
	for n := range d.Instances {
		if _, err := f.StartInstance(d, fmt.Sprintf("%s-entry-%d", d.Name, n+1)); err != nil {
			return err
		}
	}
	return nil
}

// registerBackend serves a backend server and adds it to the platform's list of instances.
func (f *Fleet) registerBackend(d Domain, id, name, version string, handler http.Handler) error {
	url, err := f.serve(handler)
	if err != nil {
		return err
	}
	f.Backends[id] = url
	f.Platform.SetInstance(platformapi.Instance{
		ID: id, Role: platformapi.InstanceRoleBackend, Region: d.Region, Domain: d.Name, Address: url,
		Service: platformapi.NewOptString(name), Version: platformapi.NewOptString(version),
		State: platformapi.InstanceStateLive,
	})
	return nil
}

// StartInstance adds an entry instance to a failure domain.
func (f *Fleet) StartInstance(d Domain, id string) (*instance.Instance, error) {
	settings := f.settings(d, id)
	i, err := instance.New(settings, f.config.Log)
	if err != nil {
		return nil, err
	}
	_, peers, _ := i.Addresses()
	f.Platform.SetInstance(platformapi.Instance{
		ID: id, Role: platformapi.InstanceRoleEntry, Region: d.Region, Domain: d.Name, Address: peers,
		State: platformapi.InstanceStateLive,
	})
	i.Start()
	f.Instances[id] = i
	f.StartOrder = append(f.StartOrder, id)
	return i, nil
}

func (f *Fleet) settings(d Domain, id string) instance.Settings {
	const anyPort = "127.0.0.1:0"
	plainText := instance.TLS{PlainText: true}
	sum := sha256.Sum256([]byte(OperatorToken))
	s := instance.DefaultSettings()
	s.ID, s.Region, s.Domain = id, d.Region, d.Name
	s.Callers = instance.Listener{Listen: anyPort, TLS: plainText}
	s.Peers = instance.Listener{Listen: anyPort, TLS: plainText}
	s.Operator = instance.Operator{Listen: anyPort, TokenSHA256: hex.EncodeToString(sum[:]), TLS: plainText}
	s.Platform.URL = f.URL
	if f.config.Adjust != nil {
		f.config.Adjust(&s)
	}
	return s
}

// Apply writes a document to the store and replaces the stored one, if any.
func (f *Fleet) Apply(ctx context.Context, document string) error {
	d, err := service.Parse("", []byte(document))
	if err != nil {
		return err
	}
	expect := int64(0)
	current, err := f.Store.Get(ctx, d.Key())
	if err == nil {
		expect = current.Revision
	}
	_, err = f.Store.Put(ctx, transport.Write{Key: d.Key(), Value: []byte(document), ExpectRevision: expect})
	return err
}

// Await waits until every running instance satisfies the condition.
func (f *Fleet) Await(ctx context.Context, condition func(*instance.Instance) bool) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		satisfied := 0
		for _, i := range f.Instances {
			if condition(i) {
				satisfied++
			}
		}
		if satisfied == len(f.Instances) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "condition met by %d of %d instances", satisfied, len(f.Instances))
		}
	}
}

// Close kills the instances, without a graceful shutdown, and closes the stand-ins.
func (f *Fleet) Close() {
	for _, i := range f.Instances {
		i.Kill()
	}
	for _, server := range f.servers {
		_ = server.Close()
	}
	for _, e := range f.Engines {
		e.Close()
	}
	f.Platform.Close()
}

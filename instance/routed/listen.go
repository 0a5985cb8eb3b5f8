package routed

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/basilroute/basilroute/transport/draining"
)

// listenConfig has short keep-alive probes: a caller behind a cut link never closes its
// connection.
var listenConfig = net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}

func (n *Instance) bind(name, address string) (net.Listener, error) {
	l, err := listenConfig.Listen(n.background, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for %s", name)
	}
	n.listeners[name] = l
	return l, nil
}

const (
	headerTimeout = 5 * time.Second
	// idleTimeout of callers' connections is above the idle time that operators allow
	// callers, so that a request never crosses the close of an idle connection.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

func (n *Instance) listen(endpoints Endpoints) error {
	for _, l := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"ready", n.settings.Listen.Ready, endpoints.Ready(n.Ready)},
		{"directory", n.settings.Listen.Directory, endpoints.Directory(n.Resolve)},
	} {
		if _, err := n.bind(l.name, l.address); err != nil {
			return err
		}
		n.serveHandler(l.handler, n.listeners[l.name])
	}
	if _, err := n.bind("relay", n.settings.Listen.Relay); err != nil {
		return err
	}
	n.serveRelay(n.relay, n.listeners["relay"])
	if err := n.broadcaster.Listen(n.settings.Listen.Relay); err != nil { // UDP, on the same port
		return err
	}
	l, err := n.bind("callers", n.settings.Listen.Callers)
	if err != nil {
		return err
	}
	if queued, ok := l.(draining.QueueListener); ok {
		n.listeners["callers"] = draining.New(queued, n.log)
	}
	if _, err := n.bind("peers", n.settings.Listen.Peers); err != nil {
		return err
	}
	n.listenMetrics()
	return nil
}

// listenMetrics serves metrics and the state dump if the settings name an address. Callers
// are served without them too, so an address that is in use does not stop the instance.
func (n *Instance) listenMetrics() {
	if n.settings.Listen.Metrics == "" {
		return
	}
	l, err := n.bind("metrics", n.settings.Listen.Metrics)
	if err != nil {
		n.log.Error("metrics_unavailable", "address", n.settings.Listen.Metrics, "error", err.Error())
		return
	}
	n.serveHandler(n.operatorHandler(), l)
}

// serveHandler runs one of the HTTP servers other than that of callers.
func (n *Instance) serveHandler(handler http.Handler, l net.Listener) {
	n.serveAsync(n.newServer(handler), l)
}

// newServer returns an HTTP server that Kill closes.
func (n *Instance) newServer(handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: n.callers.ErrorLog}
	n.handlerServers = append(n.handlerServers, server)
	return server
}

// serveRelay serves the requests that other instances forward.
func (n *Instance) serveRelay(handler http.Handler, l net.Listener) {
	server := n.newServer(handler)
	n.inFlight.track(server)
	n.serveAsync(server, l)
}

func (n *Instance) serveAsync(server *http.Server, l net.Listener) {
	go func() {
		err := server.Serve(l)
		if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.listenerErrors <- err
		}
	}()
}

func (n *Instance) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close() // the instance does not start
	}
}

package routed

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// listenConfig has short keep-alive probes: a caller behind a cut link never closes.
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
	// idleTimeout of callers' connections is above what operators allow callers, so
	// that a request never crosses the close of an idle connection.
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
		{"relay", n.settings.Listen.Relay, n.counted(n.relay)},
	} {
		if _, err := n.bind(l.name, l.address); err != nil {
			return err
		}
		n.service(l.handler, n.listeners[l.name])
	}
	if err := n.caster.Listen(n.settings.Listen.Relay); err != nil { // the same number, as datagrams
		return err
	}
	if _, err := n.bind("callers", n.settings.Listen.Callers); err != nil {
		return err
	}
	if _, err := n.bind("peers", n.settings.Listen.Peers); err != nil {
		return err
	}
	n.listenMetrics()
	return nil
}

// listenMetrics serves metrics and the state dump where the settings name an address. Callers
// are served without them too, so an address that is taken stops nothing.
func (n *Instance) listenMetrics() {
	if n.settings.Listen.Metrics == "" {
		return
	}
	l, err := n.bind("metrics", n.settings.Listen.Metrics)
	if err != nil {
		n.log.Error("metrics_unavailable", "address", n.settings.Listen.Metrics, "error", err.Error())
		return
	}
	n.service(n.operatorHandler(), l)
}

// service runs one of the servers beside that of callers.
func (n *Instance) service(handler http.Handler, l net.Listener) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: n.callers.ErrorLog}
	n.servicing = append(n.servicing, server)
	n.goServe(server, l)
}

func (n *Instance) goServe(server *http.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.failed <- err
		}
	}()
}

func (n *Instance) closeListeners() {
	for _, l := range n.listeners {
		_ = l.Close() // the instance does not start
	}
}

// counted keeps count of the requests in flight, for the planned stop.
func (n *Instance) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		defer n.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

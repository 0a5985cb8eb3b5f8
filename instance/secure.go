package instance

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/basilroute/basilroute/transport/backendhttp"
	"github.com/basilroute/basilroute/transport/httpbound"
	"github.com/basilroute/basilroute/transport/peer"
	"github.com/basilroute/basilroute/transport/tlsconf"
)

func (t TLS) files() tlsconf.Files { return tlsconf.Files{Cert: t.Cert, Key: t.Key, CA: t.CA} }

// secure wraps a listener in TLS unless the settings ask for plain text.
func secure(listener net.Listener, settings TLS) (net.Listener, error) {
	if settings.PlainText {
		return listener, nil
	}
	source, err := tlsconf.Open(settings.files())
	if err != nil {
		return listener, err
	}
	return tls.NewListener(listener, source.Server()), nil
}

// peerCredentials returns the credentials of both ends of a connection between instances.
func (i *Instance) peerCredentials() (credentials.TransportCredentials, error) {
	settings := i.settings.Peers.TLS
	if settings.PlainText {
		return insecure.NewCredentials(), nil
	}
	source, err := tlsconf.Open(settings.files())
	if err != nil {
		return nil, errors.Wrap(err, "peers.tls")
	}
	return peer.NewCredentials(source), nil
}

// Connections to the platform that are kept without a request.
const (
	platformIdleConns = 8
	platformIdleLimit = 30 * time.Second
)

// platformTransport returns a transport that verifies the platform's certificate with the
// CA of the settings, or with the system's CAs if none is set.
func (i *Instance) platformTransport() (http.RoundTripper, error) {
	settings := backendhttp.Settings{
		Dial: new(net.Dialer).DialContext, MaxIdle: platformIdleConns, IdleLimit: platformIdleLimit, MaxHead: httpbound.MaxHead,
	}
	if i.settings.Platform.CA == "" {
		return backendhttp.NewRoundTripper(settings, nil), nil
	}
	source, err := tlsconf.Open(tlsconf.Files{CA: i.settings.Platform.CA})
	if err != nil {
		return nil, errors.Wrap(err, "platform.ca")
	}
	return backendhttp.NewRoundTripper(settings, source.Dial), nil
}

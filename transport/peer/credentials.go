package peer

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"

	"github.com/basilroute/basilroute/transport/tlsconf"
)

// tlsCredentials gets the certificates from the source for each handshake, so that changed
// files take effect without a restart.
type tlsCredentials struct {
	credentials.TransportCredentials
	source *tlsconf.Source
}

// NewCredentials returns credentials for mutual TLS between instances.
func NewCredentials(source *tlsconf.Source) credentials.TransportCredentials {
	return &tlsCredentials{credentials.NewTLS(source.Server()), source}
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *tlsCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		host = authority
	}
	return credentials.NewTLS(c.source.Client(host)).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (c *tlsCredentials) Clone() credentials.TransportCredentials {
	return &tlsCredentials{c.TransportCredentials.Clone(), c.source}
}

// Package tlsconf builds TLS configurations from certificate files. The files
// are read again when they change: new connections use the new ones, open ones
// go on.
package tlsconf

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files names PEM files.
type Files struct {
	Cert string // certificate chain
	Key  string // private key of the certificate
	CA   string // certificates that the other side's are checked with
}

// recheckAfter bounds how long a changed file goes unnoticed.
const recheckAfter = time.Second

// ErrNoCertificate says that a CA file holds none.
var ErrNoCertificate = errors.New("no certificate in the file")

// Source holds what the files last held. A file that cannot be read while it is
// being replaced leaves the last good content in use. Source is safe for
// concurrent use.
type Source struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	cert    *tls.Certificate
	pool    *x509.CertPool
}

type stamp struct {
	modified time.Time
	size     int64
}

// Open reads the files.
func Open(files Files) (*Source, error) {
	s := &Source{files: files, checked: time.Now(), stamps: stampsOf(files)}
	cert, pool, err := load(files)
	if err != nil {
		return nil, err
	}
	s.cert, s.pool = cert, pool
	return s, nil
}

func load(files Files) (*tls.Certificate, *x509.CertPool, error) {
	var cert *tls.Certificate
	if files.Cert != "" {
		pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return nil, nil, errors.Wrap(err, "certificate")
		}
		cert = &pair
	}
	if files.CA == "" {
		return cert, nil, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, nil, errors.Wrap(err, "CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Wrapf(ErrNoCertificate, "%s", files.CA)
	}
	return cert, pool, nil
}

func stampsOf(files Files) [3]stamp {
	var stamps [3]stamp
	for n, name := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamps[n] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// current returns what the files hold now.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < recheckAfter {
		return s.cert, s.pool
	}
	s.checked = now
	stamps := stampsOf(s.files)
	if stamps == s.stamps {
		return s.cert, s.pool
	}
	if cert, pool, err := load(s.files); err == nil {
		s.cert, s.pool, s.stamps = cert, pool, stamps
	}
	return s.cert, s.pool
}

// Server returns the configuration of a listener. With a CA, the other side has
// to present a certificate that the CA signed.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := s.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, NextProtos: nextProtos(hello)}
			if pool != nil {
				config.ClientCAs, config.ClientAuth = pool, tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// nextProtos keeps the protocols that net/http and grpc speak, since the
// configuration for a client replaces the one that they set up.
func nextProtos(hello *tls.ClientHelloInfo) []string {
	for _, proto := range hello.SupportedProtos {
		if proto == protoHTTP2 {
			return []string{protoHTTP2}
		}
	}
	return nil
}

const protoHTTP2 = "h2"

// Client returns the configuration for one dial to a host. The other side's
// certificate has to be signed by the CA and to name the host.
func (s *Source) Client(host string) *tls.Config {
	cert, pool := s.current()
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: host}
	if cert != nil {
		config.Certificates = []tls.Certificate{*cert}
	}
	return config
}

// Dial connects to an address over TLS, for an HTTP transport.
func (s *Source) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return (&tls.Dialer{Config: s.Client(host)}).DialContext(ctx, network, address)
}

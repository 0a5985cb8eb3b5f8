// Package tlsconf builds TLS configurations from certificate files. Changed files are loaded
// again: new connections use the new certificates, established ones are unaffected.
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
	CA   string // CA certificates that verify the remote side's certificate
}

// recheckInterval is the minimum interval between checks of the files for changes.
const recheckInterval = time.Second

// ErrNoCertificate is returned for a CA file without a certificate.
var ErrNoCertificate = errors.New("no certificate in the file")

// Source holds the certificates last loaded from the files. If a file cannot be loaded, for
// example while it is being replaced, the last valid certificates stay in use. Source is safe
// for concurrent use.
type Source struct {
	files Files

	mu        sync.Mutex
	checkedAt time.Time
	stamps    [3]fileStamp
	cert      *tls.Certificate
	pool      *x509.CertPool
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// Open loads the files.
func Open(files Files) (*Source, error) {
	s := &Source{files: files, checkedAt: time.Now(), stamps: statFiles(files)}
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

func statFiles(files Files) [3]fileStamp {
	var stamps [3]fileStamp
	for n, name := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamps[n] = fileStamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// current returns the current certificates. It loads the files again if they have changed.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checkedAt) < recheckInterval {
		return s.cert, s.pool
	}
	s.checkedAt = now
	stamps := statFiles(s.files)
	if stamps == s.stamps {
		return s.cert, s.pool
	}
	if cert, pool, err := load(s.files); err == nil {
		s.cert, s.pool, s.stamps = cert, pool, stamps
	}
	return s.cert, s.pool
}

// Server returns the configuration of a listener. With a CA, the client has to present a
// certificate that the CA signed.
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

// nextProtos returns HTTP/2 if the client offers it. net/http and grpc set NextProtos on the
// listener's configuration, but the configuration per client replaces that one.
func nextProtos(hello *tls.ClientHelloInfo) []string {
	for _, proto := range hello.SupportedProtos {
		if proto == protoHTTP2 {
			return []string{protoHTTP2}
		}
	}
	return nil
}

const protoHTTP2 = "h2"

// Client returns the configuration for one dial to a host. The server's certificate has to be
// signed by the CA and to be valid for the host.
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

package instance_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/basilroute/basilroute/instance"
	"github.com/basilroute/basilroute/localfleet"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t          *testing.T
	cert       *x509.Certificate
	key        *ecdsa.PrivateKey
	dir        string
	lastSerial int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.cert, a.key = a.sign(&x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, nil)
	a.write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

func (a *authority) sign(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	a.t.Helper()
	a.lastSerial++
	template.SerialNumber, template.Subject = big.NewInt(a.lastSerial), pkix.Name{CommonName: "test"}
	template.NotBefore, template.NotAfter = time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

// write replaces a file by renaming, as operators are advised to do.
func (a *authority) write(name, kind string, der []byte) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		a.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// issue writes a new certificate and returns the files and its serial number.
func (a *authority) issue(name string) (instance.TLS, int64) {
	cert, key := a.sign(&x509.Certificate{
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, a.key)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := instance.TLS{
		Key: a.write(name+".key", "EC PRIVATE KEY", der), Cert: a.write(name+".pem", "CERTIFICATE", cert.Raw),
		CA: filepath.Join(a.dir, "ca.pem"),
	}
	return files, a.lastSerial
}

func (a *authority) client() *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}}
}

func startTLSFleet(t *testing.T, a *authority, files instance.TLS) *fleet {
	t.Helper()
	return startFleet(t, func(s *instance.Settings) {
		s.Peers.TLS = files
		s.Callers.TLS = instance.TLS{Cert: files.Cert, Key: files.Key}
		s.Operator.TLS = instance.TLS{Cert: files.Cert, Key: files.Key}
	}, north(1, 0), localfleet.Domain{Region: "south", Name: "south-1", Instances: 1, Engines: 1})
}

func serial(t *testing.T, client *http.Client, address string) int64 {
	t.Helper()
	resp, err := client.Get("https://" + address + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64()
}

// Certificates are replaced while the fleet runs. A caller's open connection stays; new
// connections of callers, operators and peers use the new certificates, and instances still
// see each other, without a restart.
func TestCertificatesAreReloaded(t *testing.T) {
	a := newAuthority(t)
	files, first := a.issue("instance")
	f := startTLSFleet(t, a, files)
	allConnected := func() bool {
		for _, i := range f.Instances {
			if !i.Ready() || !i.Serves("writer") || len(i.Status().Instances) != 2 {
				return false
			}
		}
		return true
	}
	f.await("the fleet over TLS", allConnected)
	callers, _, operators := f.Instances["north-1-entry-1"].Addresses()
	open := a.client()
	for _, address := range []string{callers, operators} {
		if got := serial(t, open, address); got != first {
			t.Errorf("certificate %d, want %d", got, first)
		}
	}
	_, second := a.issue("instance")
	f.await("the new certificate", func() bool { return serial(t, a.client(), callers) == second })
	if got := serial(t, open, callers); got != first {
		t.Errorf("the open connection was replaced: certificate %d", got)
	}
	if _, err := f.StartInstance(south(1, 0), "south-1-entry-2"); err != nil {
		t.Fatal(err)
	}
	f.await("a new instance in the fleet", func() bool {
		for _, i := range f.Instances {
			if len(i.Status().Instances) != 3 {
				return false
			}
		}
		return true
	})
}

// A client without a certificate of the fleet's authority connects to the peers' address,
// over TLS and in plain text. Neither connection may get as far as the protocol.
func TestPeersNeedACertificate(t *testing.T) {
	a := newAuthority(t)
	files, _ := a.issue("instance")
	f := startTLSFleet(t, a, files)
	_, peers, _ := f.Instances["north-1-entry-1"].Addresses()
	untrusted, key := newAuthority(t).sign(&x509.Certificate{}, nil, nil)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	for _, certificates := range [][]tls.Certificate{nil, {{Certificate: [][]byte{untrusted.Raw}, PrivateKey: key}}} {
		conn, err := tls.Dial("tcp", peers, &tls.Config{RootCAs: pool, Certificates: certificates, NextProtos: []string{"h2"}})
		if err == nil { // in TLS 1.3 the refusal comes with the first read
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		if err == nil {
			t.Error("a client without a certificate of the fleet was accepted")
		}
	}
	plainText := startFleet(t, func(s *instance.Settings) { s.Seeds = []string{peers} }, north(1, 0))
	plainText.await("the plain-text instance", func() bool { return plainText.Instances["north-1-entry-1"].Ready() })
	if n := len(plainText.Instances["north-1-entry-1"].Status().Instances); n != 1 {
		t.Errorf("a plain-text instance sees %d instances", n)
	}
}

// Plain text needs the explicit setting, and peers need a CA.
func TestPlainTextIsExplicit(t *testing.T) {
	const settings = `id: a
region: north
domain: north-1
callers: {listen: '127.0.0.1:1'}
peers: {listen: '127.0.0.1:2', tls: {cert: a, key: b}}
operator: {listen: '127.0.0.1:3', token_sha256: '0000000000000000000000000000000000000000000000000000000000000000'}
platform: {url: 'http://127.0.0.1:4'}
`
	_, err := instance.ParseSettings("a.yaml", []byte(settings))
	const want = "a.yaml:4:1: callers.tls: cert and key are required, or plain_text: true\n" +
		"a.yaml:5:32: peers.tls.ca: is required: instances check each other's certificates\n" +
		"a.yaml:6:1: operator.tls: cert and key are required, or plain_text: true"
	if err == nil || err.Error() != want {
		t.Errorf("%v", err)
	}
}

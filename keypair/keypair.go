// Package keypair provides configurations for mutual TLS between processes. It
// reloads the files when they change, so that keys can be rotated without a
// restart.
package keypair

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"
)

const checkInterval = time.Second

// Pair is a certificate, its key and the certificate authority that signs those of peers.
type Pair struct {
	certFile      string
	keyFile       string
	caFile        string
	mu            sync.Mutex
	lastCheck     time.Time
	loadedModTime time.Time
	cert          *tls.Certificate
	pool          *x509.CertPool
}

// Load reads the certificate, the key and the authority's certificate.
func Load(certFile, keyFile, caFile string) (*Pair, error) {
	p := &Pair{certFile: certFile, keyFile: keyFile, caFile: caFile}
	if err := p.read(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Pair) read() error {
	cert, err := tls.LoadX509KeyPair(p.certFile, p.keyFile)
	if err != nil {
		return fmt.Errorf("load certificate: %w", err)
	}
	ca, err := os.ReadFile(p.caFile)
	if err != nil {
		return fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return fmt.Errorf("load authority: %s contains no certificate", p.caFile)
	}
	p.cert, p.pool, p.loadedModTime = &cert, pool, p.newestModTime()
	return nil
}

func (p *Pair) newestModTime() time.Time {
	var newest time.Time
	for _, name := range []string{p.certFile, p.keyFile, p.caFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the certificates, reloaded at most once per checkInterval. If a file
// cannot be read, such as while it is being replaced, the earlier ones stay in use.
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.lastCheck) > checkInterval {
		p.lastCheck = now
		if p.newestModTime().After(p.loadedModTime) {
			_ = p.read()
		}
	}
	return p.cert, p.pool
}

// ServerConfig returns the configuration of a listener that requires a peer's certificate.
func (p *Pair) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := p.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		}, nil
	}}
}

// PublicServerConfig returns the configuration of a listener that requires no client certificate.
func (p *Pair) PublicServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		cert, _ := p.current()
		return cert, nil
	}}
}

// ClientConfig returns the configuration of a connection to host, an IP address or
// name that the server's certificate must be valid for.
func (p *Pair) ClientConfig(host string) *tls.Config {
	cert, pool := p.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: pool, Certificates: []tls.Certificate{*cert}}
}

// IsLoopback reports whether an address is on this machine and needs no TLS.
func IsLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

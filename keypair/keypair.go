// Package keypair gives TLS configurations for mutual trust between processes.
// The files are read again when they change, so that keys are rotated without
// a restart.
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

const checkEvery = time.Second

// Pair is a certificate, its key and the authority that peers must be signed by.
type Pair struct {
	certFile string
	keyFile  string
	caFile   string
	mu       sync.Mutex
	checked  time.Time
	stamp    time.Time
	cert     *tls.Certificate
	pool     *x509.CertPool
}

// Load reads the three files.
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
		return fmt.Errorf("load authority: %s holds no certificate", p.caFile)
	}
	p.cert, p.pool, p.stamp = &cert, pool, p.changed()
	return nil
}

func (p *Pair) changed() time.Time {
	var newest time.Time
	for _, name := range []string{p.certFile, p.keyFile, p.caFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns what is on disk now. Files that cannot be read, as while
// they are being replaced, leave the earlier ones in use.
func (p *Pair) current() (*tls.Certificate, *x509.CertPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.checked) > checkEvery {
		p.checked = now
		if p.changed().After(p.stamp) {
			_ = p.read()
		}
	}
	return p.cert, p.pool
}

// Server returns the configuration of a listener that only lets peers in.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := p.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
			ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
		}, nil
	}}
}

// Open returns the configuration of a listener that anybody may connect to.
func (p *Pair) Open() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		cert, _ := p.current()
		return cert, nil
	}}
}

// Client returns the configuration of a connection to host, an IP address or
// name that the other side's certificate must hold.
func (p *Pair) Client(host string) *tls.Config {
	cert, pool := p.current()
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: host, RootCAs: pool, Certificates: []tls.Certificate{*cert}}
}

// Loopback tells whether an address stays on this machine and may go without TLS.
func Loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// Package certs implements a small certificate authority for one deployment.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	backdate          = time.Hour
	serialBits        = 120

	authorityCert = "authority.pem"
	authorityKey  = "authority.key"
)

// Authority signs the certificates of hosts.
type Authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Open loads the authority in dir, or creates one.
func Open(dir string) (*Authority, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("create folder: %w", err)
	}
	a := &Authority{dir: dir}
	if _, err := os.Stat(filepath.Join(dir, authorityKey)); errors.Is(err, os.ErrNotExist) {
		return a, a.create()
	}
	return a, a.load()
}

// newKey returns a key and a serial number for its certificate.
func newKey() (*ecdsa.PrivateKey, *big.Int, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("generate key: %w", err)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, fmt.Errorf("generate serial number: %w", err)
	}
	return key, serial, nil
}

func (a *Authority) create() error {
	key, serial, err := newKey()
	if err != nil {
		return err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: "wheelgauge authority"},
		NotBefore: now.Add(-backdate), NotAfter: now.Add(authorityValidity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("sign authority: %w", err)
	}
	a.key = key
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		return fmt.Errorf("parse authority: %w", err)
	}
	return errors.Join(writeKey(filepath.Join(a.dir, authorityKey), key), writeCert(filepath.Join(a.dir, authorityCert), der))
}

func (a *Authority) load() error {
	certPEM, err := os.ReadFile(filepath.Join(a.dir, authorityCert))
	if err != nil {
		return fmt.Errorf("read authority: %w", err)
	}
	keyPEM, err := os.ReadFile(filepath.Join(a.dir, authorityKey))
	if err != nil {
		return fmt.Errorf("read authority: %w", err)
	}
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return errors.New("read authority: no PEM block")
	}
	if a.cert, err = x509.ParseCertificate(certBlock.Bytes); err != nil {
		return fmt.Errorf("parse authority: %w", err)
	}
	if a.key, err = x509.ParseECPrivateKey(keyBlock.Bytes); err != nil {
		return fmt.Errorf("parse authority's key: %w", err)
	}
	return nil
}

// Issue writes NAME.pem and NAME.key, valid for the IP addresses and for the given time.
func (a *Authority) Issue(name string, addresses []string, validity time.Duration) error {
	key, serial, err := newKey()
	if err != nil {
		return err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-backdate), NotAfter: now.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, text := range addresses {
		ip := net.ParseIP(text)
		if ip == nil {
			return fmt.Errorf("%q is not an IP address", text)
		}
		template.IPAddresses = append(template.IPAddresses, ip)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return fmt.Errorf("sign certificate: %w", err)
	}
	return errors.Join(writeKey(filepath.Join(a.dir, name+".key"), key), writeCert(filepath.Join(a.dir, name+".pem"), der))
}

func writeKey(path string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key: %w", err)
	}
	return replaceFile(path, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600)
}

func writeCert(path string, der []byte) error {
	return replaceFile(path, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644)
}

// replaceFile replaces a file atomically, as a process may be reading it.
func replaceFile(path string, data []byte, mode os.FileMode) error {
	if err := os.WriteFile(path+".new", data, mode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("rename %s: %w", path, err)
	}
	return nil
}

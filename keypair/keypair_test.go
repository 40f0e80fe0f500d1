package keypair_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"path/filepath"
	"testing"
	"time"

	"wheelgauge/certs"
	"wheelgauge/keypair"
)

func issue(t *testing.T, dir, name, ip string) *keypair.Pair {
	t.Helper()
	a, err := certs.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Issue(name, []string{ip}, time.Hour); err != nil {
		t.Fatal(err)
	}
	p, err := keypair.Load(filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key"), filepath.Join(dir, "authority.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// handshake connects client to server and sends a byte from the client.
func handshake(t *testing.T, server, client *tls.Config) error {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	served := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer c.Close()
		_, err = c.Read(make([]byte, 1))
		served <- err
	}()
	d := &tls.Dialer{NetDialer: &net.Dialer{Timeout: time.Second}, Config: client}
	c, err := d.DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		_ = l.Close()
		return errors.Join(err, <-served)
	}
	defer c.Close()
	if _, err := c.Write([]byte{1}); err != nil {
		return err
	}
	return <-served
}

func TestTrust(t *testing.T) {
	dir, otherDir := t.TempDir(), t.TempDir()
	a, b := issue(t, dir, "a", "127.0.0.1"), issue(t, dir, "b", "127.0.0.1")
	otherIP := issue(t, dir, "c", "10.9.9.9")
	untrusted := issue(t, otherDir, "d", "127.0.0.1")
	tests := []struct {
		name           string
		server, client *keypair.Pair
		ok             bool
	}{
		{"peers", a, b, true},
		{"a client of another authority", a, untrusted, false},
		{"a server of another authority", untrusted, a, false},
		{"a server at an address that is not its own", otherIP, a, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := handshake(t, tt.server.ServerConfig(), tt.client.ClientConfig("127.0.0.1")); (err == nil) != tt.ok {
				t.Fatalf("unexpected result of the handshake: got %v", err)
			}
		})
	}
	if err := handshake(t, a.ServerConfig(), &tls.Config{InsecureSkipVerify: true}); err == nil {
		t.Fatal("a client without a certificate was accepted")
	}
}

func TestLoopback(t *testing.T) {
	tests := []struct {
		address string
		want    bool
	}{{"127.0.0.1:1", true}, {"127.9.9.9:1", true}, {"[::1]:1", true}, {"10.0.0.1:1", false}, {"0.0.0.0:1", false}, {"x", false}}
	for _, tt := range tests {
		if keypair.IsLoopback(tt.address) != tt.want {
			t.Errorf("%s: want %t", tt.address, tt.want)
		}
	}
}

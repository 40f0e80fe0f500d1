package connpeek

import (
	"net"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (local, remote net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	remote, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	local, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = local.Close() })
	return local, remote
}

func TestGone(t *testing.T) {
	tests := []struct {
		name string
		do   func(local, remote net.Conn) error
		want bool
	}{
		{"open", func(_, _ net.Conn) error { return nil }, false},
		{"bytes wait", func(_, remote net.Conn) error { _, err := remote.Write([]byte("next")); return err }, false},
		{"read deadline over", func(local, _ net.Conn) error { return local.SetReadDeadline(time.Unix(1, 0)) }, false},
		{"closed", func(_, remote net.Conn) error { return remote.Close() }, true},
		{"reset", func(_, remote net.Conn) error {
			if err := remote.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
			return remote.Close()
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			local, remote := pair(t)
			defer remote.Close()
			if err := tt.do(local, remote); err != nil {
				t.Fatal(err)
			}
			got := PeerClosed(local)
			for i := 0; i < 200 && got != tt.want; i++ {
				time.Sleep(5 * time.Millisecond)
				got = PeerClosed(local)
			}
			if got != tt.want {
				t.Fatalf("Gone returned %t, want the opposite", got)
			}
		})
	}
}

func TestAwait(t *testing.T) {
	tests := []struct {
		name string
		do   func(local, remote net.Conn) error
		ok   bool
	}{
		{"bytes wait", func(_, remote net.Conn) error { _, err := remote.Write([]byte("n")); return err }, true},
		{"closed by the peer", func(_, remote net.Conn) error { return remote.Close() }, true},
		{"read deadline over", func(local, _ net.Conn) error { return local.SetReadDeadline(time.Unix(1, 0)) }, false},
		{"closed", func(local, _ net.Conn) error { return local.Close() }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			local, remote := pair(t)
			defer remote.Close()
			if err := tt.do(local, remote); err != nil {
				t.Fatal(err)
			}
			if err := Await(local); (err == nil) != tt.ok {
				t.Fatalf("got %v, want success: %v", err, tt.ok)
			}
			if n, _ := local.Read(make([]byte, 1)); tt.name == "bytes wait" && n != 1 {
				t.Error("Await took the byte")
			}
		})
	}
}

package callerconn

import (
	"net"
	"testing"
	"time"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = near.Close() })
	return near, far
}

func TestGone(t *testing.T) {
	tests := []struct {
		name string
		do   func(near, far net.Conn) error
		want bool
	}{
		{"open", func(_, _ net.Conn) error { return nil }, false},
		{"bytes wait", func(_, far net.Conn) error { _, err := far.Write([]byte("next")); return err }, false},
		{"read deadline over", func(near, _ net.Conn) error { return near.SetReadDeadline(time.Unix(1, 0)) }, false},
		{"closed", func(_, far net.Conn) error { return far.Close() }, true},
		{"reset", func(_, far net.Conn) error {
			if err := far.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			near, far := pair(t)
			defer far.Close()
			if err := tt.do(near, far); err != nil {
				t.Fatal(err)
			}
			got := Gone(near)
			for i := 0; i < 200 && got != tt.want; i++ {
				time.Sleep(5 * time.Millisecond)
				got = Gone(near)
			}
			if got != tt.want {
				t.Fatalf("gone is %t", got)
			}
		})
	}
}

package connclose

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

func TestPeerTellsABreakFromTheEnd(t *testing.T) {
	tests := []struct {
		name string
		end  func(c net.Conn)
		want error
	}{
		{"closed", func(c net.Conn) { _ = c.Close() }, io.EOF},
		{"closed while a reset is set", func(c net.Conn) { ResetOnClose(c, true); _ = c.Close() }, syscall.ECONNRESET},
		{"closed after the reset was unset", func(c net.Conn) { ResetOnClose(c, true); ResetOnClose(c, false); _ = c.Close() }, io.EOF},
		{"reset", Reset, syscall.ECONNRESET},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			peer, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer peer.Close()
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			tt.end(c)
			if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

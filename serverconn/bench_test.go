package serverconn

import (
	"net"
	"testing"
	"time"
)

// BenchmarkExchangeWatch measures what the watch costs an exchange that is over before its first look.
func BenchmarkExchangeWatch(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	w := newExchangeWatch(c, time.Minute)
	for b.Loop() {
		w.start()
		w.stop()
	}
}

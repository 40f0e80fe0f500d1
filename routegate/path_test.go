package routegate

import (
	"bytes"
	"io"
	"net"
	"testing"

	"wheelgauge"
	"wheelgauge/routetable"
)

// terse answers every request without a look at it, and allocates nothing.
func terse(b *testing.B) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := make([]byte, 16<<10)
				for answer := []byte(okAnswer); untilBlank(c, in) == nil; {
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return &backend{conn: l}
}

// untilBlank reads what ends with an empty line, as requests without a body do.
func untilBlank(c io.Reader, in []byte) error {
	for n := 0; ; {
		m, err := c.Read(in[n:])
		if err != nil {
			return err
		}
		n += m
		if bytes.HasSuffix(in[:n], []byte("\r\n\r\n")) {
			return nil
		}
	}
}

// BenchmarkServe measures the path of a request from the caller's first byte to the last
// on kept connections, with key and cap: 36 to 44 us and 75 allocations, a third of the
// time in system calls, an eighth in allocating.
func BenchmarkServe(b *testing.B) {
	g, c := newGate(b, routes(), terse(b))
	l := &limiter{left: b.N + 1}
	g.options.Caps = l
	g.SetTable(routetable.New(&wheelgauge.RouteSet{
		Version: 2, Routes: routes(), Services: []wheelgauge.Service{{Name: "s", Conns: 100}},
		Workspaces: []wheelgauge.Workspace{{Name: "capped", Keys: []string{"capped-key"}, Cap: wheelgauge.Cap{Rate: 1, Burst: 1, Unit: wheelgauge.CapTokens}}},
	}))
	g.Confirm()
	request := []byte("GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nWheelgauge-Key: capped-key\r\nWheelgauge-Tokens: 900,100\r\n\r\n")
	answer := make([]byte, 4<<10)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		n, err := c.Read(answer)
		for err == nil && !bytes.HasSuffix(answer[:n], []byte("\r\n\r\nok")) {
			var m int
			m, err = c.Read(answer[n:])
			n += m
		}
		if err != nil || !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) {
			b.Fatalf("%v: %q", err, answer[:n])
		}
	}
}

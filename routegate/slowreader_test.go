package routegate

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/callerhttp"
)

// endlessStream is a stream that never ends.
type endlessStream struct {
	sent  atomic.Int64
	ended chan error
}

func (f *endlessStream) serve(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = c.Write([]byte(streamHead))
	for n := 0; ; n++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 4000))
		sent, err := c.Write([]byte(chunk(event)))
		f.sent.Add(int64(sent))
		if err != nil {
			f.ended <- err
			return
		}
	}
}

// A caller that takes nothing of a stream is cut off, while others are served.
func TestCallerThatDoesNotRead(t *testing.T) {
	f := &endlessStream{ended: make(chan error, 1)}
	slow := &backend{conn: listen(t, f.serve)}
	g, quick := newGate(t, routes(), slow)
	s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: g.Serve, Conns: 8, Unread: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close(t.Context()) })
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprint(c, "GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if resp, _, err := get(t, quick, "/none/", ""); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("another caller got %v, %v", resp, err)
	}
	select {
	case <-f.ended:
	case <-time.After(testLimit):
		t.Fatal("the server is still held up")
	}
	for end := time.Now().Add(testLimit); counterValue(t, g, "answers.unread") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it is not counted")
		}
	}
	if got := counterValue(t, g, "requests.ok"); got != 0 {
		t.Errorf("%d requests count as served", got)
	}
	// What is on the way is in the buffers of two connections.
	if sent := f.sent.Load(); sent > 16<<20 {
		t.Errorf("the server sent %d bytes to a caller that took none", sent)
	}
}

// counterValue reads one of the gate's counters.
func counterValue(t *testing.T, g *Gate, name string) int {
	t.Helper()
	var out bytes.Buffer
	g.options.Meter.WriteJSON(&out)
	var all map[string]struct {
		Count int `json:"count"`
	}
	if err := json.Unmarshal(out.Bytes(), &all); err != nil {
		t.Fatal(err)
	}
	return all[name].Count
}

const (
	// slowStreams is how many callers read nothing at once.
	slowStreams = 40
	// slowLimit bounds the time until all are held up, with their sockets' buffers full.
	slowLimit = 2 * time.Minute
)

// Streams that nobody reads hold no more memory than connections are counted by.
func TestMemoryOfSlowReaders(t *testing.T) {
	f := &endlessStream{ended: make(chan error, 2*slowStreams)}
	server := &backend{conn: listen(t, f.serve)}
	g, _ := newGate(t, routes(), server)
	s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: g.Serve, Conns: slowStreams, Unread: slowLimit})
	if err != nil {
		t.Fatal(err)
	}
	baseline := f.memoryPerStream(t, server.conn.Addr().String())
	perStream := f.memoryPerStream(t, s.Address()) - baseline
	t.Logf("%d kB a stream, and %d kB of the stand-in", perStream>>10, baseline>>10)
	if perStream > wheelgauge.SlowConnBytes {
		t.Errorf("a stream that nobody reads holds %d bytes, want %d at most", perStream, wheelgauge.SlowConnBytes)
	}
	_ = s.Close(t.Context())
}

// memoryPerStream asks an address for streams, reads none, and returns the memory that each holds when
// all are held up.
func (f *endlessStream) memoryPerStream(t *testing.T, address string) int {
	t.Helper()
	before, from := settledMemory(t), f.sent.Load()
	for range slowStreams {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := fmt.Fprint(c, "GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	until := time.Now().Add(slowLimit)
	for sent, last := int64(-1), from; sent != last || last == from; time.Sleep(500 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not all streams are held up: %d bytes sent", last-from)
		}
		sent, last = last, f.sent.Load()
	}
	return int(memoryInUse()-before) / slowStreams
}

// settledMemory returns the memory in use once it falls no more: what earlier tests held goes first.
func settledMemory(t *testing.T) uint64 {
	t.Helper()
	const tolerance = 64 << 10
	last := memoryInUse()
	for until := time.Now().Add(slowLimit); time.Now().Before(until); {
		time.Sleep(100 * time.Millisecond)
		now := memoryInUse()
		if now+tolerance >= last {
			return now
		}
		last = now
	}
	t.Fatal("the memory in use still falls")
	return 0
}

// memoryInUse returns the memory in use, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

package routegate

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// endlessStream is a server whose streams never end.
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

// A caller that reads nothing of its stream is disconnected once its time is over, while others are
// served.
func TestCallerThatDoesNotRead(t *testing.T) {
	f := &endlessStream{ended: make(chan error, 1)}
	slow := &backend{conn: listen(t, f.serve)}
	g, quick := newGate(t, routes(), slow)
	s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: g.Serve, MaxConns: 8, WriteTimeout: slowLimit})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close(t.Context()) })
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := fmt.Fprint(c, "GET /stream/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nWheelgauge-Deadline-Ms: 4000\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if resp, _, err := get(t, quick, "/none/", ""); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("another caller got %v, %v, want 404", resp, err)
	}
	select {
	case <-f.ended:
	case <-time.After(testLimit):
		t.Fatal("the server is still blocked writing")
	}
	for end := time.Now().Add(testLimit); counterValue(t, g, "answers.unread") == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("answers.unread is still 0")
		}
	}
	if got := counterValue(t, g, "requests.ok"); got != 0 {
		t.Errorf("%d requests count as ok, want none", got)
	}
	// Bytes in transit are limited by the buffers of two connections.
	if sent := f.sent.Load(); sent > 16<<20 {
		t.Errorf("the server sent %d bytes to a caller that reads none, want 16 MB at most", sent)
	}
}

// restingServer answers each request with an answer or a stream of largeAnswer bytes.
func restingServer(c net.Conn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	event := "data: " + strings.Repeat("x", 4088) + "\n\n"
	head, part, end := streamHead, chunk(event), "0\r\n\r\n"
	if !strings.HasPrefix(req.URL.Path, "/stream/") {
		head, part, end = fmt.Sprintf("HTTP/1.1 200 OK\r\n"+signatureHeader+"Content-Length: %d\r\n\r\n", largeAnswer), event, ""
	}
	_, err = io.WriteString(c, head)
	for range largeAnswer / len(event) {
		if err == nil {
			_, err = io.WriteString(c, part)
		}
	}
	_, _ = io.WriteString(c, end)
}

// routesWith returns routes with that objective for the first byte, and all the time that a test takes.
func routesWith(objective time.Duration) []wheelgauge.PathRoute {
	table := routes()
	for n := range table {
		table[n].Timeout, table[n].LatencyObjective = slowLimit, objective
	}
	return table
}

// largeAnswer does not fit in the buffers of the connections to a caller that does not read; it is
// a multiple of the size of events.
const largeAnswer = 8 << 20

// A caller that rests while it reads, and has time left, gets its whole answer.
func TestCallerThatRestsGetsItsAnswer(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			server := &backend{conn: listen(t, restingServer)}
			g, _ := newGate(t, routesWith(0), server)
			s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: g.Serve, MaxConns: 8, WriteTimeout: 100 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.Close(t.Context()) })
			c, err := net.Dial("tcp", s.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n", path); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != largeAnswer {
				t.Errorf("got %d bytes, %v, want all %d", n, err, largeAnswer)
			}
		})
	}
}

// A caller that rested while it read is not taken for a slow server: the next request is not refused
// for a wait that nobody has.
func TestRestingCallerDoesNotSlowItsServer(t *testing.T) {
	for _, path := range []string{"/once/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			server := &backend{conn: listen(t, restingServer)}
			_, c := newGate(t, routesWith(time.Second), server)
			if err := c.SetDeadline(time.Now().Add(slowLimit)); err != nil {
				t.Fatal(err)
			}
			for n, rest := range []time.Duration{4 * time.Second, 0, 0} {
				if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\n\r\n", path, n); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReaderSize(c, 1), nil)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(rest)
				got, err := io.Copy(io.Discard, resp.Body)
				if err != nil || got != largeAnswer {
					t.Fatalf("request %d: got %d, %d bytes, %v, want all %d", n, resp.StatusCode, got, err, largeAnswer)
				}
			}
		})
	}
}

// counterValue reads one of the counters of the gate.
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
	// slowStreams is the number of callers that read nothing.
	slowStreams = 40
	// slowLimit bounds the time until all streams are blocked, with the buffers of their
	// sockets full.
	slowLimit = 2 * time.Minute
)

// A stream that its caller does not read uses no more memory than MaxSlowConnBytes, by which
// connections are limited.
func TestMemoryOfSlowReaders(t *testing.T) {
	f := &endlessStream{ended: make(chan error, 2*slowStreams)}
	server := &backend{conn: listen(t, f.serve)}
	g, _ := newGate(t, routesWith(0), server)
	s, err := callerhttp.Listen("127.0.0.1:0", callerhttp.Options{Limits: g.Limits, Serve: g.Serve, MaxConns: slowStreams, WriteTimeout: slowLimit})
	if err != nil {
		t.Fatal(err)
	}
	baseline := f.memoryPerStream(t, server.conn.Addr().String())
	perStream := f.memoryPerStream(t, s.Address()) - baseline
	t.Logf("%d kB per stream, and %d kB for the server of the test", perStream>>10, baseline>>10)
	if perStream > wheelgauge.MaxSlowConnBytes {
		t.Errorf("an unread stream uses %d bytes, want %d at most", perStream, wheelgauge.MaxSlowConnBytes)
	}
	_ = s.Close(t.Context())
}

// memoryPerStream opens streams at an address, reads none of them, and returns the memory that
// each uses once all are blocked.
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
			t.Fatalf("not all streams are blocked: %d bytes sent", last-from)
		}
		sent, last = last, f.sent.Load()
	}
	return int(memoryInUse()-before) / slowStreams
}

// settledMemory returns the memory in use once it no longer falls, after that of earlier tests
// has been freed.
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
	t.Fatal("the memory in use is still falling")
	return 0
}

// memoryInUse returns the heap and stack memory in use, in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

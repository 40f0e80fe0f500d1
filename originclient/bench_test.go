package originclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"wheelgauge"
	"wheelgauge/countconn"
	"wheelgauge/httpserve"
	"wheelgauge/meter"
	"wheelgauge/peerhttp"
	"wheelgauge/streamorigin"
)

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRecord measures what one stream costs while its service has several versions, at the host
// and the store together, and its bytes on the wire without those of TCP and IP; and what it costs
// with one version.
func BenchmarkRecord(b *testing.B) {
	for _, sole := range []bool{false, true} {
		b.Run(fmt.Sprintf("sole_%v", sole), func(b *testing.B) {
			at := time.Unix(1000, 0)
			now := func() time.Time { return at }
			held := streamorigin.New(1<<17, now)
			server, err := httpserve.Listen("127.0.0.1:0", func(ctx *fasthttp.RequestCtx) {
				peerhttp.Serve(ctx, func(req wheelgauge.StreamOriginsRequest) (wheelgauge.StreamOriginsResponse, error) {
					held.Add(req.Origins...)
					return wheelgauge.StreamOriginsResponse{StoreBoot: 1 << 60}, nil
				})
			}, httpserve.Options{})
			if err != nil {
				b.Fatal(err)
			}
			var bytes, messages atomic.Int64
			count := func(n int64) { bytes.Add(n) }
			client := peerhttp.NewClient(peerhttp.NewDialer("", nil).WrapConns(func(c net.Conn) net.Conn { return countconn.New(c, count, count) }), "")
			c := New(Options{
				Stores: func() []wheelgauge.StoreEndpoint {
					return []wheelgauge.StoreEndpoint{{Address: server.Address(), SameRegion: true}}
				},
				Sole: func(string, time.Duration) (string, bool) { return "v1.1", sole },
				Request: func(ctx context.Context, address string, req wheelgauge.StreamOriginsRequest) (resp wheelgauge.StreamOriginsResponse, err error) {
					defer messages.Add(1)
					err = client.Call(ctx, http.MethodPost, address, Path, req, &resp)
					return resp, err
				},
				Now: now, Meter: meter.New(), Log: logr.Discard(),
			})
			n, began := 0, processorTime(b)
			for b.Loop() {
				sent := messages.Load()
				c.Record(wheelgauge.StreamOrigin{Key: wheelgauge.NewStreamKey(fmt.Sprint(n)), Service: "gauge-llm", Version: "v1.1", TTLMS: 22_000}, true)
				for !sole && messages.Load() == sent {
					time.Sleep(50 * time.Microsecond) // one stream a message, as at the rates of a host
				}
				if n++; n%256 == 0 {
					at = at.Add(time.Second)
					c.Tick()
				}
			}
			b.ReportMetric(float64((processorTime(b)-began).Nanoseconds())/float64(n)/1000, "cpu-us/stream")
			b.ReportMetric(float64(bytes.Load())/float64(n), "B/stream")
			c.Close()
			client.CloseIdle()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, _ = httpserve.CloseAll(ctx, []*httpserve.Server{server})
		})
	}
}

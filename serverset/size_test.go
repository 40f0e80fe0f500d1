package serverset

import (
	"fmt"
	"runtime"
	"testing"

	"wheelgauge"
)

func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkSize measures the live bytes of each server, and the time to take an unchanged list.
func BenchmarkSize(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count, " servers"), func(b *testing.B) {
			tb, c, _ := newTestTable(plain, 0)
			empty := liveBytes()
			list := make([]wheelgauge.Server, count)
			for i := range list {
				list[i] = wheelgauge.Server{
					Instance: fmt.Sprintf("i-%010x", i), Service: plain, Version: "v1", Address: fmt.Sprintf("10.%d.%d.%d:8202", i>>16, i>>8&255, i&255),
					Hall: "h", Region: "r", Slots: 64,
				}
			}
			listed := liveBytes()
			tb.replaceList(list, c.at)
			own := liveBytes()
			tb.setRemoteServers(list)
			others := liveBytes()
			for b.Loop() {
				tb.replaceList(list, c.at)
			}
			b.ReportMetric((listed-empty)/float64(count), "B/listed")
			b.ReportMetric((own-listed)/float64(count), "B/own")
			b.ReportMetric((others-own)/float64(count), "B/other")
			runtime.KeepAlive(tb)
		})
	}
}

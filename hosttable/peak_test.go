package hosttable

import (
	"testing"
	"time"

	"wheelgauge"
)

func TestPeak(t *testing.T) {
	var p peak
	at := time.Unix(1000, 0)
	steps := []struct {
		passed  time.Duration
		running int
		want    int
	}{
		{0, 10, 10},
		{time.Second, 50, 50},
		{time.Second, 5, 50},
		{peakWindow, 5, 50},
		{peakWindow, 5, 5},
		{time.Second, 7, 7},
	}
	for i, s := range steps {
		at = at.Add(s.passed)
		p = p.update(map[string]wheelgauge.ServiceUse{"s": {Running: s.running}}, at)
		if p.highest() != s.want {
			t.Errorf("step %d: peak %d, want %d", i, p.highest(), s.want)
		}
	}
}

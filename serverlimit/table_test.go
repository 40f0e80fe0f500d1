package serverlimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
)

func ExampleParse() {
	for _, text := range []string{"1.5", " 0 ", "", "-1", "NaN", "many"} {
		rate, ok := Parse(text)
		fmt.Println(rate, ok)
	}
	// Output:
	// 1.5 true
	// 0 true
	// 0 false
	// 0 false
	// 0 false
	// 0 false
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"2.5", "1e9", "+Inf", "0x1p-2", "1,5", "_"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if rate, ok := Parse(text); ok && (rate < 0 || rate > math.MaxFloat64 || rate != rate) {
			t.Errorf("%q is parsed as %v", text, rate)
		}
	})
}

// A limit holds from the first answer that names it until an answer to a later request lacks
// it.
func TestLimitStartAndEnd(t *testing.T) {
	c := manualclock.New()
	tb := New(c.Now)
	before := c.Now()
	c.Advance(time.Second)
	if !tb.ObserveLimit("s", 2) || tb.ObserveLimit("s", 2) || !tb.ObserveLimit("s", 0.5) {
		t.Error("a limit must be new when it is named first or changes, and only then")
	}
	if tb.ObserveNoLimit("s", before) {
		t.Error("an answer to a request from before the limit ended it")
	}
	if rate, ok := tb.Rate("s"); !ok || rate != 0.5 {
		t.Errorf("limit is %v, %v, want 0.5, true", rate, ok)
	}
	c.Advance(time.Second)
	if !tb.ObserveNoLimit("s", c.Now()) || tb.ObserveNoLimit("s", c.Now()) {
		t.Error("a limit must end exactly once")
	}
	if _, ok := tb.Rate("s"); ok {
		t.Error("the limit has not ended")
	}
}

// The latest observation holds, whoever made it; only changes are sent on.
func TestMerge(t *testing.T) {
	type limit = wheelgauge.ServerLimit
	tests := []struct {
		name string
		// own is a limit observed here a second ago; none below 0.
		local  float64
		report limit
		rate   float64
		named  bool
	}{
		{"no entry here", -1, limit{Server: "s", Rate: 3, AgeMS: 500}, 3, true},
		{"no entry here, and no limit there", -1, limit{Server: "s", Removed: true}, 0, false},
		{"later", 2, limit{Server: "s", Rate: 3, AgeMS: 500}, 3, true},
		{"earlier", 2, limit{Server: "s", Rate: 3, AgeMS: 1500}, 2, true},
		{"the limit ended later", 2, limit{Server: "s", Removed: true, AgeMS: 500}, 0, false},
		{"the limit ended earlier", 2, limit{Server: "s", Removed: true, AgeMS: 1500}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := manualclock.New()
			tb := New(c.Now)
			if tt.local >= 0 {
				tb.ObserveLimit("s", tt.local)
			}
			local, last := tb.LocalSince(0)
			c.Advance(time.Second)
			tb.Merge([]limit{tt.report})
			if rate, ok := tb.Rate("s"); rate != tt.rate || ok != tt.named || tb.Limited()["s"] != tt.named {
				t.Errorf("limit is %v, %v, want %v, %v", rate, ok, tt.rate, tt.named)
			}
			if (len(local) > 0) != (tt.local >= 0) {
				t.Errorf("local entries: %v", local)
			}
			if again, _ := tb.LocalSince(last); len(again) > 0 {
				t.Errorf("entries from others are reported as local: %v", again)
			}
		})
	}
}

// A large report is split, with each entry sent once, and again when it changes.
func TestSince(t *testing.T) {
	c := manualclock.New()
	tb := New(c.Now)
	for n := range maxPerReport + 10 {
		tb.ObserveLimit(fmt.Sprint("s", n), 1)
	}
	first, at := tb.Since(0)
	second, last := tb.Since(at)
	if len(first) != maxPerReport || len(second) != 10 {
		t.Errorf("reported %d entries, then %d", len(first), len(second))
	}
	tb.ObserveLimit("s3", 1)
	tb.ObserveLimit("s4", 2)
	if third, _ := tb.Since(last); len(third) != 1 || third[0].Server != "s4" || third[0].Rate != 2 {
		t.Errorf("reported %v after one change", third)
	}
	c.Advance(2 * entryTTL)
	tb.Prune()
	if len(tb.entries) != 0 {
		t.Error("expired entries are kept")
	}
}

// A limit that hosts and stores exchange again and again ends with the first answer that lacks
// it. If each exchange moved the time of observation forward by its latency, that time would
// follow the present, and an answer to an earlier request would not end the limit.
func TestRepeatedExchange(t *testing.T) {
	const latency = 3 * time.Millisecond
	c := manualclock.New()
	host, store := New(c.Now), New(c.Now)
	host.ObserveLimit("s", 2)
	c.Advance(time.Second)
	sent := c.Now()
	for range 500 {
		limit := host.Get("s")
		c.Advance(latency)
		store.Merge([]wheelgauge.ServerLimit{limit})
		limit = store.Get("s")
		c.Advance(latency)
		host.Merge([]wheelgauge.ServerLimit{limit})
	}
	if !host.ObserveNoLimit("s", sent) {
		t.Error("an answer without the limit does not end it")
	}
}

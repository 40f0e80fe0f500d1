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
			t.Errorf("%q is read as %v", text, rate)
		}
	})
}

// A limit holds from the first answer that names it until an answer to a request sent
// after that lacks it.
func TestLimitStartAndEnd(t *testing.T) {
	c := manualclock.New()
	tb := New(c.Now)
	before := c.Now()
	c.Pass(time.Second)
	if !tb.Named("s", 2) || tb.Named("s", 2) || !tb.Named("s", 0.5) {
		t.Error("a limit is new when it is named first or changes")
	}
	if tb.Absent("s", before) {
		t.Error("an answer to a request of before the limit ended it")
	}
	if rate, ok := tb.Rate("s"); !ok || rate != 0.5 {
		t.Errorf("the limit is %v, %v", rate, ok)
	}
	c.Pass(time.Second)
	if !tb.Absent("s", c.Now()) || tb.Absent("s", c.Now()) {
		t.Error("a limit ends once")
	}
	if _, ok := tb.Rate("s"); ok {
		t.Error("the limit has not ended")
	}
}

// The latest word holds, whoever heard it; what is told on is what changed.
func TestMerge(t *testing.T) {
	type told = wheelgauge.ServerLimit
	tests := []struct {
		name string
		// own is a limit heard here a second ago; none below 0.
		own   float64
		news  told
		rate  float64
		named bool
	}{
		{"nothing is known here", -1, told{Server: "s", Rate: 3, AgeMS: 500}, 3, true},
		{"nothing is known here, and no limit there", -1, told{Server: "s", None: true}, 0, false},
		{"later", 2, told{Server: "s", Rate: 3, AgeMS: 500}, 3, true},
		{"earlier", 2, told{Server: "s", Rate: 3, AgeMS: 1500}, 2, true},
		{"it ended later", 2, told{Server: "s", None: true, AgeMS: 500}, 0, false},
		{"it ended earlier", 2, told{Server: "s", None: true, AgeMS: 1500}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := manualclock.New()
			tb := New(c.Now)
			if tt.own >= 0 {
				tb.Named("s", tt.own)
			}
			heard, last := tb.Heard(0)
			c.Pass(time.Second)
			tb.Merge([]told{tt.news})
			if rate, ok := tb.Rate("s"); rate != tt.rate || ok != tt.named || tb.Limited()["s"] != tt.named {
				t.Errorf("the limit is %v, %v, want %v, %v", rate, ok, tt.rate, tt.named)
			}
			if (len(heard) > 0) != (tt.own >= 0) {
				t.Errorf("heard here: %v", heard)
			}
			if again, _ := tb.Heard(last); len(again) > 0 {
				t.Errorf("what others heard is told as heard here: %v", again)
			}
		})
	}
}

// Much is told in parts, each word once, and again when it changes.
func TestSince(t *testing.T) {
	c := manualclock.New()
	tb := New(c.Now)
	for n := range maxPerReport + 10 {
		tb.Named(fmt.Sprint("s", n), 1)
	}
	first, at := tb.Since(0)
	second, last := tb.Since(at)
	if len(first) != maxPerReport || len(second) != 10 {
		t.Errorf("told %d, then %d", len(first), len(second))
	}
	tb.Named("s3", 1)
	tb.Named("s4", 2)
	if third, _ := tb.Since(last); len(third) != 1 || third[0].Server != "s4" || third[0].Rate != 2 {
		t.Errorf("told %v of one that changed", third)
	}
	c.Pass(2 * entryTTL)
	tb.Prune()
	if len(tb.entries) != 0 {
		t.Error("words are kept that nobody heard for long")
	}
}

// A limit that hosts and stores tell each other again and again ends with the first answer
// that lacks it. Each telling made it later by the way, up to now, so that answers to
// requests sent before now ended nothing: found by reading, seen here.
func TestRepeatedExchange(t *testing.T) {
	const way = 3 * time.Millisecond
	c := manualclock.New()
	host, store := New(c.Now), New(c.Now)
	host.Named("s", 2)
	c.Pass(time.Second)
	sent := c.Now()
	for range 500 {
		word := host.Get("s")
		c.Pass(way)
		store.Merge([]wheelgauge.ServerLimit{word})
		word = store.Get("s")
		c.Pass(way)
		host.Merge([]wheelgauge.ServerLimit{word})
	}
	if !host.Absent("s", sent) {
		t.Error("an answer without the limit does not end it")
	}
}

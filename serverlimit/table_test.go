package serverlimit

import (
	"fmt"
	"math"
	"testing"
	"time"
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time       { return c.at }
func (c *clock) pass(d time.Duration) { c.at = c.at.Add(d) }

func newClock() *clock { return &clock{at: time.Unix(1000, 0)} }

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
func TestWords(t *testing.T) {
	c := newClock()
	tb := New(c.now)
	before := c.now()
	c.pass(time.Second)
	if !tb.Named("s", 2) || tb.Named("s", 2) || !tb.Named("s", 0.5) {
		t.Error("a limit is new when it is named first or changes")
	}
	if tb.Absent("s", before) {
		t.Error("an answer to a request of before the limit ended it")
	}
	if rate, ok := tb.Rate("s"); !ok || rate != 0.5 {
		t.Errorf("the limit is %v, %v", rate, ok)
	}
	c.pass(time.Second)
	if !tb.Absent("s", c.now()) || tb.Absent("s", c.now()) {
		t.Error("a limit ends once")
	}
	if _, ok := tb.Rate("s"); ok {
		t.Error("the limit has not ended")
	}
}

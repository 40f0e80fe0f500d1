package failurerate

import (
	"fmt"
	"testing"
	"time"
)

func ExampleRate() {
	var r Rate
	at := time.Unix(1000, 0)
	for range 4 {
		r.Add(true, at)
	}
	fmt.Printf("%.2f %s\n", r.At(at), r.Cost(at).Round(time.Millisecond))
	fmt.Printf("%.2f\n", r.At(at.Add(HalfLife)))
	// Output:
	// 0.48 492ms
	// 0.24
}

func TestSomeFailuresCostNothing(t *testing.T) {
	var r Rate
	at := time.Unix(1000, 0)
	r.Add(true, at)
	if cost := r.Cost(at); cost != 0 {
		t.Errorf("one failure costs %s, want nothing", cost)
	}
	for range 100 {
		r.Add(false, at)
	}
	if rate := r.At(at); rate > 0.01 {
		t.Errorf("got a rate of %f after 100 answers, want none", rate)
	}
}

func TestFailureRate(t *testing.T) {
	at := time.Unix(1000, 0)
	var r Rate
	// A rate without outcomes has the zero time as its last one.
	if got := r.At(at); got != 0 {
		t.Errorf("failure rate without outcomes is %f, want 0", got)
	}
	for range 40 {
		r.Add(true, at)
	}
	if got := r.At(at); got < 0.95 {
		t.Errorf("failure rate after 40 failures is %f, want at least 0.95", got)
	}
	at = at.Add(HalfLife)
	if got := r.At(at); got < 0.45 || got > 0.55 {
		t.Errorf("failure rate after its half-life is %f, want 0.45 to 0.55", got)
	}
}

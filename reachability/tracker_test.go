package reachability

import (
	"fmt"
	"testing"
	"time"
)

func ExampleTracker() {
	t := New(time.Now)
	for _, server := range []string{"a", "b", "c"} {
		t.Failed("lm", server, 12)
	}
	fmt.Println(t.MayTake("lm"))
	// Output: false
}

func TestOneServerThatIsDownIsNoCut(t *testing.T) {
	type try struct {
		after  time.Duration
		server string // empty: a server answered; none: no try
	}
	fails := func(servers ...string) (out []try) {
		for _, s := range servers {
			out = append(out, try{0, s})
		}
		return out
	}
	tests := []struct {
		name   string
		listed int
		tries  []try
		want   bool // out of reach
	}{
		{"nothing tried", 12, nil, false},
		{"one server fails often", 12, fails("a", "a", "a", "a", "a"), false},
		{"two of twelve fail", 12, fails("a", "b", "a", "b"), false},
		{"three of twelve fail", 12, fails("a", "b", "c"), true},
		{"an answer between", 12, append(fails("a", "b"), append([]try{{0, ""}}, fails("c", "d")...)...), false},
		{"long between", 12, append(fails("a", "b"), try{failureWindow + 1, "c"}), false},
		{"two of two fail", 2, fails("a", "b", "a"), true},
		{"two of two fail once", 2, fails("a", "b"), false},
		{"the only server fails", 1, fails("a", "a", "a"), true},
		{"no try for long afterwards", 12, append(fails("a", "b", "c"), try{forgetAfter + 1, "none"}), false},
		{"an answer afterwards", 12, append(fails("a", "b", "c"), try{time.Second, ""}), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at := time.Unix(1000, 0)
			tr := New(func() time.Time { return at })
			for _, try := range tt.tries {
				at = at.Add(try.after)
				switch try.server {
				case "":
					tr.Reached("lm")
					continue
				case "none":
					continue
				}
				tr.Failed("lm", try.server, tt.listed)
			}
			if got := len(tr.OutOfReach()) > 0; got != tt.want || got != tr.IsOutOfReach("lm") {
				t.Errorf("out of reach: %v, want %v", got, tt.want)
			}
			if !tr.MayTry("app") || !tr.MayTake("app") {
				t.Error("another service counts as out of reach")
			}
		})
	}
}

func TestReturnAfterACutIsARampThatEnds(t *testing.T) {
	at := time.Unix(1000, 0)
	tr := New(func() time.Time { return at })
	for _, server := range []string{"a", "b", "c"} {
		tr.Failed("lm", server, 12)
	}
	taken := func() (n int) {
		for range 100 {
			if tr.MayTake("lm") {
				n++
			}
		}
		return n
	}
	if n := taken(); n != 0 {
		t.Errorf("took %d of 100 forwarded requests while cut off, want none", n)
	}
	probes := 0
	for range 100 {
		at = at.Add(probeInterval / 10)
		if tr.MayTry("lm") {
			probes++
			tr.Failed("lm", "a", 12)
		}
	}
	if probes != 10 {
		t.Errorf("got %d probes in ten intervals, want 10", probes)
	}
	if !tr.Reached("lm") || tr.Reached("lm") {
		t.Error("the end of the cut is reported otherwise than once")
	}
	steps := []struct {
		after       time.Duration
		least, most int
	}{{0, 0, 0}, {rampTime / 4, 10, 30}, {rampTime / 4, 30, 55}, {rampTime / 2, 100, 100}}
	for _, s := range steps {
		at = at.Add(s.after)
		if n := taken(); n < s.least || n > s.most {
			t.Errorf("took %d of 100 forwarded requests %s later, want %d to %d", n, s.after, s.least, s.most)
		}
	}
}

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

func TestSilentRegionIsOutOfReach(t *testing.T) {
	type step struct {
		after time.Duration
		do    string // what happens then: sent, held (sent and not to be sent again), received, await, end
		n     int    // number of the request, also of its server
	}
	sent := func(n ...int) (out []step) {
		for _, i := range n {
			out = append(out, step{0, "sent", i})
		}
		return out
	}
	const second = time.Second
	tests := []struct {
		name     string
		listed   int
		expected time.Duration
		steps    []step
		want     bool // out of reach 2 s after the first step
		aborted  int
	}{
		{"nothing is sent", 12, 0, nil, false, 0},
		{"three of twelve servers are silent", 12, 0, sent(1, 2, 3), true, 3},
		{"two of twelve servers are silent", 12, 0, sent(1, 2), false, 0},
		{"all of two servers are silent", 2, 0, append(sent(1, 2), sent(1)...), true, 3},
		{"one of the three answers", 12, 0, append(sent(1, 2, 3), step{second, "received", 1}), false, 0},
		{"another server answers", 12, 0, append(sent(1, 2, 3, 4), step{second, "received", 4}), false, 0},
		{"an answer, then silence", 12, 0, append(sent(1, 2, 3), step{0, "received", 1}, step{0, "await", 1}), true, 3},
		{"an answer whose caller does not read", 12, 0, append(sent(1, 2, 3), step{0, "received", 1}), false, 0},
		{"one has ended", 12, 0, append(sent(1, 2, 3), step{second, "end", 1}), false, 0},
		{"longer waits are expected", 12, second, sent(1, 2, 3), false, 0},
		{"requests that cannot be sent again", 12, 0, append(sent(1, 2), step{0, "held", 3}), true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at, aborted := time.Unix(1000, 0), 0
			tr := New(func() time.Time { return at })
			run := func(d time.Duration) {
				for range d / (100 * time.Millisecond) {
					at = at.Add(100 * time.Millisecond)
					tr.AbortSilent()
				}
			}
			run(100 * time.Millisecond)
			sends, left := map[int]*Send{}, 2*time.Second
			for _, s := range tt.steps {
				run(s.after)
				left -= s.after
				switch s.do {
				case "sent":
					sends[s.n] = tr.Sent("lm", fmt.Sprint(s.n), tt.listed, tt.expected, func() { aborted++ })
				case "held":
					sends[s.n] = tr.Sent("lm", fmt.Sprint(s.n), tt.listed, tt.expected, nil)
				case "received":
					sends[s.n].Received()
				case "await":
					sends[s.n].Await()
				case "end":
					sends[s.n].End()
				}
			}
			run(left)
			if got := tr.IsOutOfReach("lm"); got != tt.want || aborted != tt.aborted {
				t.Errorf("out of reach: %v, %d requests aborted; want %v, %d", got, aborted, tt.want, tt.aborted)
			}
		})
	}
}

// A host that was stopped has not read what arrived meanwhile: its servers are not silent.
func TestStoppedHostTakesNoServerForSilent(t *testing.T) {
	at := time.Unix(1000, 0)
	tr := New(func() time.Time { return at })
	tr.AbortSilent()
	for _, server := range []string{"a", "b", "c"} {
		tr.Sent("lm", server, 12, 0, func() { t.Error("a request is aborted") })
	}
	at = at.Add(10 * time.Second)
	if tr.AbortSilent(); tr.IsOutOfReach("lm") {
		t.Error("the service is out of reach")
	}
}

// Requests that probe a service out of reach end as well, and the first answer ends it.
func TestProbeOfASilentServerEnds(t *testing.T) {
	at, aborted := time.Unix(1000, 0), 0
	tr := New(func() time.Time { return at })
	for _, server := range []string{"a", "b", "c"} {
		tr.Failed("lm", server, 12)
	}
	run := func() {
		for range 21 {
			at = at.Add(100 * time.Millisecond)
			tr.AbortSilent()
		}
	}
	run()
	tr.Sent("lm", "a", 12, 0, func() { aborted++ })
	run()
	if aborted != 1 {
		t.Errorf("%d requests are aborted, want 1", aborted)
	}
	probe := tr.Sent("lm", "a", 12, 0, func() { aborted++ })
	tr.Reached("lm")
	probe.Received()
	run()
	if tr.IsOutOfReach("lm") || aborted != 1 {
		t.Errorf("out of reach: %v, %d requests aborted; want false, 1", tr.IsOutOfReach("lm"), aborted)
	}
}

// After a cut that nobody saw end, all requests would wait for servers that still hang.
func TestUnconfirmedServiceGetsProbes(t *testing.T) {
	at := time.Unix(1000, 0)
	tr := New(func() time.Time { return at })
	fail := func() { tr.Failed("lm", "a", 12) }
	for _, server := range []string{"a", "b", "c"} {
		tr.Failed("lm", server, 12)
	}
	tried := func(may func(string) bool) (n int) {
		for range 100 {
			if may("lm") {
				n++
			}
		}
		return n
	}
	steps := []struct {
		name         string
		after        time.Duration
		do           func()
		out          bool
		tried, taken int // of 100 requests each
	}{
		{"out of reach", 0, func() {}, true, 0, 0},
		{"its probe", probeInterval, func() {}, true, 1, 0},
		{"forgotten, not confirmed", forgetAfter, func() {}, false, 1, 0},
		{"forwarded ones probe, too", probeInterval, func() { tr.MayTake("lm") }, false, 0, 0},
		{"a probe fails", probeInterval, fail, true, 1, 0},
		{"nothing for long", probeTime + 1, func() {}, false, 100, 100},
		{"one server fails", 0, fail, false, 100, 100},
		{"an answer", forgetAfter, func() { tr.Reached("lm") }, false, 100, 100},
	}
	for _, s := range steps {
		at = at.Add(s.after)
		s.do()
		if out, n, m := tr.IsOutOfReach("lm"), tried(tr.MayTry), tried(tr.MayTake); out != s.out || n != s.tried || m != s.taken {
			t.Errorf("%s: out of reach %v, %d tried, %d taken; want %v, %d, %d", s.name, out, n, m, s.out, s.tried, s.taken)
		}
	}
}

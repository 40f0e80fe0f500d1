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
		do    string // what happens then: sent, held (sent, and has nowhere else to go), received, await, end
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
		moved    int
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
		{"one has nowhere else to go", 12, 0, append(sent(1, 2), step{0, "held", 3}), true, 2},
		{"none has anywhere else to go", 1, 0, []step{{0, "held", 1}, {0, "held", 1}, {0, "held", 1}}, true, 0},
		{"few requests, all of a region of one server", 1, 0, sent(1, 1), false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			at, moved := time.Unix(1000, 0), 0
			tr := New(func() time.Time { return at })
			run := func(d time.Duration) {
				for range d / (100 * time.Millisecond) {
					at = at.Add(100 * time.Millisecond)
					tr.MoveSilent()
				}
			}
			run(100 * time.Millisecond)
			sends, left := map[int]*Send{}, 2*time.Second
			for _, s := range tt.steps {
				run(s.after)
				left -= s.after
				switch s.do {
				case "sent":
					sends[s.n] = tr.Sent("lm", fmt.Sprint(s.n), tt.listed, tt.expected, func() bool { moved++; return true })
				case "held":
					sends[s.n] = tr.Sent("lm", fmt.Sprint(s.n), tt.listed, tt.expected, func() bool { return false })
				case "received":
					sends[s.n].Received()
				case "await":
					sends[s.n].Await()
				case "end":
					sends[s.n].End()
				}
			}
			run(left)
			if got := tr.IsOutOfReach("lm"); got != tt.want || moved != tt.moved {
				t.Errorf("out of reach: %v, %d requests moved; want %v, %d", got, moved, tt.want, tt.moved)
			}
		})
	}
}

// A host that was stopped has not read what arrived meanwhile: its servers are not silent.
func TestStoppedHostTakesNoServerForSilent(t *testing.T) {
	at := time.Unix(1000, 0)
	tr := New(func() time.Time { return at })
	tr.MoveSilent()
	for _, server := range []string{"a", "b", "c"} {
		tr.Sent("lm", server, 12, 0, func() bool { t.Error("a request is moved"); return true })
	}
	at = at.Add(10 * time.Second)
	if tr.MoveSilent(); tr.IsOutOfReach("lm") {
		t.Error("the service is out of reach")
	}
}

// Requests that probe a service out of reach move as well, and the first answer ends it.
func TestProbeOfASilentServerMoves(t *testing.T) {
	at, moved := time.Unix(1000, 0), 0
	move := func() bool { moved++; return true }
	tr := New(func() time.Time { return at })
	for _, server := range []string{"a", "b", "c"} {
		tr.Failed("lm", server, 12)
	}
	run := func() {
		for range 21 {
			at = at.Add(100 * time.Millisecond)
			tr.MoveSilent()
		}
	}
	run()
	tr.Sent("lm", "a", 12, 0, move)
	run()
	if moved != 1 {
		t.Errorf("%d requests are moved, want 1", moved)
	}
	probe := tr.Sent("lm", "a", 12, 0, move)
	tr.Reached("lm")
	probe.Received()
	run()
	if tr.IsOutOfReach("lm") || moved != 1 {
		t.Errorf("out of reach: %v, %d requests moved; want false, 1", tr.IsOutOfReach("lm"), moved)
	}
}

// A slow server is told from a cut by what it sends in the end: what waits for it is not ended before,
// and what has nowhere else to go is sent to it while it may still be answered.
func TestSlowServerKeepsItsRequests(t *testing.T) {
	const left = 12 * time.Second
	at, asked := time.Unix(1000, 0), 0
	tr := New(func() time.Time { return at })
	run := func(d time.Duration) {
		for range d / (100 * time.Millisecond) {
			at = at.Add(100 * time.Millisecond)
			if _, moved := tr.MoveSilent(); moved > 0 {
				t.Error("a request that has nowhere else to go is moved")
			}
		}
	}
	run(time.Second)
	var sends []*Send
	for range 3 {
		sends = append(sends, tr.Sent("lm", "a", 1, 0, func() bool { asked++; return false }))
	}
	check := func(when string, out, hang bool) {
		t.Helper()
		if tr.IsOutOfReach("lm") != out || tr.MayHang("lm", left) != hang {
			t.Errorf("%s: out of reach %v, may hang %v; want %v, %v", when, tr.IsOutOfReach("lm"), tr.MayHang("lm", left), out, hang)
		}
	}
	check("at first", false, false)
	run(3 * time.Second)
	check("silent for 3 s", true, true)
	if asked < len(sends) {
		t.Errorf("%d requests are asked whether they can go on elsewhere, want all", asked)
	}
	if tr.MayHang("lm", 2*time.Second) {
		t.Error("a request with 2 s left is sent to servers that have been silent for 3")
	}
	if !sends[0].Received() || sends[1].Received() {
		t.Error("the first byte does not end it, once")
	}
	check("after an answer", false, false)
	sends[0].Await()
	run(left)
	check("silent for the time of a request", false, false) // one request shows no cut
	for _, server := range []string{"a", "a", "a"} {
		tr.Failed("lm", server, 1)
	}
	check("refused or reset", true, false)
}

// A server that is reset or refuses is no slow one, also where silence was seen first.
func TestSilentServersThatAreResetAreNotWaitedFor(t *testing.T) {
	at := time.Unix(1000, 0)
	tr := New(func() time.Time { return at })
	tr.MoveSilent()
	for range 3 {
		tr.Sent("lm", "a", 1, 0, func() bool { return false })
	}
	for range 21 {
		at = at.Add(100 * time.Millisecond)
		tr.MoveSilent()
	}
	if !tr.MayHang("lm", time.Minute) {
		t.Fatal("the service does not count as silent")
	}
	for range 3 {
		tr.Failed("lm", "a", 1)
	}
	if tr.MayHang("lm", time.Minute) || !tr.IsOutOfReach("lm") {
		t.Errorf("may hang %v, out of reach %v after three resets; want false, true", tr.MayHang("lm", time.Minute), tr.IsOutOfReach("lm"))
	}
}

// What hosts of other regions have got tells nothing of servers here, and moves once it is silent.
func TestForwardedRequestsMove(t *testing.T) {
	at, may, moved := time.Unix(1000, 0), false, 0
	tr := New(func() time.Time { return at })
	run := func() {
		for range 21 {
			at = at.Add(100 * time.Millisecond)
			_, n := tr.MoveSilent()
			moved += n
		}
	}
	run()
	for range 3 {
		tr.Forwarded(func() bool { return may })
	}
	answered := tr.Forwarded(func() bool { return true })
	answered.Received()
	ended := tr.Forwarded(func() bool { return true })
	ended.End()
	run()
	if moved != 0 || len(tr.OutOfReach()) > 0 {
		t.Errorf("%d requests moved, out of reach %v; want none", moved, tr.OutOfReach())
	}
	may = true
	run()
	if moved != 3 {
		t.Errorf("%d requests moved once they may, want 3", moved)
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

func TestRequestsWhoseServersSendMeanwhileDoNotMove(t *testing.T) {
	at := time.Unix(1000, 0)
	tr := New(func() time.Time { return at })
	tr.MoveSilent()
	var sends []*Send
	moved := 0
	for _, server := range []string{"a", "b", "c", "d"} {
		sends = append(sends, tr.Sent("lm", server, 4, time.Millisecond, func() bool {
			if moved++; moved > 1 {
				return true
			}
			for _, r := range sends { // while the first request is decided about
				go func() {
					r.Received()
					r.Await()
				}()
			}
			for tr.IsOutOfReach("lm") {
				time.Sleep(time.Millisecond)
			}
			return true
		}))
	}
	for range 9 {
		at = at.Add(250 * time.Millisecond)
		tr.MoveSilent()
	}
	if moved != 1 {
		t.Errorf("%d requests moved, want the one that was decided about before the servers sent bytes", moved)
	}
}

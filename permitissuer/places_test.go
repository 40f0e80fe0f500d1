package permitissuer

import (
	"fmt"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/fake/manualclock"
	"wheelgauge/serverlimit"
)

// testHost asks an issuer for places at one server, as a host does.
type testHost struct {
	issuer *Issuer
	name   string
	slots  int
	bears  float64
	// restarts counts the processes of the host before this one.
	restarts uint64
	seq      uint64
	next     uint64
	sent     int
	// rejected and full are as in wheelgauge.PlaceUse.
	rejected, full int
}

// restart begins another process of the host, which has nothing in flight.
func (h *testHost) restart() {
	h.restarts++
	h.seq, h.next, h.sent = 0, 0, 0
}

// uses reports what the host has in flight. A load below 0 is not known.
func (h *testHost) uses(load, waiting int, pending ...uint64) *wheelgauge.HostUses {
	h.seq++
	return &wheelgauge.HostUses{Host: h.name, Boot: 1 + h.restarts, Seq: h.seq, Next: h.next, Uses: []wheelgauge.PlaceUse{{
		Server: "s", Bears: h.bears, Slots: h.slots, Sent: h.sent, Pending: pending,
		Rejected: h.rejected, Full: h.full, LoadKnown: load >= 0, Load: max(0, load), Waiting: waiting,
	}}}
}

// enter asks for a place and returns what became of it: "granted", "refused" or "waits", as of any
// later time.
func (h *testHost) enter(rank int, load int, maxWait time.Duration) (outcome func() string) {
	number, result := h.next, "waits"
	h.next++
	h.issuer.Enter(wheelgauge.PermitRequest{
		MaxWaitMS: maxWait.Milliseconds(), Place: &wheelgauge.PlaceRequest{Number: number, Rank: rank}, Uses: h.uses(load, 0, number),
	}, func(a wheelgauge.PermitResponse) {
		result = "refused"
		if a.Granted {
			result = "granted"
			h.sent++
		}
	})
	return func() string { return result }
}

func newTestHosts(names ...string) (*manualclock.Clock, []*testHost) {
	c := manualclock.New()
	i := New(serverlimit.New(c.Now), c.Now)
	var out []*testHost
	for _, name := range names {
		out = append(out, &testHost{issuer: i, name: name, slots: 2, bears: 3, full: -1})
	}
	return c, out
}

// Places are shared by all hosts; the most urgent that waits gets the next one, then the first.
func ExampleIssuer_Enter() {
	_, hosts := newTestHosts("a", "b")
	a, b := hosts[0], hosts[1]
	fmt.Println(a.enter(0, 0, 0)(), b.enter(0, 1, 0)(), a.enter(0, -1, 0)())
	first, second, urgent := b.enter(1, -1, time.Second), a.enter(1, -1, time.Second), a.enter(0, -1, time.Second)
	fmt.Println(first(), second(), urgent())
	b.sent--
	b.issuer.Report(b.uses(1, 0, 1))
	fmt.Println(first(), second(), urgent())
	// Output:
	// granted granted refused
	// waits waits waits
	// waits waits granted
}

// What an issuer grants, by what it knows of a server of two places.
func TestRoomOfBrittleServer(t *testing.T) {
	tests := []struct {
		name string
		// before happens before hosts a and b ask for two places each.
		before  func(c *manualclock.Clock, a, b *testHost)
		granted int
	}{
		{"nothing in flight", func(_ *manualclock.Clock, a, _ *testHost) { a.issuer.Report(a.uses(0, 0)) }, 2},
		{"its load is not known yet", func(*manualclock.Clock, *testHost, *testHost) {}, 1},
		{"its load is not told", func(c *manualclock.Clock, a, _ *testHost) {
			a.issuer.Report(a.uses(-1, 0))
			c.Advance(settleTime)
		}, 2},
		{"a host reports one in flight", func(_ *manualclock.Clock, a, _ *testHost) {
			a.sent = 1
			a.issuer.Report(a.uses(1, 0))
		}, 1},
		{"it has one of a host that does not report", func(_ *manualclock.Clock, a, _ *testHost) { a.issuer.Report(a.uses(1, 0)) }, 1},
		{"the host of that one reports", func(_ *manualclock.Clock, a, b *testHost) {
			a.issuer.Report(a.uses(1, 0))
			b.sent = 1
			b.issuer.Report(b.uses(-1, 0))
		}, 1},
		{"some wait there", func(_ *manualclock.Clock, a, _ *testHost) { a.issuer.Report(a.uses(1, 1)) }, 0},
		{"it rejects while it runs one", func(_ *manualclock.Clock, a, _ *testHost) {
			a.issuer.Report(a.uses(0, 0))
			a.rejected, a.full = 1, 1
			a.issuer.Report(a.uses(0, 0))
		}, 1},
		{"it has rejected half of what it bears", func(_ *manualclock.Clock, a, _ *testHost) {
			a.issuer.Report(a.uses(0, 0))
			a.rejected, a.full = 2, 2
			a.issuer.Report(a.uses(0, 0))
		}, 0},
		{"that is a second ago", func(c *manualclock.Clock, a, _ *testHost) {
			a.issuer.Report(a.uses(0, 0))
			a.rejected, a.full = 2, 2
			a.issuer.Report(a.uses(0, 0))
			c.Advance(rejectionWindow)
			a.issuer.Report(a.uses(0, 0))
		}, 2},
		{"a host is gone", func(c *manualclock.Clock, a, b *testHost) {
			b.sent = 2
			b.issuer.Report(b.uses(2, 0))
			c.Advance(hostTTL + time.Millisecond)
			b.sent = 0
			a.issuer.Report(a.uses(0, 0))
		}, 2},
		{"a host with two in flight starts again", func(_ *manualclock.Clock, _, b *testHost) {
			b.sent = 2
			b.issuer.Report(b.uses(2, 0))
			b.restart()
			b.issuer.Report(b.uses(-1, 0))
		}, 0},
		{"it starts again, and the server shows one of them", func(_ *manualclock.Clock, a, b *testHost) {
			b.sent = 2
			b.issuer.Report(b.uses(2, 0))
			b.restart()
			b.issuer.Report(b.uses(-1, 0))
			for _, load := range []int{2, 1, 1, 1} {
				a.issuer.Report(a.uses(load, 0))
			}
		}, 1},
		{"it starts again, and the server shows none", func(_ *manualclock.Clock, _, b *testHost) {
			b.sent = 2
			b.issuer.Report(b.uses(2, 0))
			b.restart()
			for range loadReports {
				b.issuer.Report(b.uses(0, 0))
			}
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, hosts := newTestHosts("a", "b")
			tt.before(c, hosts[0], hosts[1])
			granted := 0
			for range 2 {
				for _, h := range hosts {
					if h.enter(0, -1, 0)() == "granted" {
						granted++
					}
				}
			}
			if granted != tt.granted {
				t.Errorf("granted %d places, want %d", granted, tt.granted)
			}
		})
	}
}

// A place whose answer was lost is free again once the host reports without it.
func TestPlaceOfLostAnswerIsFreed(t *testing.T) {
	_, hosts := newTestHosts("a", "b")
	a, b := hosts[0], hosts[1]
	a.issuer.Report(a.uses(0, 0))
	a.enter(0, -1, 0)
	b.enter(0, -1, 0)
	if got := b.enter(0, -1, 0)(); got != "refused" {
		t.Errorf("a third request is %s, want refused", got)
	}
	a.sent-- // its caller has left by the time of the answer
	a.issuer.Report(a.uses(-1, 0))
	if got := b.enter(0, -1, 0)(); got != "granted" {
		t.Errorf("a request is %s after the place is free, want granted", got)
	}
}

// Reports that arrive out of order count by the latest.
func TestOvertakenReportIsIgnored(t *testing.T) {
	_, hosts := newTestHosts("a", "b")
	a, b := hosts[0], hosts[1]
	a.sent = 0
	early := a.uses(0, 0)
	a.sent = 2
	a.issuer.Report(a.uses(2, 0))
	a.issuer.Report(early)
	if got := b.enter(0, -1, 0)(); got != "refused" {
		t.Errorf("a request is %s, want refused", got)
	}
}

// A request that no place is expected for in time is refused at once.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	c, hosts := newTestHosts("a")
	a := hosts[0]
	a.issuer.Report(a.uses(0, 0))
	for range 30 { // 10 ends a second
		a.enter(0, -1, 0)
		c.Advance(100 * time.Millisecond)
		a.sent = 0
		a.issuer.Report(a.uses(0, 0))
	}
	a.enter(0, -1, 0)
	a.enter(0, -1, 0)
	if got := a.enter(0, -1, 150*time.Millisecond)(); got != "waits" {
		t.Errorf("the first request is %s, want waits", got)
	}
	if got := a.enter(0, -1, 150*time.Millisecond)(); got != "refused" {
		t.Errorf("the second request is %s, want refused", got)
	}
}

func BenchmarkEnter(b *testing.B) {
	var hosts []*testHost
	c := manualclock.New()
	i := New(serverlimit.New(c.Now), c.Now)
	for n := range 61 {
		hosts = append(hosts, &testHost{issuer: i, name: fmt.Sprint("host-", n), slots: 32, bears: 3, full: -1})
	}
	for n := 0; b.Loop(); n++ {
		h := hosts[n%len(hosts)]
		h.enter(0, 0, 0)
		h.sent = 0
		i.Report(h.uses(0, 0))
	}
}

// A request that waits gets an answer also if its host has not reported for long.
func TestWaitOfSilentHostEnds(t *testing.T) {
	c, hosts := newTestHosts("a", "b")
	a, b := hosts[0], hosts[1]
	a.issuer.Report(a.uses(0, 0))
	a.enter(0, -1, 0)
	a.enter(0, -1, 0)
	waits := b.enter(0, -1, time.Second)
	c.Advance(hostTTL + time.Millisecond)
	a.sent = 0
	a.issuer.Report(a.uses(0, 0))
	if got := waits(); got != "refused" {
		t.Errorf("the request is %s, want refused", got)
	}
}

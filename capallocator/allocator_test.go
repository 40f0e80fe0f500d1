package capallocator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheelgauge"
)

const (
	testWindow  = 8 * time.Second
	testOverage = 0.1
	testSlack   = 140000
)

// clock is a manual clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }
func newClock() *clock                   { return &clock{at: time.Unix(1000, 0)} }
func (c *clock) newAllocator(self string, boot uint64, members []string) *Allocator {
	return c.newAllocatorWithSlack(self, boot, members, testSlack)
}

func (c *clock) newAllocatorWithSlack(self string, boot uint64, members []string, slack float64) *Allocator {
	a := New(Options{Self: self, Boot: boot, Window: testWindow, Overage: testOverage, Slack: slack, Now: c.now})
	a.SetMembers(members)
	a.SetCaps(caps())
	return a
}

func caps() []wheelgauge.Workspace {
	return []wheelgauge.Workspace{
		{Name: "w", Cap: wheelgauge.Cap{Rate: 1e6, Burst: 1e6, Unit: wheelgauge.CapTokens}},
		{Name: "free"},
		{Name: "tiny", Cap: wheelgauge.Cap{Rate: 2, Burst: 2}},
	}
}

// exchangeLease sends a store's report to another and applies the lease it gets back.
func exchangeLease(c *clock, from, to *Allocator, boot uint64) wheelgauge.CapLease {
	sent := c.now()
	lease := to.GrantLease(from.options.Self, boot, from.Report(to.options.Self))
	from.ApplyLease(to.options.Self, sent, lease)
	return lease
}

func shareOfCap(a *Allocator) float64 { return shareOf(a, "w") }

func shareOf(a *Allocator, workspace string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recompute(a.options.Now())
	return a.buckets[workspace].share
}

func draw(a *Allocator, units float64) wheelgauge.CapGrant { return drawFrom(a, "w", units) }

func drawFrom(a *Allocator, workspace string, units float64) wheelgauge.CapGrant {
	return a.Draw(wheelgauge.CapUnitsRequest{Host: "h", Boot: 1, Items: []wheelgauge.CapUnitsItem{{Workspace: workspace, Units: units}}}).Grants[0]
}

// A cap of two requests a second works through any of five stores: it is not divided into
// shares that no request fits into.
func TestTinyCap(t *testing.T) {
	c := newClock()
	members := []string{"a", "b", "c", "d", "e"}
	var stores []*Allocator
	for _, m := range members {
		stores = append(stores, c.newAllocatorWithSlack(m, 1, members, 0))
	}
	granted := 0
	for range 200 {
		for i, from := range stores {
			for j, to := range stores {
				if i != j {
					exchangeLease(c, from, to, 1)
				}
			}
		}
		c.advance(200 * time.Millisecond)
		for _, store := range stores {
			store.HostSeen("h", 1)
		}
		store := stores[granted%len(stores)]
		g := drawFrom(store, "tiny", 1)
		for _, other := range stores {
			if !g.Granted && other.options.Self == g.OtherStore {
				g = other.Draw(wheelgauge.CapUnitsRequest{Host: "h", Redirected: true, Items: []wheelgauge.CapUnitsItem{{Workspace: "tiny", Units: 1}}}).Grants[0]
			}
		}
		if g.Granted {
			granted++
		}
	}
	// 40 s at 2 a second; the demand is 5 a second.
	if granted < 60 || granted > 92 {
		t.Errorf("%d requests granted in 40 s at 2 a second, want 60 to 92", granted)
	}
}

// The shares of all stores never add up to more than the cap, whatever reports are lost and
// however often stores restart: 3 to 6 stores by 400 seeds.
func TestSharesNeverExceedCap(t *testing.T) {
	for seed := range uint64(400) {
		r, c := rand.New(rand.NewPCG(seed, 7)), newClock()
		var members []string
		for i := range 3 + int(seed%4) {
			members = append(members, fmt.Sprint("s", i))
		}
		var stores []*Allocator
		boots := make([]uint64, len(members))
		for i, m := range members {
			boots[i] = 1
			stores = append(stores, c.newAllocator(m, 1, members))
		}
		for step := range 300 {
			c.advance(time.Duration(r.IntN(300)) * time.Millisecond)
			i, j := r.IntN(len(stores)), r.IntN(len(stores))
			switch {
			case i == j && r.IntN(4) == 0:
				boots[i]++
				stores[i] = c.newAllocator(members[i], boots[i], members)
			case i == j:
				draw(stores[i], 1e5*r.Float64())
				drawFrom(stores[i], "tiny", 1)
			case r.IntN(4) == 0: // the answer is lost
				stores[j].GrantLease(members[i], boots[i], stores[i].Report(members[j]))
			default:
				exchangeLease(c, stores[i], stores[j], boots[i])
			}
			for _, w := range []string{"w", "tiny"} {
				sum := 0.0
				for _, store := range stores {
					sum += shareOf(store, w)
				}
				if sum > 1.0001 {
					t.Fatalf("seed %d, step %d: shares of %s add up to %.3f, want at most 1", seed, step, w, sum)
				}
			}
		}
	}
}

// The share of a cap moves to the store whose hosts use it, and stays there during a partition
// until the lease expires.
func TestSharesFollowDemand(t *testing.T) {
	c := newClock()
	members := []string{"a", "b"}
	a, b := c.newAllocator("a", 1, members), c.newAllocator("b", 1, members)
	exchange := func() {
		exchangeLease(c, a, b, 1)
		exchangeLease(c, b, a, 1)
	}
	exchange()
	exchange()
	if got := shareOfCap(a); got != 0.5 {
		t.Fatalf("share without demand is %.2f, want 0.50", got)
	}
	for range 20 {
		c.advance(200 * time.Millisecond)
		draw(a, 1e5)
		exchange()
	}
	if got := shareOfCap(a); got < 0.85 {
		t.Errorf("share of the only store with demand is %.2f, want at least 0.85", got)
	}
	c.advance(leaseTime - time.Second)
	if got := shareOfCap(a); got < 0.85 {
		t.Errorf("its share during a partition is %.2f, want at least 0.85", got)
	}
	if got := shareOfCap(b); got > 0.15 {
		t.Errorf("share of the lender is %.2f, want at most 0.15", got)
	}
	c.advance(2 * time.Second)
	if x, y := shareOfCap(a), shareOfCap(b); x != 0.5 || y != 0.5 {
		t.Errorf("shares after the lease expired are %.2f and %.2f, want 0.50 each", x, y)
	}
}

// A restarted store does not know what it had leased out: it uses no share until the other
// stores have replaced its old leases.
func TestRestartedStoreWaitsForPeers(t *testing.T) {
	c := newClock()
	members := []string{"a", "b", "c"}
	a, b, third := c.newAllocator("a", 1, members), c.newAllocator("b", 1, members), c.newAllocator("c", 1, members)
	if shareOfCap(a) != 0 {
		t.Fatal("a store that has just started uses its share")
	}
	for range 2 {
		exchangeLease(c, b, a, 1)
		exchangeLease(c, third, a, 1)
	}
	if shareOfCap(a) == 0 {
		t.Fatal("a store that all others have answered uses no share")
	}
	a = c.newAllocator("a", 2, members)
	exchangeLease(c, b, a, 1)
	exchangeLease(c, b, a, 1)
	exchangeLease(c, a, b, 2)
	if shareOfCap(a) != 0 {
		t.Error("the store uses its share while a peer may hold a lease from before the restart")
	}
	c.advance(leaseTime + time.Second)
	if shareOfCap(a) == 0 {
		t.Error("the store uses no share though all earlier leases have expired")
	}
}

// Stores that all restart learn from their first reports that nobody holds a lease: after a
// power loss they serve at once, also while one of them has no member list yet.
func TestAllStoresRestarted(t *testing.T) {
	c := newClock()
	members := []string{"a", "b", "c"}
	a, b, blank := c.newAllocator("a", 2, members), c.newAllocator("b", 5, members), c.newAllocator("c", 9, nil)
	exchangeLease(c, a, b, 2)
	exchangeLease(c, a, blank, 2)
	if shareOfCap(a) == 0 {
		t.Error("the store uses no share though nobody holds a lease")
	}
	old := c.newAllocator("b", 5, members)
	old.ApplyLease("a", c.now(), wheelgauge.CapLease{Lessor: 1, Number: 4, Shares: []wheelgauge.CapShare{{Workspace: "w", Share: 0.3}}})
	again := c.newAllocator("a", 3, members)
	exchangeLease(c, again, old, 3)
	exchangeLease(c, again, blank, 3)
	if shareOfCap(again) != 0 {
		t.Error("the store uses its share while a peer holds an earlier lease")
	}
}

// Silent hosts may be standalone. Their shares are subtracted until the hosts are in contact
// again, restart, or their standalone time is over.
func TestSilentHosts(t *testing.T) {
	tests := []struct {
		name  string
		after func(b *Allocator, c *clock)
		less  bool
	}{
		{"in contact", func(b *Allocator, _ *clock) { b.HostSeen("h", 1) }, false},
		{"silent", func(*Allocator, *clock) {}, true},
		{"restarted as a new process", func(b *Allocator, _ *clock) { b.HostSeen("h", 2) }, false},
		{"lapsed", func(_ *Allocator, c *clock) { c.advance(standaloneTime) }, false},
	}
	for _, tt := range tests {
		c := newClock()
		a := c.newAllocator("a", 1, []string{"a"})
		before := shareOfCap(a)
		g := draw(a, 1)
		if g.StandaloneRate <= 0 || g.StandaloneMS <= 0 {
			t.Fatalf("the grant has no standalone rate or time: %+v", g)
		}
		c.advance(hostSilenceTimeout + time.Millisecond)
		tt.after(a, c)
		if got := shareOfCap(a); (got < before) != tt.less {
			t.Errorf("%s: share is %.2f of %.2f", tt.name, got, before)
		}
	}
}

func TestDraw(t *testing.T) {
	c := newClock()
	a := c.newAllocator("a", 1, []string{"a"})
	c.advance(time.Minute)
	if g := a.Draw(wheelgauge.CapUnitsRequest{Host: "h", Items: []wheelgauge.CapUnitsItem{{Workspace: "free", Units: 1e12}}}).Grants[0]; !g.Granted {
		t.Error("a workspace without a cap is refused")
	}
	sum, refused := 0.0, 0
	for range 1000 {
		if g := draw(a, 5000); g.Granted {
			sum += 5000
		} else {
			refused++
			if g.RetryAfterMS < minRetryAfter.Milliseconds() || g.RetryAfterMS > maxRetryAfter.Milliseconds() {
				t.Fatalf("retry after %d ms is out of bounds", g.RetryAfterMS)
			}
		}
	}
	most := 1e6*(1+testOverage) + testOverage*8e6 + testSlack
	if sum < 0.4e6 || sum > most || refused == 0 {
		t.Errorf("%.0f units of a burst of 1e6 granted at once, %d requests refused", sum, refused)
	}
	// Small requests pass where large ones must wait.
	if g := draw(a, 10); !g.Granted {
		t.Error("a small request is refused")
	}
	c.advance(time.Second)
	if g := draw(a, 5000); !g.Granted {
		t.Error("a request is still refused a second later")
	}
}

// A cap that is reduced to a fraction applies at once, and a large request passes through a
// small cap.
func TestCapChanges(t *testing.T) {
	c := newClock()
	a := c.newAllocator("a", 1, []string{"a"})
	c.advance(time.Minute)
	a.SetCaps([]wheelgauge.Workspace{{Name: "w", Cap: wheelgauge.Cap{Rate: 36000, Burst: 36000, Unit: wheelgauge.CapTokens}}})
	if g := draw(a, 30000); !g.Granted {
		t.Error("a request of 30,000 units is refused with a burst of 36,000")
	}
	sum := 0.0
	for range 100 {
		if g := draw(a, 12000); g.Granted {
			sum += 12000
		}
	}
	if room := testOverage*9*36000 + testSlack; sum > 36000+room {
		t.Errorf("%.0f units granted at once after the cap was reduced", sum)
	}
}

func BenchmarkDraw(b *testing.B) {
	for _, workspaces := range []int{16, 890} {
		b.Run(fmt.Sprint("workspaces ", workspaces), func(b *testing.B) {
			store := New(Options{Self: "a", Boot: 1, Window: testWindow, Overage: testOverage, Slack: testSlack, Now: time.Now})
			store.SetMembers([]string{"a"})
			var list []wheelgauge.Workspace
			for i := range workspaces {
				list = append(list, wheelgauge.Workspace{Name: fmt.Sprint("w", i), Cap: wheelgauge.Cap{Rate: 1e6, Burst: 1e6}})
			}
			store.SetCaps(list)
			req := wheelgauge.CapUnitsRequest{Host: "h", Boot: 1, Items: []wheelgauge.CapUnitsItem{{Workspace: "w7", Units: 5000}}}
			b.ReportAllocs()
			for b.Loop() {
				store.Draw(req)
			}
		})
	}
}

// FuzzShares runs any sequence of reports, lost answers, restarts and draws among four stores:
// their shares never add up to more than the cap.
func FuzzShares(f *testing.F) {
	f.Add([]byte{0x01, 0x12, 0x23, 0x31, 0x81, 0x42, 0xc3, 0x00, 0x10, 0x99})
	f.Add([]byte("news and news again, a start, 10 s, a start"))
	f.Fuzz(func(t *testing.T, steps []byte) {
		c := newClock()
		members := []string{"a", "b", "c", "d"}
		boots := []uint64{1, 1, 1, 1}
		var stores []*Allocator
		for _, m := range members {
			stores = append(stores, c.newAllocator(m, 1, members))
		}
		for n, step := range steps {
			i, j := int(step&3), int(step>>2&3)
			c.advance(time.Duration(step>>4) * 100 * time.Millisecond)
			switch {
			case i != j && step&0x10 == 0:
				exchangeLease(c, stores[i], stores[j], boots[i])
			case i != j:
				stores[j].GrantLease(members[i], boots[i], stores[i].Report(members[j]))
			case step&0x20 == 0:
				draw(stores[i], 1e5)
			default:
				boots[i]++
				stores[i] = c.newAllocator(members[i], boots[i], members)
			}
			sum := 0.0
			for _, store := range stores {
				sum += shareOfCap(store)
			}
			if sum > 1.0001 {
				t.Fatalf("step %d: shares add up to %.3f, want at most 1", n, sum)
			}
		}
	})
}

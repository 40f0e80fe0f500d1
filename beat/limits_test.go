package beat

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/serverlimit"
)

func (s *standIn) limits() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, b := range s.beats {
		for _, l := range b.Limits {
			out = append(out, l.Server)
		}
	}
	return out
}

// A limit that a server named to this host is told to every store once, and again to one
// that started anew; one that a store tells of is known here.
func TestLimitsAreTold(t *testing.T) {
	near, far := newStore(t, "here", 3), newStore(t, "there", 3)
	near.set(func(a *wheelgauge.BeatAnswer) {
		a.Limits, a.LimitsAt = []wheelgauge.ServerLimit{{Server: "other", Rate: 3}}, 5
	})
	far.set(func(a *wheelgauge.BeatAnswer) { a.Store = 77 })
	limits := serverlimit.New(time.Now)
	limits.Named("own", 2)
	c := startWith(t, []*standIn{near, far}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: interval, News: &news{}, Log: logr.Discard(), Limits: limits,
	})
	waitFor(t, "both stores know", func() bool {
		return slices.Contains(near.limits(), "own") && slices.Contains(far.limits(), "own")
	})
	waitFor(t, "the host knows of the other server", func() bool {
		rate, ok := limits.Rate("other")
		return ok && rate == 3
	})
	waitFor(t, "the host knows its region's store", func() bool {
		return slices.Equal(c.RegionStores(), []wheelgauge.RegionStore{{Address: near.http.Address(), Answers: true}})
	})
	// A store is told once more when the host knows its boot.
	hearsOn := func() bool { return far.count() > 3 }
	far.forget()
	waitFor(t, "the far store answers on", hearsOn)
	far.forget()
	waitFor(t, "the far store hears on", hearsOn)
	if slices.Contains(far.limits(), "own") || slices.Contains(far.limits(), "other") {
		t.Errorf("a store is told again: %v", far.limits())
	}
	far.set(func(a *wheelgauge.BeatAnswer) { a.Store = 78 })
	waitFor(t, "the store that started again knows", func() bool { return slices.Contains(far.limits(), "own") })
}

// A seed that is no member of the group any more gives no permits. Counted on, it left its
// part of the servers with what another store gives in place of it: found by reading.
func TestFormerSeedGivesNothing(t *testing.T) {
	seed, member := newStore(t, "here", 3), newStore(t, "here", 3)
	for _, s := range []*standIn{seed, member} {
		s.set(func(a *wheelgauge.BeatAnswer) { a.Stores = []string{member.http.Address()} })
	}
	c := startWith(t, []*standIn{seed, member}, Options{
		Self: func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		News: &news{}, Log: logr.Discard(),
	})
	waitFor(t, "both have answered", func() bool { return seed.count() > 2 && member.count() > 2 })
	waitFor(t, "the member alone gives permits", func() bool {
		return slices.Equal(c.RegionStores(), []wheelgauge.RegionStore{{Address: member.http.Address(), Answers: true}})
	})
}

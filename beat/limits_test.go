package beat

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"wheelgauge"
	"wheelgauge/serverlimit"
)

func (s *fakeStore) limits() []string {
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

// A rate limit that a server announced to this host is sent to every store once, and again
// to one that has restarted; limits received from the primary are merged.
func TestLimitsAreSent(t *testing.T) {
	near, far := newStore(t, "here", 3), newStore(t, "there", 3)
	near.set(func(a *wheelgauge.BeatAnswer) {
		a.Limits, a.LimitsAt = []wheelgauge.ServerLimit{{Server: "other", Rate: 3}}, 5
	})
	far.set(func(a *wheelgauge.BeatAnswer) { a.Store = 77 })
	limits := serverlimit.New(time.Now)
	limits.Named("own", 2)
	c := startWith(t, []*fakeStore{near, far}, Options{
		Self:        func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		FarInterval: interval, News: &recorder{}, Log: logr.Discard(), Limits: limits,
	})
	waitFor(t, "the limit at both stores", func() bool {
		return slices.Contains(near.limits(), "own") && slices.Contains(far.limits(), "own")
	})
	waitFor(t, "the limit of the other server at the host", func() bool {
		rate, ok := limits.Rate("other")
		return ok && rate == 3
	})
	waitFor(t, "the region's store in RegionStores", func() bool {
		return slices.Equal(c.RegionStores(), []wheelgauge.RegionStore{{Address: near.http.Address(), Answers: true}})
	})
	// A store gets everything once more when the host learns its boot number.
	moreHeartbeats := func() bool { return far.count() > 3 }
	far.forget()
	waitFor(t, "more heartbeats at the far store", moreHeartbeats)
	far.forget()
	waitFor(t, "yet more heartbeats at the far store", moreHeartbeats)
	if slices.Contains(far.limits(), "own") || slices.Contains(far.limits(), "other") {
		t.Errorf("limits were sent again to a store that knows them: %v", far.limits())
	}
	far.set(func(a *wheelgauge.BeatAnswer) { a.Store = 78 })
	waitFor(t, "the limit at the restarted store", func() bool { return slices.Contains(far.limits(), "own") })
}

// A seed that is no longer a member of the group issues no permits. If it counted as a store
// of the region, its share of the servers would be limited to what another store issues in
// its place.
func TestFormerSeedIsExcluded(t *testing.T) {
	seed, member := newStore(t, "here", 3), newStore(t, "here", 3)
	for _, s := range []*fakeStore{seed, member} {
		s.set(func(a *wheelgauge.BeatAnswer) { a.Stores = []string{member.http.Address()} })
	}
	c := startWith(t, []*fakeStore{seed, member}, Options{
		Self: func() wheelgauge.FleetHost { return wheelgauge.FleetHost{Name: "g", Region: "here"} },
		News: &recorder{}, Log: logr.Discard(),
	})
	waitFor(t, "answers of both stores", func() bool { return seed.count() > 2 && member.count() > 2 })
	waitFor(t, "only the member in RegionStores", func() bool {
		return slices.Equal(c.RegionStores(), []wheelgauge.RegionStore{{Address: member.http.Address(), Answers: true}})
	})
}

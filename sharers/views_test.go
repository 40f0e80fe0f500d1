package sharers

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wheelgauge/coldrate"
	"wheelgauge/fake/arrivalbound"
)

var (
	viewSeeds   = flag.Int("views.seeds", 2, "seeded schedules to play")
	viewFigures = flag.Bool("views.figures", false, "print the worst second of each schedule")
)

const (
	tick     = 10 * time.Millisecond
	interval = 150 * time.Millisecond
	// silence is how long after its last heartbeat a store lists a host, warmUp how long after it
	// is connected a store has heard all hosts.
	silence = 1200 * time.Millisecond
	warmUp  = 2 * time.Second
	stores  = 3
	// lossRate is the share of heartbeats lost.
	lossRate = 0.1
	// coldRate is a server's cold rate, in requests a second.
	coldRate = 3.5
	runTime  = 12 * time.Second
)

// fleet is hosts that learn of each other from stores, and send all that they may to one cold
// server.
type fleet struct {
	r  *rand.Rand
	at time.Duration
	// leaderAt is when the stores are connected to each other.
	leaderAt time.Duration
	// seen is when each store last heard of each host.
	seen  [stores]map[string]time.Duration
	hosts []*host
	sent  []time.Time
	// split is set while the first store and the first half of the hosts are cut off from the rest.
	split bool
}

type host struct {
	name   string
	seed   int
	up     bool
	cut    bool // from all stores
	first  bool // of the first half
	dueAt  time.Duration
	view   *View
	shares *coldrate.Shares
	// reached is set once a connected store has told the host of all others.
	reached bool
}

func newFleet(seed uint64, hosts int) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 5))}
	for i := range stores {
		f.seen[i] = map[string]time.Duration{}
	}
	for i := range hosts {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("host-%02d", i), seed: i % stores, first: i < hosts/2})
	}
	return f
}

func (f *fleet) now() time.Time { return time.Unix(1000, 0).Add(f.at) }

// start starts a host without anything that it knew.
func (f *fleet) start(h *host) {
	h.up, h.reached, h.dueAt = true, false, f.at
	h.view, h.shares = New(f.now), coldrate.New(f.now)
}

func (f *fleet) startAll() {
	for _, h := range f.hosts {
		f.start(h)
	}
}

// heartbeat has the stores that a host knows list it, and tells it what its own store lists.
func (f *fleet) heartbeat(h *host) {
	h.dueAt = f.at + interval
	if h.cut {
		return
	}
	own, connected := f.ownStore(h)
	for store := range stores {
		if (h.reached || store == h.seed) && f.reaches(h, store) && f.r.Float64() >= lossRate {
			f.seen[store][h.name] = f.at
		}
	}
	if f.r.Float64() < lossRate {
		return
	}
	h.reached = h.reached || connected
	listed := f.seen[own]
	maps.DeleteFunc(listed, func(_ string, at time.Duration) bool { return f.at-at > silence })
	h.view.SetHosts(slices.Collect(maps.Keys(listed)))
	if connected {
		h.view.Confirm(f.now(), f.at >= f.leaderAt+warmUp)
	}
}

// ownStore returns the store that tells a host of the others, and whether it is connected.
func (f *fleet) ownStore(h *host) (store int, connected bool) {
	for store = h.seed; !f.reaches(h, store); {
		store = (store + 1) % stores
	}
	return store, f.at >= f.leaderAt && (!f.split || !h.first)
}

// reaches reports whether a host and a store are on the same side.
func (f *fleet) reaches(h *host, store int) bool { return !f.split || h.first == (store == 0) }

func (f *fleet) step() {
	for _, h := range f.hosts {
		if !h.up {
			continue
		}
		if f.at >= h.dueAt {
			f.heartbeat(h)
		}
		if h.shares.Take("server", h.name, h.view.Hosts(), coldRate) {
			f.sent = append(f.sent, f.now())
		}
	}
	f.at += tick
}

// viewSchedule has hosts learn of each other at different times.
type viewSchedule struct {
	name   string
	begin  func(f *fleet)
	change func(f *fleet) // before each step
}

var viewSchedules = []viewSchedule{
	{"all start apart, and no store leads at first", func(f *fleet) { f.leaderAt = 1600 * time.Millisecond }, func(f *fleet) {
		for _, h := range f.hosts {
			if !h.up && f.r.IntN(40) == 0 {
				f.start(h)
			}
		}
	}},
	{"hosts join one after another", func(f *fleet) { f.start(f.hosts[0]) }, func(f *fleet) {
		if i := int(f.at / (200 * time.Millisecond)); i < len(f.hosts) && !f.hosts[i].up {
			f.start(f.hosts[i])
		}
	}},
	{"hosts restart at any moment", (*fleet).startAll, func(f *fleet) {
		if f.r.IntN(30) == 0 {
			f.start(f.hosts[f.r.IntN(len(f.hosts))])
		}
	}},
	{"all restart at once, twice", (*fleet).startAll, func(f *fleet) {
		if f.at == 5*time.Second || f.at == 8*time.Second {
			f.startAll()
		}
	}},
	{"hosts end one after another", (*fleet).startAll, func(f *fleet) {
		if i := int((f.at - 4*time.Second) / (300 * time.Millisecond)); i > 0 && i < len(f.hosts) {
			f.hosts[i].up = false
		}
	}},
	{"one knows itself alone and is cut off, others join", func(f *fleet) { f.start(f.hosts[0]) }, func(f *fleet) {
		if f.at == 4*time.Second {
			f.startAll()
			f.hosts[0].cut = true
		}
	}},
	{"the fleet is split, and each half knows its own hosts", (*fleet).startAll, func(f *fleet) {
		f.split = f.at > 4*time.Second && f.at < 9*time.Second
	}},
	{"half are cut off for a while", (*fleet).startAll, func(f *fleet) {
		for _, h := range f.hosts[:len(f.hosts)/2] {
			h.cut = f.at > 4*time.Second && f.at < 7*time.Second
		}
	}},
}

// All hosts together stay within the rate of a cold server with any views: each alone at first, in
// pairs, one too few or too many, forgotten and old ones.
func TestSharesOfPartialViewsStayWithinTheRate(t *testing.T) {
	for _, tt := range viewSchedules {
		most := 0
		for _, hosts := range []int{1, 2, 3, 8, 40} {
			for seed := range uint64(*viewSeeds) {
				f := newFleet(seed, hosts)
				tt.begin(f)
				for f.at < runTime {
					tt.change(f)
					f.step()
				}
				got, _ := arrivalbound.ColdRate().MaxInWindow(f.sent)
				most = max(most, got)
				if err := arrivalbound.ColdRate().Check(coldRate, f.sent); err != nil {
					t.Errorf("%s, %d hosts, seed %d: %v", tt.name, hosts, seed, err)
				}
			}
		}
		if *viewFigures {
			t.Logf("%s: %d in the worst second, allowed %.2f", tt.name, most, arrivalbound.ColdRate().Allowed(coldRate))
		}
	}
}

// Hosts that all know each other use the rate, from a few seconds after the stores are connected.
func TestSettledHostsUseTheRate(t *testing.T) {
	const leaderAt = time.Second
	for _, hosts := range []int{1, 2, 3, 8, 40} {
		f := newFleet(1, hosts)
		f.leaderAt = leaderAt
		f.startAll()
		for f.at < leaderAt+settleTime+warmUp {
			f.step()
		}
		f.sent = nil
		for f.at < leaderAt+settleTime+warmUp+2*time.Second {
			f.step()
		}
		if want := coldRate * 2 * 0.75; float64(len(f.sent)) < want {
			t.Errorf("%d hosts: %d requests in two seconds, want %.1f at least", hosts, len(f.sent), want)
		}
	}
}

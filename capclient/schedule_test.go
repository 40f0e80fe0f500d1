package capclient

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"wheelgauge"
	"wheelgauge/capallocator"
)

var (
	seeds   = flag.Int("cap.seeds", 6, "seeded schedules to play")
	repeats = flag.Int("cap.repeats", 1, "how often each fault is played alone")
	figures = flag.Bool("cap.figures", false, "print what was wrongly refused, by workspace")
)

const (
	window  = 8 * time.Second
	overage = 0.1
	slack   = 140000.0
	// maxUnits is the most units that a request needs.
	maxUnits = 54000.0
	// warmUp is how long stores run before load begins.
	warmUp = 11 * time.Second
	// runTime is how long a schedule lasts.
	runTime = 24 * time.Second
)

// workspace is a workspace of a schedule with the load of its callers.
type workspace struct {
	spec wheelgauge.Workspace
	// meanUnits is the mean units of a request, requestRate the requests a second over all
	// hosts.
	meanUnits, requestRate float64
	// overloadFactor multiplies the load between overloadFrom and overloadTo.
	overloadFrom, overloadTo time.Duration
	overloadFactor           float64
	// reducedAt is when the cap falls to the fraction reducedTo.
	reducedAt time.Duration
	reducedTo float64
}

type arrival struct {
	at    time.Duration
	units float64
	sent  bool
	final bool // sent, or refused by the cap and not for lack of a store
}

// store is a store of a schedule; allocator is nil while it is down.
type store struct {
	address, region string
	allocator       *capallocator.Allocator
	boots           uint64
	frozen          bool
}

// schedule is one seeded run of stores and entry hosts over virtual time.
type schedule struct {
	t          *testing.T
	mu         sync.Mutex
	seed       uint64
	r          *rand.Rand
	started    time.Time
	stores     []*store
	regions    []string
	hosts      int
	workspaces []*workspace
	// take decides in place of the hosts' clients, if it is set.
	take     func(ctx context.Context, h int, w *workspace, units float64) *wheelgauge.Error
	clients  []*Client
	arrivals map[string][]arrival
	// cutRegions are the regions that are cut off from all others. downUntil is until when a
	// host is down.
	cutRegions map[string]bool
	downUntil  map[int]time.Time
	storesSeen map[string]map[string]time.Time
}

var regionNames = []string{"a", "a", "b", "b", "c"}

func newSchedule(t *testing.T, seed uint64, hosts int) *schedule {
	s := &schedule{
		t: t, seed: seed, r: rand.New(rand.NewPCG(seed, 1)), started: time.Now(), regions: []string{"a", "b", "c"}, hosts: hosts,
		arrivals: map[string][]arrival{}, cutRegions: map[string]bool{}, downUntil: map[int]time.Time{}, storesSeen: map[string]map[string]time.Time{},
	}
	for i, region := range regionNames {
		s.stores = append(s.stores, &store{address: fmt.Sprint("store-", i), region: region})
	}
	for _, w := range []struct {
		name string
		rate float64
		mean float64
	}{{"small", 36000, 5000}, {"middle", 400000, 5000}, {"large", 4000000, 5000}, {"plain", 36000, 200}} {
		ws := &workspace{meanUnits: w.mean, requestRate: w.rate / w.mean / 1.8}
		ws.spec = wheelgauge.Workspace{Name: w.name, Cap: wheelgauge.Cap{Rate: w.rate, Burst: w.rate, Unit: wheelgauge.CapTokens}}
		s.workspaces = append(s.workspaces, ws)
	}
	return s
}

func (s *schedule) elapsed() time.Duration { return time.Since(s.started) }

// linked reports whether two regions reach each other.
func (s *schedule) linked(a, b string) bool {
	return a == b || !s.cutRegions[a] && !s.cutRegions[b]
}

func linkLatency(a, b string) time.Duration {
	if a == b {
		return time.Millisecond
	}
	return 55 * time.Millisecond
}

func (s *schedule) specs() []wheelgauge.Workspace {
	var out []wheelgauge.Workspace
	for _, w := range s.workspaces {
		out = append(out, w.spec)
	}
	return out
}

func (s *schedule) members() []string {
	var out []string
	for _, st := range s.stores {
		out = append(out, st.address)
	}
	return out
}

// start starts a new process of a store.
func (s *schedule) start(st *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.boots++
	st.allocator = capallocator.New(capallocator.Options{Self: st.address, Boot: st.boots, Window: window, Overage: overage, Slack: slack, Now: time.Now})
	st.allocator.SetMembers(s.members())
	st.allocator.SetCaps(s.specs())
}

func (s *schedule) stop(st *store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.allocator = nil
}

// reach returns a store's allocator if a call from a region gets through now.
func (s *schedule) reach(region string, st *store) *capallocator.Allocator {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.frozen || !s.linked(region, st.region) {
		return nil
	}
	return st.allocator
}

// exchangeLeases sends reports from one store to another, one call at a time.
func (s *schedule) exchangeLeases(ctx context.Context, from, to *store) {
	for ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		s.mu.Lock()
		alloc, boot, frozen := from.allocator, from.boots, from.frozen
		s.mu.Unlock()
		if alloc == nil || frozen {
			continue
		}
		sent, update := time.Now(), alloc.Report(to.address)
		time.Sleep(linkLatency(from.region, to.region))
		other := s.reach(from.region, to)
		if other == nil {
			time.Sleep(800 * time.Millisecond)
			continue
		}
		lease := other.GrantLease(from.address, boot, update)
		time.Sleep(linkLatency(from.region, to.region))
		s.mu.Lock()
		lost := !s.linked(from.region, to.region) || from.allocator != alloc || from.frozen
		s.mu.Unlock()
		if !lost {
			alloc.ApplyLease(to.address, sent, lease)
		}
	}
}

// heartbeats updates a region's view of the stores and reports its hosts to them.
func (s *schedule) heartbeats(ctx context.Context, region string) {
	view := map[string]time.Time{}
	s.mu.Lock()
	s.storesSeen[region] = view
	s.mu.Unlock()
	for ctx.Err() == nil {
		for _, st := range s.stores {
			alloc := s.reach(region, st)
			if alloc == nil {
				continue
			}
			s.mu.Lock()
			view[st.address] = time.Now()
			for h := range s.hosts {
				if s.regions[h%len(s.regions)] == region && !time.Now().Before(s.downUntil[h]) {
					alloc.HostSeen(fmt.Sprint("host-", h), s.boot(h))
				}
			}
			s.mu.Unlock()
		}
		time.Sleep(150 * time.Millisecond)
	}
}

// boot returns the number of the host's process. The lock is held.
func (s *schedule) boot(h int) uint64 {
	if s.downUntil[h].IsZero() {
		return 1
	}
	return uint64(s.downUntil[h].Sub(s.started))
}

// storesFor returns the stores that a host knows of, near ones first.
func (s *schedule) storesFor(h int, region string) []wheelgauge.StoreEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wheelgauge.StoreEndpoint
	for _, near := range []bool{true, false} {
		for i := range s.stores {
			st := s.stores[(i+h)%len(s.stores)]
			if (st.region == region) == near && time.Since(s.storesSeen[region][st.address]) < 1400*time.Millisecond {
				out = append(out, wheelgauge.StoreEndpoint{Address: st.address, SameRegion: near})
			}
		}
	}
	return out
}

var errUnreachable = errors.New("no answer")

// newClient returns a new client of a host.
func (s *schedule) newClient(h int, region string, boot uint64) *Client {
	return New(Options{
		Host: fmt.Sprint("host-", h), Boot: boot, Now: time.Now,
		Stores: func() []wheelgauge.StoreEndpoint { return s.storesFor(h, region) },
		Draw: func(ctx context.Context, address string, req wheelgauge.CapUnitsRequest) (wheelgauge.CapUnitsResponse, error) {
			for _, st := range s.stores {
				if st.address != address {
					continue
				}
				time.Sleep(linkLatency(region, st.region))
				alloc := s.reach(region, st)
				if alloc == nil {
					<-ctx.Done()
					return wheelgauge.CapUnitsResponse{}, errUnreachable
				}
				answer := alloc.Draw(req)
				time.Sleep(linkLatency(region, st.region))
				return answer, ctx.Err()
			}
			return wheelgauge.CapUnitsResponse{}, errUnreachable
		},
	})
}

func (s *schedule) takeUnits(ctx context.Context, c *Client, h int, w *workspace, spec *wheelgauge.Workspace, units float64) *wheelgauge.Error {
	if s.take != nil {
		return s.take(ctx, h, w, units)
	}
	return c.Acquire(ctx, spec, units)
}

// generateLoad sends the requests of one host's callers for one workspace.
func (s *schedule) generateLoad(ctx context.Context, w *workspace, h int, client func() *Client, group *sync.WaitGroup, weight func(at time.Duration) float64) {
	r := rand.New(rand.NewPCG(s.seed, uint64(h)<<8|uint64(len(w.spec.Name))))
	for ctx.Err() == nil {
		s.mu.Lock()
		rate := w.requestRate / float64(s.hosts) * weight(s.elapsed())
		if at := s.elapsed(); at >= w.overloadFrom && at < w.overloadTo {
			rate *= w.overloadFactor
		}
		pause := r.ExpFloat64() / math.Max(rate, 0.001)
		units := math.Min(w.meanUnits*math.Exp(r.NormFloat64()-0.5), maxUnits)
		s.mu.Unlock()
		time.Sleep(time.Duration(math.Min(pause, 2) * float64(time.Second)))
		if pause > 2 || ctx.Err() != nil {
			continue
		}
		s.mu.Lock()
		up := !time.Now().Before(s.downUntil[h])
		spec, c := w.spec, client()
		s.mu.Unlock()
		if !up {
			continue
		}
		group.Add(1)
		go func() {
			defer group.Done()
			err := s.takeUnits(ctx, c, h, w, &spec, units)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err == nil && c != client() {
				return // the host was killed during the request
			}
			s.arrivals[w.spec.Name] = append(s.arrivals[w.spec.Name], arrival{at: s.elapsed(), units: units, sent: err == nil, final: err == nil || err.Status() == 429})
		}()
	}
}

// run plays the schedule with faults and returns when all requests have ended.
func (s *schedule) run(faults func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), warmUp+runTime)
	defer cancel()
	var group sync.WaitGroup
	spawn := func(f func()) { group.Go(f) }
	for _, st := range s.stores {
		s.start(st)
		for _, other := range s.stores {
			if st != other {
				spawn(func() { s.exchangeLeases(ctx, st, other) })
			}
		}
	}
	for _, region := range s.regions {
		spawn(func() { s.heartbeats(ctx, region) })
	}
	time.Sleep(warmUp)
	s.set(func() { s.started = time.Now() })
	for h := range s.hosts {
		region := s.regions[h%len(s.regions)]
		var c *Client
		var boot uint64
		// The lock is held.
		client := func() *Client {
			if b := s.boot(h); c == nil || b != boot {
				c, boot = s.newClient(h, region, b), b
				s.clients = append(s.clients, c)
			}
			return c
		}
		phase := float64(h%len(s.regions)) / float64(len(s.regions))
		// Regions have their busy hours in turn: load goes from 0.17 to 2.8 times the mean
		// within 3 s.
		weight := func(at time.Duration) float64 {
			up := math.Max(0, math.Min(1, 0.4+1.7*math.Sin(2*math.Pi*(at.Seconds()/24+phase))))
			return 0.17 + 2.63*up*0.8
		}
		for _, w := range s.workspaces {
			spawn(func() {
				s.generateLoad(ctx, w, h, client, &group, weight)
			})
		}
	}
	if faults != nil {
		spawn(func() { faults(ctx) })
	}
	<-ctx.Done()
	group.Wait()
	for _, p := range s.clients {
		p.Close()
	}
}
